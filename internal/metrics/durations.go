package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// shortestDuration is the first bound of Durations: a tenth of what a message
	// between two hosts of one failure domain takes.
	shortestDuration = 20 * time.Microsecond
	// durationBounds is the number of bounds, each twice the one before: the last is
	// 10.5 s, longer than any time after which a caller or operator gives up waiting
	// for one step.
	durationBounds = 20
)

// DurationBuckets are the bounds of every histogram of times, so that histograms of several
// processes can be added up.
var DurationBuckets = tally.MustMakeExponentialDurationBuckets(shortestDuration, 2, durationBounds)
