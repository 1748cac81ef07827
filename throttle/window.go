package throttle

import "time"

// Counts are those of the last EvidenceAge.
type Counts struct {
	// Arrived counts the openings of new flows, Accepted and Returned what targets did with
	// those that were passed on.
	Arrived, Accepted, Returned uint32
}

// share returns the share of the openings that may pass: all while none of them is returned,
// else in proportion to what targets accept of those that passed. All hosts see the same
// proportion, whatever each of them has passed, so that their shares stay alike. What passes is
// the geometric mean of what arrives and what targets can take, times the square root of
// surplus: never less than they can take. Openings without an outcome do not count: a target
// that does not answer shows nothing about room.
func (c Counts) share() float64 {
	if c.Returned == 0 {
		return 1
	}
	accepted := float64(c.Accepted) + allowance
	return min(surplus*accepted/(accepted+float64(c.Returned)), 1)
}

// window has the counts of the last EvidenceAge in buckets.
type window struct {
	buckets [bucketCount]bucket
}

// bucket has the counts of one part of the window. number is the time divided by bucketWidth.
type bucket struct {
	number int64
	Counts
}

// bucket returns the bucket of the present time.
func (w *window) bucket(now time.Duration) *Counts {
	number := bucketNumber(now)
	b := &w.buckets[number%bucketCount]
	if b.number != number {
		*b = bucket{number: number}
	}
	return &b.Counts
}

// counts returns the sum of the buckets that are not too old.
func (w *window) counts(now time.Duration) Counts {
	var sum Counts
	oldest := bucketNumber(now) - bucketCount
	for i := range w.buckets {
		if b := &w.buckets[i]; b.number > oldest {
			sum.Arrived += b.Arrived
			sum.Accepted += b.Accepted
			sum.Returned += b.Returned
		}
	}
	return sum
}

// bucketNumber starts at bucketCount, so that a zero bucket is never current.
func bucketNumber(now time.Duration) int64 { return bucketCount + int64(max(now, 0)/bucketWidth) }
