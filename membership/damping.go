package membership

import (
	"cmp"
	"math"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Damping limits how often subscribers see a target change. Each flap adds one to its
// penalty, which halves every HalfLife. From Suppress on the target is published as
// unhealthy until the penalty has fallen to Reuse. Changes for the worse are published
// at once.
type Damping struct {
	HalfLife time.Duration
	Suppress float64
	Reuse    float64
	// Max bounds the penalty, and so the duration of damping.
	Max float64
}

// Defaults of Damping: a target is damped after six flaps in a row, for at most 22 s after
// the last one.
const (
	DefaultHalfLife = 7 * time.Second
	DefaultSuppress = 5.5
	DefaultReuse    = 1.0
	DefaultMax      = 9.0
)

func (p *Damping) setDefaults() {
	p.HalfLife = cmp.Or(max(p.HalfLife, 0), DefaultHalfLife)
	p.Suppress = cmp.Or(max(p.Suppress, 0), DefaultSuppress)
	p.Reuse = cmp.Or(max(p.Reuse, 0), DefaultReuse)
	p.Max = cmp.Or(max(p.Max, 0), DefaultMax)
}

// flaps is the penalty of one target.
type flaps struct {
	penalty   float64
	updatedAt time.Duration
	damped    bool
}

// now returns the penalty at a time.
func (f *flaps) now(now time.Duration, p *Damping) float64 {
	halvings := float64(now-f.updatedAt) / float64(p.HalfLife)
	return f.penalty * math.Exp2(-halvings)
}

func (f *flaps) add(now time.Duration, p *Damping) {
	f.penalty = min(f.now(now, p)+1, p.Max)
	f.updatedAt = now
	if f.penalty >= p.Suppress {
		f.damped = true
	}
}

// suppressed reports whether the target is damped, and ends damping once the penalty has
// fallen to Reuse.
func (f *flaps) suppressed(now time.Duration, p *Damping) bool {
	if f.damped && f.now(now, p) <= p.Reuse {
		f.damped = false
	}
	return f.damped
}

// record adds to the penalty if the record is a flap: another incarnation, or a change of
// health. A planned drain is none.
func (f *flaps) record(now time.Duration, p *Damping, old, next *controlpb.TargetRecord, known bool) {
	if !known {
		return
	}
	if old.GetIncarnation() != next.GetIncarnation() || old.GetIll() != next.GetIll() {
		f.add(now, p)
	}
}
