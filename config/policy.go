package config

import (
	"cmp"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Defaults of zero policy fields.
const (
	DefaultBrokenFlowWeight = 1.0
	DefaultImbalanceWeight  = 1.0
	DefaultPanicPercent     = 50
	DefaultRampMS           = 10_000
	DefaultRetryPercent     = 10
)

// EffectivePolicy returns a copy of the policy with defaults in place of zero fields. The
// replicated state has no defaults, so that replicas of different releases agree on it.
func EffectivePolicy(p *configpb.Policy) *configpb.Policy {
	return &configpb.Policy{
		Strategy:         p.GetStrategy(),
		BrokenFlowWeight: cmp.Or(p.GetBrokenFlowWeight(), DefaultBrokenFlowWeight),
		ImbalanceWeight:  cmp.Or(p.GetImbalanceWeight(), DefaultImbalanceWeight),
		PanicPercent:     cmp.Or(p.GetPanicPercent(), DefaultPanicPercent),
		RampMs:           cmp.Or(p.GetRampMs(), DefaultRampMS),
		RetryPercent:     cmp.Or(p.GetRetryPercent(), DefaultRetryPercent),
	}
}
