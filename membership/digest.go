package membership

import "eelgrasswharf.example/eelgrasswharf/api/controlpb"

const (
	// recordsPerBucket is the mean number of records in a bucket of a list: what
	// one difference costs on the way back, against eight bytes a bucket on the
	// way there.
	recordsPerBucket = 16
	// maxListBuckets bounds the digests of one list.
	maxListBuckets = 1_024
)

// listBuckets returns in how many buckets a list of records is compared.
func listBuckets(records int) int {
	n := 1
	for n < maxListBuckets && n*recordsPerBucket < records {
		n *= 2
	}
	return n
}

// listDigests are the digests of a list of records as subscribers see it, by
// target number modulo their count. The digest of an empty bucket is 0.
type listDigests []uint64

func (l listDigests) bucketOf(number uint32) uint32 { return number % uint32(len(l)) }

// add adds a record. A sum, so that the order of records does not matter.
func (l listDigests) add(r *controlpb.TargetRecord) {
	l[l.bucketOf(r.GetNumber())] += recordDigest(r)
}

// empty reports whether these are the digests of a list without records.
func (l listDigests) empty() bool {
	for _, d := range l {
		if d != 0 {
			return false
		}
	}
	return true
}

// recordDigest mixes what identifies the contents of a record towards
// subscribers. All but the age and the damping, which each control host decides
// on by itself, follows from the version.
func recordDigest(r *controlpb.TargetRecord) uint64 {
	d := digest(r.GetNumber(), versionOf(r))
	if r.GetDamped() {
		return mix(d)
	}
	return d
}
