package flow

import "time"

// The load that the budget answers: after a loss of power callers send packets of thousands
// of flows that nobody holds, again and again, and each is searched for by several copies.
// Beyond what the link carries they wait before it, with the packets of open flows, the
// answers to the searches and what keeps the host in touch with its control hosts. So
// searches take what the others leave. New flows are not refused for the sake of the link:
// a refusal and the tries that follow it take as much of it as the flow.

const (
	// linkShare is the part of its link that a host fills with packets of flows. The rest
	// is for its control link: heartbeats, versions, the list of targets.
	linkShare = 0.85
	// linkBurst is how long the packets of a burst may take on the link.
	linkBurst = 100 * time.Millisecond
	// datagramOverhead is what a datagram takes on the link besides its payload: the
	// headers of UDP and IPv4, in bytes.
	datagramOverhead = 28
)

// budget is what a host may receive and send within the width of its link, as a token bucket
// in bytes. The zero value bounds nothing.
type budget struct {
	// rate is in bytes a second, most the size of the bucket.
	rate, most float64
	left       float64
	at         time.Duration
}

func newBudget(bitsPerSecond float64, now time.Duration) budget {
	rate := bitsPerSecond / 8 * linkShare
	most := rate * linkBurst.Seconds()
	return budget{rate: rate, most: most, left: most, at: now}
}

func (b *budget) refill(now time.Duration) {
	if elapsed := now - b.at; elapsed > 0 {
		b.left = min(b.left+b.rate*elapsed.Seconds(), b.most)
		b.at = now
	}
}

// spend notes that the link carries a datagram with that much payload.
func (b *budget) spend(payload int, now time.Duration) {
	if b.rate == 0 {
		return
	}
	b.refill(now)
	// A debt beyond two bursts would hold searches up long after the link is free.
	b.left = max(b.left-float64(payload+datagramOverhead), -2*b.most)
}

// full reports whether the link carries no more than what goes without a search.
func (b *budget) full(now time.Duration) bool {
	if b.rate == 0 {
		return false
	}
	b.refill(now)
	return b.left <= 0
}

// SetLinkRate tells the width of the host's link in bits a second, for both directions together.
// 0 means that it is not known, so that nothing is held up for its sake.
func (e *Entry) SetLinkRate(bitsPerSecond float64, now time.Duration) {
	e.budget = newBudget(bitsPerSecond, now)
}

// CountTraffic notes that the link has carried a datagram with that much payload, to the host or
// from it.
func (e *Entry) CountTraffic(payload int, now time.Duration) { e.budget.spend(payload, now) }
