// Package controld is the daemon of a control host: replicas of the
// configuration and of the grants, the directory of announced targets, the
// link server for entry hosts, agents and other control hosts, and the
// operators' API.
//
// Locks are leaves: configState.mu, grantState.mu, directory.mu, hub.mu,
// peers.mu, peer.mu and subscribers.mu are never held while another one of
// them is taken or while anything blocks. The one exception is peer.telling,
// which is held while a message of the directory is under way; directory.mu is
// taken under it.
package controld
