package config

import "eelgrasswharf.example/eelgrasswharf/api/configpb"

// Defaults of a policy, used where a field is zero.
const (
	DefaultBrokenFlowWeight = 1.0
	DefaultImbalanceWeight  = 1.0
	DefaultPanicPercent     = 50
	DefaultRampMS           = 10_000
	DefaultRetryPercent     = 10
)

// EffectivePolicy returns a copy of the policy with defaults in place of zero
// fields. The replicated state keeps policies as they were written, so that
// replicas of different releases never disagree about the state.
func EffectivePolicy(p *configpb.Policy) *configpb.Policy {
	out := &configpb.Policy{
		Strategy:         p.GetStrategy(),
		BrokenFlowWeight: p.GetBrokenFlowWeight(),
		ImbalanceWeight:  p.GetImbalanceWeight(),
		PanicPercent:     p.GetPanicPercent(),
		RampMs:           p.GetRampMs(),
		RetryPercent:     p.GetRetryPercent(),
	}
	setDefault(&out.BrokenFlowWeight, DefaultBrokenFlowWeight)
	setDefault(&out.ImbalanceWeight, DefaultImbalanceWeight)
	setDefault(&out.PanicPercent, DefaultPanicPercent)
	setDefault(&out.RampMs, DefaultRampMS)
	setDefault(&out.RetryPercent, DefaultRetryPercent)
	return out
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
