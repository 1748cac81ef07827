package membership

import "eelgrasswharf.example/eelgrasswharf/api/controlpb"

// buckets is the number of parts in which two hosts compare a set of claims.
// One lost change then costs the records of one part, not of all.
const buckets = 64

// version orders the records of one target number.
type version struct {
	incarnation uint32
	sequence    uint64
}

func versionOf(r *controlpb.TargetRecord) version {
	return version{r.GetIncarnation(), r.GetSequence()}
}

// before reports whether v is the version of an older record than w.
func (v version) before(w version) bool {
	if v.incarnation != w.incarnation {
		return v.incarnation < w.incarnation
	}
	return v.sequence < w.sequence
}

// claims is the set of targets that one control host hears from their agents,
// with digests that follow each change at a constant cost.
type claims struct {
	held    map[uint32]version
	digests [buckets]uint64
}

func newClaims() *claims { return &claims{held: map[uint32]version{}} }

func bucketOf(number uint32) int { return int(number % buckets) }

func (c *claims) has(number uint32) bool {
	_, ok := c.held[number]
	return ok
}

// put sets the version claimed and reports whether that is a change.
func (c *claims) put(number uint32, v version) bool {
	if old, ok := c.held[number]; ok && old == v {
		return false
	}
	c.drop(number)
	c.held[number] = v
	c.digests[bucketOf(number)] += digest(number, v)
	return true
}

// drop reports whether there was a claim.
func (c *claims) drop(number uint32) bool {
	v, ok := c.held[number]
	if !ok {
		return false
	}
	delete(c.held, number)
	// A sum, so that the order of changes does not matter.
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

// matches reports whether this is the set that a summary was made of.
func (c *claims) matches(s *controlpb.DirectorySummary) bool {
	return int(s.GetCount()) == len(c.held) && s.GetDigest() == c.digest()
}

// differing returns the buckets, as bits, whose digests are not these. All
// differ from a list of another length.
func (c *claims) differing(digests []uint64) uint64 {
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

// digest mixes one claim into 64 bits.
func digest(number uint32, v version) uint64 {
	return mix(mix(uint64(number)<<32|uint64(v.incarnation)) + v.sequence)
}

// mix is the finalizer of SplitMix64: each bit of the result depends on all
// bits of x.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
