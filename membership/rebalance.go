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
	RebalanceMove       RebalanceReason = "moves"
	RebalanceIncomplete RebalanceReason = "unsettled"
	RebalanceNoPeers    RebalanceReason = "alone"
	RebalanceBalanced   RebalanceReason = "within"
	RebalanceTooSoon    RebalanceReason = "pauses"
)

// Decide returns how many subscribers have to move to which hosts, or none and the reason.
// A host moves subscribers if it is above the mean and either it is far above or another
// host far below. It moves what it has above the mean, to each host below in proportion to
// what that host lacks: hosts that decide at the same time then fill up each one together,
// and moves end even with counts that are some seconds old.
//
// Only hosts with a complete directory move and get subscribers: a host without one can
// add few records to the list that a subscriber brings along, and remove none.
func (r *Rebalancer) Decide() ([]Moves, RebalanceReason) {
	if !r.Complete {
		return nil, RebalanceIncomplete
	}
	others := r.usable(true)
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

// Redirect returns the host with the fewest subscribers for a new one that has no list of
// targets yet, false if this host serves it because it is not far above the mean. Such a
// subscriber takes a whole list from any host, so directories need not be complete: after a
// start it reaches one of the few hosts that settings name.
func (r *Rebalancer) Redirect() (host string, redirect bool) {
	others := r.usable(false)
	if len(others) == 0 {
		return "", false
	}
	total := r.Own
	for _, h := range others {
		total += h.Subscribers
	}
	hosts := len(others) + 1
	if r.Own*hosts-total <= margin(hosts, total) {
		return "", false
	}
	return slices.MinFunc(others, fewer).Name, true
}

// fewer orders hosts by their subscribers.
func fewer(a, b HostLoad) int {
	return cmp.Or(cmp.Compare(a.Subscribers, b.Subscribers), cmp.Compare(a.Name, b.Name))
}

// usable returns the hosts that subscribers may go to, all or those with a complete
// directory, with the subscribers that are on their way.
func (r *Rebalancer) usable(complete bool) []HostLoad {
	var out []HostLoad
	for _, h := range r.Others {
		if h.Age > maxLoadAge || complete && !h.Complete {
			continue
		}
		h.Subscribers += h.Sent
		out = append(out, h)
	}
	return out
}

// imbalanced reports whether this host has to move subscribers.
func (r *Rebalancer) imbalanced(hosts, total, least int) bool {
	limit := margin(hosts, total)
	return r.Own*hosts-total > limit || total-least*hosts > limit
}

// margin returns how far a host may be from the mean. It is multiplied by the number of hosts,
// like the counts that it is compared with, to avoid fractions of the mean.
func margin(hosts, total int) int { return total*imbalancePercent/100 + imbalanceSlack*hosts }

// distribute divides the excess over the hosts below the mean, in proportion to what each
// lacks.
func distribute(excess, mean int, others []HostLoad) []Moves {
	slices.SortFunc(others, fewer)
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
