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
	// maxMovesPerHost bounds the moves of one decision to each host. Several hosts may
	// move subscribers there at the same time, and it admits a limited number a second.
	maxMovesPerHost = 50
)

// HostLoad is the number of subscribers of another control host.
type HostLoad struct {
	Name        string
	Subscribers int
	// Complete reports whether its directory is complete.
	Complete bool
	// Age of the count.
	Age time.Duration
	// Sent is the number of subscribers that this host has moved there since it received
	// the count.
	Sent int
}

// Rebalancer has the inputs for the decision which subscribers move to other control
// hosts.
type Rebalancer struct {
	// Own is the number of subscribers of this host without those that are moving.
	Own int
	// Complete reports whether its directory is complete.
	Complete bool
	Others   []HostLoad
	// SinceMove is the time since it last moved subscribers, Interval the minimum time
	// between two moves, with jitter.
	SinceMove, Interval time.Duration
}

// Moves is the number of subscribers that have to move to one host.
type Moves struct {
	Host        string
	Subscribers int
}

// RebalanceReason is why subscribers move or do not.
type RebalanceReason string

// Reasons of Decide.
const (
	RebalanceMove     RebalanceReason = "moves"
	RebalanceNoPeers  RebalanceReason = "alone"
	RebalanceBalanced RebalanceReason = "within"
	RebalanceTooSoon  RebalanceReason = "pauses"
)

// Decide returns how many subscribers have to move to which hosts, or none and the reason.
// A host moves subscribers if it is above the mean and either it is far above or another
// host far below. It moves what it has above the mean, to each host below in proportion to
// what that host lacks: hosts that decide at the same time then fill up each one together,
// and moves end even with counts that are some seconds old.
//
// A host with a complete directory moves none to a host without: there they would not
// learn which targets are gone. While all directories are incomplete nothing is lost by a
// move, and waiting would leave all subscribers at the few hosts that settings name.
func (r *Rebalancer) Decide() ([]Moves, RebalanceReason) {
	others := r.usable()
	if len(others) == 0 {
		return nil, RebalanceNoPeers
	}
	total := r.Own
	least := others[0].Subscribers
	for _, h := range others {
		total += h.Subscribers
		least = min(least, h.Subscribers)
	}
	hosts := len(others) + 1
	excess := r.Own - (total+hosts-1)/hosts
	if excess <= 0 || !r.imbalanced(hosts, total, least) {
		return nil, RebalanceBalanced
	}
	if r.SinceMove < r.Interval {
		return nil, RebalanceTooSoon
	}
	return distribute(excess, total/hosts, others), RebalanceMove
}

// usable returns the hosts that subscribers may move to, with those that are on their way.
func (r *Rebalancer) usable() []HostLoad {
	var out []HostLoad
	for _, h := range r.Others {
		if h.Age > maxLoadAge || r.Complete && !h.Complete {
			continue
		}
		h.Subscribers += h.Sent
		out = append(out, h)
	}
	return out
}

// imbalanced reports whether this host has to move subscribers.
func (r *Rebalancer) imbalanced(hosts, total, least int) bool {
	// All terms are multiplied by the number of hosts, to avoid fractions of the mean.
	margin := total*imbalancePercent/100 + imbalanceSlack*hosts
	return r.Own*hosts-total > margin || total-least*hosts > margin
}

// distribute divides the excess over the hosts below the mean, in proportion to what each
// lacks.
func distribute(excess, mean int, others []HostLoad) []Moves {
	slices.SortFunc(others, func(a, b HostLoad) int {
		return cmp.Or(cmp.Compare(a.Subscribers, b.Subscribers), cmp.Compare(a.Name, b.Name))
	})
	lacking := 0
	for _, h := range others {
		lacking += max(mean-h.Subscribers, 0)
	}
	var out []Moves
	for _, h := range others {
		lacks := mean - h.Subscribers
		if lacks <= 0 || excess == 0 {
			break
		}
		// Rounded up, so that few subscribers move too; the hosts with the fewest come first.
		share := min((excess*lacks+lacking-1)/lacking, excess)
		lacking -= lacks
		excess -= share
		out = append(out, Moves{Host: h.Name, Subscribers: min(share, maxMovesPerHost)})
	}
	return out
}
