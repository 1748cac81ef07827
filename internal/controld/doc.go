// Package controld is the daemon of a control host: replicas of the configuration and of
// the grants, the directory of announced targets, the link server for entry hosts, agents
// and other control hosts, and the operators' API.
//
// The mutexes configState.mu, grantState.mu, directory.mu, notifier.mu, peers.mu, peer.mu
// and subscribers.mu are never held while another one is taken or while anything blocks.
// The one exception is peer.syncMu, which is held during a directory sync; directory.mu is
// taken under it.
package controld
