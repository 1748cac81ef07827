package membership

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the spread of subscribers over control hosts.
const (
	// spreadPercent is how far a host may be from the mean, in percent of it,
	// before subscribers move.
	spreadPercent = 25
	// spreadSlack is how much farther it may be: few subscribers are not worth a
	// move.
	spreadSlack = 8
	// maxLoadAge is how old another host's figure may be.
	maxLoadAge = DefaultLease
)

// HostLoad is what another control host has told of itself.
type HostLoad struct {
	Name        string
	Subscribers int
	// Age of the figure.
	Age time.Duration
}

// Rebalancer is what a control host knows when it decides whether a subscriber is
// to move to another one.
type Rebalancer struct {
	// Own is the number of its own subscribers.
	Own int
	// Complete tells whether its directory is settled.
	Complete bool
	Others   []HostLoad
	// SinceMove is the time since it last let a subscriber go, Pause the least
	// one between two, with jitter.
	SinceMove, Pause time.Duration
}

// RebalanceReason tells why a subscriber moves or why none does.
type RebalanceReason string

// Reasons of Decide.
const (
	RebalanceMove       RebalanceReason = "moves"
	RebalanceIncomplete RebalanceReason = "unsettled"
	RebalanceNoPeers    RebalanceReason = "alone"
	RebalanceBalanced   RebalanceReason = "within"
	RebalancePaused     RebalanceReason = "pauses"
)

// Decide returns the host that one subscriber is to move to, with SpreadMoves,
// or nobody and why. A host lets one go if it is over the mean and either itself
// well over it or another host well below, to the host that has least; so moves
// end, also while figures are some seconds old.
func (s *Rebalancer) Decide() (to string, reason RebalanceReason) {
	if !s.Complete {
		return "", RebalanceIncomplete
	}
	fresh := slices.DeleteFunc(slices.Clone(s.Others), func(h HostLoad) bool { return h.Age > maxLoadAge })
	if len(fresh) == 0 {
		return "", RebalanceNoPeers
	}
	least := slices.MinFunc(fresh, func(a, b HostLoad) int {
		return cmp.Or(cmp.Compare(a.Subscribers, b.Subscribers), cmp.Compare(a.Name, b.Name))
	})
	if !s.uneven(fresh, least.Subscribers) {
		return "", RebalanceBalanced
	}
	if s.SinceMove < s.Pause {
		return "", RebalancePaused
	}
	return least.Name, RebalanceMove
}

// uneven reports whether this host is to let a subscriber go at all.
func (s *Rebalancer) uneven(others []HostLoad, least int) bool {
	hosts, sum := len(others)+1, s.Own
	for _, h := range others {
		sum += h.Subscribers
	}
	// All is multiplied by the hosts, so that the mean is a whole number.
	margin := sum*spreadPercent/100 + spreadSlack*hosts
	over, below := s.Own*hosts-sum, sum-least*hosts
	return over > 0 && (over > margin || below > margin)
}
