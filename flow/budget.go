package flow

import "time"

// After a power loss callers retransmit packets of thousands of flows that nobody
// holds, and each is searched for with several copies. Without a limit these fill the
// link and delay open flows, search replies and control traffic. The budget therefore
// gives searches only what the other traffic leaves. New flows are not limited: refusing
// one costs as much traffic as serving it.

const (
	// linkShare is the part of the link for packets of flows. The rest is for control
	// traffic.
	linkShare = 0.85
	// linkBurst is the size of the bucket in transmission time.
	linkBurst = 100 * time.Millisecond
	// datagramOverhead is the size of the UDP and IPv4 headers in bytes.
	datagramOverhead = 28
)

// budget is a token bucket over the bytes that a host sends and receives. The zero value
// is unlimited.
type budget struct {
	// rate is in bytes a second, burst is the size of the bucket in bytes.
	rate, burst float64
	tokens      float64
	updatedAt   time.Duration
}

func newBudget(bitsPerSecond float64, now time.Duration) budget {
	rate := bitsPerSecond / 8 * linkShare
	burst := rate * linkBurst.Seconds()
	return budget{rate: rate, burst: burst, tokens: burst, updatedAt: now}
}

func (b *budget) refill(now time.Duration) {
	if elapsed := now - b.updatedAt; elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.burst)
		b.updatedAt = now
	}
}

// spend accounts for a datagram with this payload size.
func (b *budget) spend(payload int, now time.Duration) {
	if b.rate == 0 {
		return
	}
	b.refill(now)
	// A larger debt would suppress searches long after the link is free.
	b.tokens = max(b.tokens-float64(payload+datagramOverhead), -2*b.burst)
}

// exhausted reports whether there is no budget left for searches.
func (b *budget) exhausted(now time.Duration) bool {
	if b.rate == 0 {
		return false
	}
	b.refill(now)
	return b.tokens <= 0
}

// SetLinkRate sets the rate of the host's link in bit/s, for both directions together.
// 0 means unknown: searches are not limited.
func (e *Entry) SetLinkRate(bitsPerSecond float64, now time.Duration) {
	e.budget = newBudget(bitsPerSecond, now)
}

// CountTraffic accounts for a datagram with this payload size, sent or received.
func (e *Entry) CountTraffic(payload int, now time.Duration) { e.budget.spend(payload, now) }
