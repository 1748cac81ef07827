package membership

import (
	"cmp"
	"slices"
	"time"
)

// Thresholds for rebalancing subscribers over control hosts.
const (
	// imbalancePercent is how far a host may be from the mean, in percent of it,
	// before subscribers move.
	imbalancePercent = 25
	// imbalanceSlack is an additional number of subscribers, so that few of them don't
	// move.
	imbalanceSlack = 8
	// maxLoadAge is the maximum age of another host's count.
	maxLoadAge = DefaultLease
)

// HostLoad is the number of subscribers of another control host.
type HostLoad struct {
	Name        string
	Subscribers int
	// Age of the count.
	Age time.Duration
}

// Rebalancer has the inputs for the decision whether a subscriber moves to another control
// host.
type Rebalancer struct {
	// Own is the number of subscribers of this host.
	Own int
	// Complete reports whether its directory is complete.
	Complete bool
	Others   []HostLoad
	// SinceMove is the time since it last moved a subscriber, Interval the minimum time
	// between two moves, with jitter.
	SinceMove, Interval time.Duration
}

// RebalanceReason is why a subscriber moves or does not.
type RebalanceReason string

// Reasons of Decide.
const (
	RebalanceMove       RebalanceReason = "moves"
	RebalanceIncomplete RebalanceReason = "unsettled"
	RebalanceNoPeers    RebalanceReason = "alone"
	RebalanceBalanced   RebalanceReason = "within"
	RebalanceTooSoon    RebalanceReason = "pauses"
)

// Decide returns the host that one subscriber has to move to, or no host and the reason. A
// host moves a subscriber if it is above the mean and either it is far above or another
// host far below. The subscriber moves to the host with the fewest, so that moves end even
// with counts that are some seconds old.
func (r *Rebalancer) Decide() (to string, reason RebalanceReason) {
	if !r.Complete {
		return "", RebalanceIncomplete
	}
	fresh := slices.DeleteFunc(slices.Clone(r.Others), func(h HostLoad) bool { return h.Age > maxLoadAge })
	if len(fresh) == 0 {
		return "", RebalanceNoPeers
	}
	least := slices.MinFunc(fresh, func(a, b HostLoad) int {
		return cmp.Or(cmp.Compare(a.Subscribers, b.Subscribers), cmp.Compare(a.Name, b.Name))
	})
	if !r.imbalanced(fresh, least.Subscribers) {
		return "", RebalanceBalanced
	}
	if r.SinceMove < r.Interval {
		return "", RebalanceTooSoon
	}
	return least.Name, RebalanceMove
}

// imbalanced reports whether this host has to move a subscriber.
func (r *Rebalancer) imbalanced(others []HostLoad, least int) bool {
	hosts, sum := len(others)+1, r.Own
	for _, h := range others {
		sum += h.Subscribers
	}
	// All terms are multiplied by the number of hosts, to avoid fractions of the mean.
	margin := sum*imbalancePercent/100 + imbalanceSlack*hosts
	over, below := r.Own*hosts-sum, sum-least*hosts
	return over > 0 && (over > margin || below > margin)
}
