// Package cli implements the command line of eelgrasswharf: the daemons of the three
// roles, the operator's commands, key management, and the commands for development
// and load.
//
// Exit statuses are part of the interface; see the Exit constants.
package cli
