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
	CutPath       Kind = "cut the path to an entry host"
	CutOperator   Kind = "cut an operator's path"
	ResetOperator Kind = "reset an operator's connections"
)

// faultWeights lists the kinds with their relative frequency.
var faultWeights = []struct {
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
	// faultInterval is the mean time between two faults. It lets some overlap.
	faultInterval = 700 * time.Millisecond
	// minFaultTime and maxFaultTime bound the duration of a fault. The maximum exceeds
	// the lease of a target and an election.
	minFaultTime = 200 * time.Millisecond
	maxFaultTime = 4 * time.Second
	// catchUpTime bounds the time in which a control host with an empty disk gets its vote.
	catchUpTime = 6 * time.Second
)

// Fault is a fault of a plan.
type Fault struct {
	// At is the time of the fault after the start of the run.
	At   time.Duration
	Kind Kind
	// Victim selects among the possible victims, modulo their number.
	Victim int
	// For is the duration of the fault.
	For time.Duration
}

// Plan generates the faults of a run. The same seed and length give the same plan.
func Plan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, planStream))
	var plan []Fault
	// No control host is disturbed before nextControlFault, no disk is lost before nextWipe.
	var nextControlFault, nextWipe time.Duration
	for at := faultInterval; at < length; at += time.Duration(random.Float64() * 2 * float64(faultInterval)) {
		fault := Fault{
			At:     at,
			Kind:   randomKind(random),
			Victim: random.IntN(1 << 16),
			For:    minFaultTime + time.Duration(random.Float64()*float64(maxFaultTime-minFaultTime)),
		}
		if !affectsControl(fault.Kind) {
			plan = append(plan, fault)
			continue
		}
		if at < nextControlFault || fault.Kind == WipeControl && at < nextWipe {
			continue
		}
		nextWipe = max(nextWipe, at+fault.For+catchUpTime)
		if fault.Kind == WipeControl {
			nextControlFault = at + fault.For + catchUpTime
		}
		plan = append(plan, fault)
	}
	return plan
}

// planStream is the random stream of the plan.
const planStream = 1

func randomKind(random *rand.Rand) Kind {
	total := 0
	for _, w := range faultWeights {
		total += w.weight
	}
	n := random.IntN(total)
	for _, w := range faultWeights {
		if n < w.weight {
			return w.kind
		}
		n -= w.weight
	}
	return Reload
}

// affectsControl reports whether a fault disturbs control hosts.
func affectsControl(k Kind) bool {
	return slices.Contains([]Kind{KillControl, StopControl, FreezeControl, WipeControl, FillControl, KillControls, KillAll}, k)
}
