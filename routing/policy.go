package routing

import (
	"math"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Defaults of a policy, see configpb.Policy.
const (
	defaultWeight       = 1.0
	defaultPanicPercent = 50
	defaultRamp         = 10 * time.Second
)

// Bounds of the ramp.
const (
	// rampFloor is the share of draws at age zero. It must not be zero, or a service
	// with only cold targets would never receive a report.
	rampFloor       = 1.0 / 16
	minRampExponent = 1.0 / 4
	maxRampExponent = 4.0

	// fullShare is the share of a target that takes part in every draw.
	fullShare = math.MaxUint16
	// fullRampProgress is the progress of a target that has completed its ramp.
	fullRampProgress = 1000
)

// weightScale is the sum of the two weights in a policy.
const weightScale = 512

// maxRisk is the risk of an unhealthy target, on the scale of loads.
const maxRisk = 1000

// policy is a configpb.Policy with its defaults applied.
type policy struct {
	strategy     configpb.Strategy
	brokenWeight uint32
	loadWeight   uint32
	exponent     float64
	panicPercent int
	ramp         time.Duration
}

func newPolicy(p *configpb.Policy) policy {
	broken := weight(p.GetBrokenFlowWeight())
	imbalance := weight(p.GetImbalanceWeight())
	brokenWeight := uint32(math.Round(weightScale * broken / (broken + imbalance)))

	out := policy{
		strategy:     p.GetStrategy(),
		brokenWeight: brokenWeight,
		loadWeight:   weightScale - brokenWeight,
		exponent:     min(max(broken/imbalance, minRampExponent), maxRampExponent),
		panicPercent: defaultPanicPercent,
		ramp:         defaultRamp,
	}
	if percent := p.GetPanicPercent(); percent != 0 {
		out.panicPercent = int(percent)
	}
	if ms := p.GetRampMs(); ms != 0 {
		out.ramp = time.Duration(ms) * time.Millisecond
	}
	return out
}

// weight returns the default unless w is a positive finite number.
func weight(w float64) float64 {
	if w > 0 && !math.IsInf(w, 0) {
		return w
	}
	return defaultWeight
}

// share returns the share of draws in which a target of that age takes part, out of
// fullShare.
func (p *policy) share(age time.Duration) uint16 {
	if age >= p.ramp {
		return fullShare
	}
	share := rampFloor + (1-rampFloor)*math.Pow(p.rampFraction(age), p.exponent)
	return uint16(share * fullShare)
}

// rampProgress returns the progress of a target on its ramp, out of fullRampProgress.
func (p *policy) rampProgress(age time.Duration) uint16 {
	return uint16(p.rampFraction(age) * fullRampProgress)
}

// rampFraction returns the progress of a target on its ramp, 0 to 1.
func (p *policy) rampFraction(age time.Duration) float64 {
	return min(max(float64(age)/float64(p.ramp), 0), 1)
}

// risk returns the risk of a target given its health and its age.
func (p *policy) risk(unhealthy bool, age time.Duration) uint32 {
	if unhealthy {
		return maxRisk
	}
	return uint32(maxRisk * (1 - p.rampFraction(age)))
}

// inPanicMode reports whether the share of unhealthy targets reaches the panic
// threshold.
func (p *policy) inPanicMode(unhealthy, all int) bool {
	return unhealthy > 0 && unhealthy*100 >= p.panicPercent*all
}

// InPanicMode reports whether the share of unhealthy targets of a service reaches the
// panic threshold of its policy. Health is then ignored, as the signal is more likely
// wrong.
func InPanicMode(p *configpb.Policy, unhealthy, all int) bool {
	resolved := newPolicy(p)
	return resolved.inPanicMode(unhealthy, all)
}
