package soak

import (
	"cmp"
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

	// Planned work, during which no open flow may be reset.
	StopAgent  Kind = "stop agent"
	RollAgents Kind = "stop all agents in turn"
)

// weightedKind is a kind with its relative frequency.
type weightedKind struct {
	kind   Kind
	weight int
}

// faultWeights lists the kinds with their relative frequency.
var faultWeights = []weightedKind{
	{KillEntry, 4}, {StopEntry, 3}, {FreezeEntry, 3},
	{KillAgent, 4}, {FreezeAgent, 3},
	{KillControl, 4}, {StopControl, 2}, {FreezeControl, 3}, {WipeControl, 3}, {FillControl, 2},
	{KillControls, 1}, {KillAll, 1}, {Reload, 2},
	{CrashTarget, 3}, {DrainTarget, 3},
	{LosePackets, 3}, {DelayPackets, 3}, {CutPath, 2}, {CutOperator, 2}, {ResetOperator, 2},
}

// plannedWeights lists the kinds of planned work with their relative frequency.
var plannedWeights = []weightedKind{{StopAgent, 3}, {RollAgents, 1}}

const (
	// faultInterval is the mean time between two faults. It lets some overlap.
	faultInterval = 700 * time.Millisecond
	// plannedInterval is the mean time between two items of planned work.
	plannedInterval = 3 * time.Second
	// minFaultTime and maxFaultTime bound the duration of a fault. The maximum exceeds
	// the lease of a target and an election.
	minFaultTime = 200 * time.Millisecond
	maxFaultTime = 4 * time.Second
	// maxPlannedTime bounds the time between the end of a process and its start in planned
	// work.
	maxPlannedTime = time.Second
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

// Plan generates the faults and the planned work of a run. The same seed and length give the
// same plan.
func Plan(seed uint64, length time.Duration) []Fault {
	plan := append(faults(seed, length), plannedWork(seed, length)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// plannedWork generates the planned work, with a random stream of its own.
func plannedWork(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, plannedStream))
	var plan []Fault
	for at := plannedInterval; at < length; at += time.Duration(random.Float64() * 2 * float64(plannedInterval)) {
		plan = append(plan, Fault{
			At:     at,
			Kind:   randomKind(random, plannedWeights),
			Victim: random.IntN(1 << 16),
			For:    minFaultTime + time.Duration(random.Float64()*float64(maxPlannedTime-minFaultTime)),
		})
	}
	return plan
}

// faults generates the faults.
func faults(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, planStream))
	var plan []Fault
	// No control host is disturbed before nextControlFault, no disk is lost before nextWipe.
	var nextControlFault, nextWipe time.Duration
	for at := faultInterval; at < length; at += time.Duration(random.Float64() * 2 * float64(faultInterval)) {
		fault := Fault{
			At:     at,
			Kind:   randomKind(random, faultWeights),
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

// planStream is the random stream of the faults, plannedStream that of the planned work.
const (
	planStream    = 1
	plannedStream = 5
)

func randomKind(random *rand.Rand, weights []weightedKind) Kind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := random.IntN(total)
	for _, w := range weights {
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
