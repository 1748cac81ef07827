package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	KillEntry     Kind = "kill entry host"
	StopEntry     Kind = "stop entry host"
	FreezeEntry   Kind = "freeze entry host"
	KillAgent     Kind = "kill agent"
	FreezeAgent   Kind = "freeze agent"
	KillControl   Kind = "kill control host"
	StopControl   Kind = "stop control host"
	FreezeControl Kind = "freeze control host"
	WipeControl   Kind = "lose the disk of a control host"
	FillControl   Kind = "fill the disk of a control host"
	KillControls  Kind = "kill all control hosts"
	KillAll       Kind = "kill all processes"
	Reload        Kind = "reload a process"
	CrashTarget   Kind = "crash a target"
	DrainTarget   Kind = "drain a target"
	LosePackets   Kind = "lose packets to an entry host"
	DelayPackets  Kind = "delay packets to an entry host"
	CutPath       Kind = "silence the path to an entry host"
	CutOperator   Kind = "silence an operator's path"
	ResetOperator Kind = "reset an operator's connections"
)

// weighted lists the kinds, with how often each is drawn.
var weighted = []struct {
	kind   Kind
	weight int
}{
	{KillEntry, 4}, {StopEntry, 3}, {FreezeEntry, 3},
	{KillAgent, 4}, {FreezeAgent, 3},
	{KillControl, 4}, {StopControl, 2}, {FreezeControl, 3}, {WipeControl, 3}, {FillControl, 2},
	{KillControls, 1}, {KillAll, 1}, {Reload, 2},
	{CrashTarget, 3}, {DrainTarget, 3},
	{LosePackets, 3}, {DelayPackets, 3}, {CutPath, 2}, {CutOperator, 2}, {ResetOperator, 2},
}

const (
	// stepGap is the mean time between two faults, so that some overlap.
	stepGap = 700 * time.Millisecond
	// shortest and longest bound how long a fault lasts: up to more than the lease of
	// a target, 1.2 s, and an election.
	shortest = 200 * time.Millisecond
	longest  = 4 * time.Second
	// catchUp is how long a control host with an empty disk may take to vote again.
	catchUp = 6 * time.Second
)

// Fault is one fault.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Victim chooses among what the fault can disturb.
	Victim int
	// For is how long it lasts.
	For time.Duration
}

// Plan draws the faults of a run of that length. The same seed gives the same plan.
func Plan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, planStream))
	var plan []Fault
	// No control host is disturbed until noneBefore, and no disk is lost before calm.
	var noneBefore, calm time.Duration
	for at := stepGap; at < length; at += time.Duration(random.Float64() * 2 * float64(stepGap)) {
		s := Fault{
			At:     at,
			Kind:   draw(random),
			Victim: random.IntN(1 << 16),
			For:    shortest + time.Duration(random.Float64()*float64(longest-shortest)),
		}
		if !disturbsControl(s.Kind) {
			plan = append(plan, s)
			continue
		}
		if at < noneBefore || s.Kind == WipeControl && at < calm {
			continue
		}
		calm = max(calm, at+s.For+catchUp)
		if s.Kind == WipeControl {
			noneBefore = at + s.For + catchUp
		}
		plan = append(plan, s)
	}
	return plan
}

// planStream keeps the plan's chance apart from that of callers and operators.
const planStream = 1

func draw(random *rand.Rand) Kind {
	total := 0
	for _, w := range weighted {
		total += w.weight
	}
	n := random.IntN(total)
	for _, w := range weighted {
		if n < w.weight {
			return w.kind
		}
		n -= w.weight
	}
	return Reload
}

// disturbsControl reports whether a fault disturbs control hosts.
func disturbsControl(k Kind) bool {
	return slices.Contains([]Kind{KillControl, StopControl, FreezeControl, WipeControl, FillControl, KillControls, KillAll}, k)
}
