// Package cli is the command line of eelgrasswharf: the daemons of the three
// roles in the foreground, the operator's tools against control hosts, key
// management, and the commands for development and load.
//
// Exit statuses are part of the interface: see the Exit constants.
package cli
