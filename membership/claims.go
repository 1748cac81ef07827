package membership

import "eelgrasswharf.example/eelgrasswharf/api/controlpb"

// buckets is the number of buckets in which two hosts compare a set of claims. A lost
// change costs the records of one bucket.
const buckets = 64

// version orders the records of one target number.
type version struct {
	incarnation uint32
	sequence    uint64
}

func versionOf(r *controlpb.TargetRecord) version {
	return version{r.GetIncarnation(), r.GetSequence()}
}

// olderThan reports whether v is an older version than w.
func (v version) olderThan(w version) bool {
	if v.incarnation != w.incarnation {
		return v.incarnation < w.incarnation
	}
	return v.sequence < w.sequence
}

// claims is the set of targets whose agents announce to one control host, with digests
// that are updated incrementally.
type claims struct {
	held    map[uint32]version
	digests [buckets]uint64
}

func newClaims() *claims { return &claims{held: map[uint32]version{}} }

func bucketOf(number uint32) int { return int(number % buckets) }

func (c *claims) contains(number uint32) bool {
	_, ok := c.held[number]
	return ok
}

// put sets the claimed version and reports whether that is a change.
func (c *claims) put(number uint32, v version) bool {
	if old, ok := c.held[number]; ok && old == v {
		return false
	}
	c.drop(number)
	c.held[number] = v
	c.digests[bucketOf(number)] += digest(number, v)
	return true
}

// drop removes a claim and reports whether there was one.
func (c *claims) drop(number uint32) bool {
	v, ok := c.held[number]
	if !ok {
		return false
	}
	delete(c.held, number)
	// A sum is independent of the order of changes.
	c.digests[bucketOf(number)] -= digest(number, v)
	return true
}

func (c *claims) digest() uint64 {
	sum := uint64(0)
	for _, d := range c.digests {
		sum += d
	}
	return sum
}

// matches reports whether a summary is that of these claims.
func (c *claims) matches(s *controlpb.DirectorySummary) bool {
	return int(s.GetCount()) == len(c.held) && s.GetDigest() == c.digest()
}

// differingBuckets returns the buckets whose digests differ from these as a bit mask. All
// differ if the number of digests does.
func (c *claims) differingBuckets(digests []uint64) uint64 {
	if len(digests) != buckets {
		return ^uint64(0)
	}
	mask := uint64(0)
	for i, d := range digests {
		if d != c.digests[i] {
			mask |= 1 << i
		}
	}
	return mask
}

// digest hashes one claim.
func digest(number uint32, v version) uint64 {
	return mix(mix(uint64(number)<<32|uint64(v.incarnation)) + v.sequence)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
