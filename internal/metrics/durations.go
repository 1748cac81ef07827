package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// firstBound is below the latency between two hosts of one failure domain.
	firstBound = 20 * time.Microsecond
	// boundCount is the number of bounds, each twice the previous one; the last is 10.5 s.
	boundCount = 20
)

// DurationBuckets are the buckets of all duration histograms, so that histograms of several
// processes can be added.
var DurationBuckets = tally.MustMakeExponentialDurationBuckets(firstBound, 2, boundCount)
