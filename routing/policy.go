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
	// rampFloor is the share of draws that a target takes part in at age zero.
	// It must not be zero, or a service of cold targets alone would learn
	// nothing of them.
	rampFloor       = 1.0 / 16
	minRampExponent = 1.0 / 4
	maxRampExponent = 4.0

	// fullShare stands for a target that takes part in every draw.
	fullShare = math.MaxUint16
	// rampedWhole stands for a target that has its whole ramp behind it.
	rampedWhole = 1000
)

// weightScale is the sum of the two weights in a policy.
const weightScale = 512

// maxRisk is the risk of an ill-looking target, on the scale of loads.
const maxRisk = 1000

// policy is a configpb.Policy with its defaults, made ready for decisions.
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

// weight returns the default for everything that is no positive number.
func weight(w float64) float64 {
	if w > 0 && !math.IsInf(w, 0) {
		return w
	}
	return defaultWeight
}

// share returns in how many of fullShare draws a target of that age takes part.
func (p *policy) share(age time.Duration) uint16 {
	if age >= p.ramp {
		return fullShare
	}
	share := rampFloor + (1-rampFloor)*math.Pow(p.done(age), p.exponent)
	return uint16(share * fullShare)
}

// ramped returns how much of its ramp a target of that age has behind it.
func (p *policy) ramped(age time.Duration) uint16 {
	return uint16(p.done(age) * rampedWhole)
}

// done returns ramped as a fraction.
func (p *policy) done(age time.Duration) float64 {
	return min(max(float64(age)/float64(p.ramp), 0), 1)
}

// risk returns the risk of a target that looks ill or is of that age.
func (p *policy) risk(ill bool, age time.Duration) uint32 {
	if ill {
		return maxRisk
	}
	return uint32(maxRisk * (1 - p.done(age)))
}

// panics reports whether so many of the targets look ill that the signal is
// more likely wrong.
func (p *policy) panics(ill, all int) bool {
	return ill > 0 && ill*100 >= p.panicPercent*all
}

// InPanicMode reports whether, by the policy of a service, so many of its serving
// targets look ill that the signal is more likely wrong than they are. All of
// them are then served as if they were well.
func InPanicMode(p *configpb.Policy, ill, all int) bool {
	made := newPolicy(p)
	return made.panics(ill, all)
}
