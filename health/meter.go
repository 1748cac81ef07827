package health

import (
	"math"
	"time"
)

const (
	// MeterTime is the time over which a Meter averages. A request takes tens
	// of milliseconds, so the number that runs at a moment says little about
	// the work that a target's flows bring; over seconds it does.
	MeterTime = 8 * time.Second
	// priorTime is the flow time that the first guess counts as much as.
	priorTime = 20 * time.Second
)

// Meter estimates the requests of a target from its open flows and the
// requests that a flow brings on average. A flow counts from the moment that
// it opens: a figure that lagged would send every new flow of a while to the
// same target, and a figure of the moment would be mostly chance.
type Meter struct {
	// requestTime and flowTime are in seconds, the older the less they count.
	requestTime, flowTime float64
}

// Observe records the mean number of requests that ran or waited over the
// last while, and the flows that were open.
func (m *Meter) Observe(requests float64, flows int, over time.Duration) {
	kept := math.Exp(-float64(over) / float64(MeterTime))
	m.requestTime = m.requestTime*kept + requests*over.Seconds()
	m.flowTime = m.flowTime*kept + float64(flows)*over.Seconds()
}

// Requests returns the estimate for a number of open flows. firstGuess is the
// requests that a flow brings as long as little was observed.
func (m *Meter) Requests(flows int, firstGuess float64) float64 {
	perFlow := (m.requestTime + firstGuess*priorTime.Seconds()) / (m.flowTime + priorTime.Seconds())
	return perFlow * float64(flows)
}
