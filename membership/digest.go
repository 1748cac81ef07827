package membership

import "eelgrasswharf.example/eelgrasswharf/api/controlpb"

const (
	// recordsPerBucket is the mean number of records in a bucket of a list. Each bucket
	// costs a digest of eight bytes, each difference the records of a bucket.
	recordsPerBucket = 16
	// maxListBuckets bounds the digests of one list.
	maxListBuckets = 1_024
)

// listBuckets returns the number of buckets for a list of records.
func listBuckets(records int) int {
	n := 1
	for n < maxListBuckets && n*recordsPerBucket < records {
		n *= 2
	}
	return n
}

// listDigests are the digests of the published records by target number modulo the number
// of digests. The digest of an empty bucket is 0.
type listDigests []uint64

func (l listDigests) bucketOf(number uint32) uint32 { return number % uint32(len(l)) }

// add adds a record. A sum is independent of the order of records.
func (l listDigests) add(r *controlpb.TargetRecord) {
	l[l.bucketOf(r.GetNumber())] += recordDigest(r)
}

// empty reports whether these are the digests of an empty list.
func (l listDigests) empty() bool {
	for _, d := range l {
		if d != 0 {
			return false
		}
	}
	return true
}

// recordDigest hashes what identifies the published contents of a record: its version, and
// whether it is damped or lost, which may differ between control hosts. The age is not
// included.
func recordDigest(r *controlpb.TargetRecord) uint64 {
	d := digest(r.GetNumber(), versionOf(r))
	if r.GetDamped() {
		d = mix(d)
	}
	if r.GetLost() {
		d = mix(d + 1)
	}
	return d
}
