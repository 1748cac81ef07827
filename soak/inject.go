package soak

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// stopTimeout bounds the time in which a process exits after SIGTERM.
	stopTimeout = 10 * time.Second
	// drainTime is how long a target runs at least after its draining was acknowledged.
	drainTime = 1500 * time.Millisecond
	// drainStretch is the factor of a fault's duration by which a target runs longer. Agents
	// restart meanwhile, and leases end.
	drainStretch = 2
	// maxFileBytes is the file size limit that simulates a full disk.
	maxFileBytes    = 4 << 10
	lossProbability = 0.2
	// startPoll is the time between two looks at the log of a process that starts.
	startPoll   = 5 * time.Millisecond
	packetDelay = 40 * time.Millisecond
)

// injector injects the faults of a plan into a deployment.
type injector struct {
	deployment *standin.Deployment
	checker    *Checker
	// entryRelays and operatorRelays are the relays before entry hosts and control hosts.
	entryRelays    []*faultproxy.Relay
	operatorRelays []*faultproxy.TCPRelay
	// timeoutMargin is added to stopTimeout.
	timeoutMargin time.Duration
	steps         conc.WaitGroup
	longest       *steps

	mu   sync.Mutex
	busy map[any]bool
	// down contains the processes that were stopped by a fault.
	down map[*standin.Process]bool
	// reported contains the processes whose unexpected exit was recorded.
	reported map[*standin.Process]bool
}

// newInjector starts a relay before each entry host and each control host.
func newInjector(deployment *standin.Deployment, checker *Checker, o Options) (*injector, error) {
	in := &injector{deployment: deployment, checker: checker, timeoutMargin: o.TimeoutMargin, busy: map[any]bool{}, down: map[*standin.Process]bool{}, reported: map[*standin.Process]bool{}}
	local := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0)
	for i, p := range deployment.EntryHosts {
		host := netip.MustParseAddr(p.Host)
		relay, err := faultproxy.NewRelay(faultproxy.Options{
			Listen: local, Hosts: []netip.AddrPort{standin.PacketAddress(host)},
			Rand: rand.New(rand.NewPCG(o.Seed, pathStream+uint64(i))),
		})
		if err != nil {
			in.close()
			return nil, err
		}
		in.entryRelays = append(in.entryRelays, relay)
		deployment.Router.SetRelay(host, relay.Addr())
	}
	for _, p := range deployment.ControlHosts {
		relay, err := faultproxy.NewTCPRelay(local, standin.OperatorAddress(netip.MustParseAddr(p.Host)))
		if err != nil {
			in.close()
			return nil, err
		}
		in.operatorRelays = append(in.operatorRelays, relay)
	}
	return in, nil
}

// pathStream is the first random stream of the relays.
const pathStream = 100

func (in *injector) close() {
	for _, r := range in.entryRelays {
		r.Close()
	}
	for _, r := range in.operatorRelays {
		r.Close()
	}
}

// urls returns the base URLs of the relays for operators' calls.
func (in *injector) urls() []string {
	var out []string
	for _, r := range in.operatorRelays {
		out = append(out, "http://"+r.Addr().String())
	}
	return out
}

// acquire marks the victims of a fault as busy, unless one of them is already.
func (in *injector) acquire(victims ...any) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, v := range victims {
		if in.busy[v] {
			return false
		}
	}
	for _, v := range victims {
		in.busy[v] = true
	}
	return true
}

func (in *injector) release(victims ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, v := range victims {
		delete(in.busy, v)
	}
}

// apply starts a fault, which ends by itself. It returns false if a victim is busy with
// another fault.
func (in *injector) apply(fault Fault) bool {
	switch fault.Kind {
	case KillEntry, StopEntry, FreezeEntry:
		return in.applyToProcess(fault, in.deployment.EntryHosts)
	case RollAgents:
		return in.rollAgents(fault)
	case KillAgent, FreezeAgent, StopAgent:
		return in.applyToProcess(fault, in.deployment.Agents)
	case KillControl, StopControl, FreezeControl, WipeControl, FillControl:
		return in.applyToProcess(fault, in.deployment.ControlHosts)
	case Reload:
		return in.applyToProcess(fault, in.deployment.Processes())
	case KillControls:
		return in.killAll(fault, in.deployment.ControlHosts)
	case KillAll:
		return in.killAll(fault, in.deployment.Processes())
	case CrashTarget, DrainTarget:
		return in.applyToTarget(fault)
	}
	return in.applyToPath(fault)
}

// applyToProcess starts a fault of one process.
func (in *injector) applyToProcess(fault Fault, among []*standin.Process) bool {
	p := among[fault.Victim%len(among)]
	if !in.acquire(p) {
		return false
	}
	if fault.Kind == StopAgent {
		// Planned work is no disturbance: it excuses nothing.
		in.steps.Go(func() {
			defer in.release(p)
			in.restart(p, fault)
		})
		return true
	}
	in.markDisturbed(fault.For, p)
	in.steps.Go(func() {
		defer in.release(p)
		switch fault.Kind {
		case FreezeEntry, FreezeAgent, FreezeControl:
			p.Signal(syscall.SIGSTOP)
			time.Sleep(fault.For)
			p.Signal(syscall.SIGCONT)
		case Reload:
			p.Signal(syscall.SIGHUP)
		case FillControl:
			in.fill(p, fault.For)
		default:
			in.restart(p, fault)
		}
		in.markDisturbed(0, p)
	})
	return true
}

// rollAgents stops each agent and starts it again, one after the other, without those that are
// busy with another fault.
func (in *injector) rollAgents(fault Fault) bool {
	in.steps.Go(func() {
		for _, p := range in.deployment.Agents {
			if in.acquire(p) {
				in.restart(p, fault)
				in.release(p)
			}
		}
	})
	return true
}

// isStop reports whether a fault stops a process by a signal that it may handle.
func isStop(k Kind) bool {
	return slices.Contains([]Kind{StopEntry, StopControl, StopAgent, RollAgents}, k)
}

// restart stops a process as the fault requires and starts it after the fault's duration.
func (in *injector) restart(p *standin.Process, fault Fault) {
	in.setDown(p, true)
	if isStop(fault.Kind) {
		begun := time.Now()
		if err := p.Stop(stopTimeout + in.timeoutMargin); err != nil {
			in.checker.AddViolation(RuleProcessExit, "%s on %s did not stop cleanly: %v", p.Role, p.Host, err)
		}
		in.longest.record(&in.longest.stop, begun)
	} else {
		p.Kill()
	}
	if fault.Kind == WipeControl {
		if err := in.deployment.WipeDisk(p); err != nil {
			in.checker.AddViolation(RuleProcessExit, "wipe disk of %s: %v", p.Host, err)
		}
	}
	time.Sleep(fault.For)
	starts := in.countStarts(p)
	in.start(p)
	in.awaitStart(p, starts)
}

// awaitStart waits until a process has logged another start. Before, it handles no signals, and
// a stop that follows would end it with the status of the signal.
func (in *injector) awaitStart(p *standin.Process, before int) {
	deadline := time.Now().Add(startTimeout + in.timeoutMargin)
	for in.countStarts(p) <= before && p.Running() && time.Now().Before(deadline) {
		time.Sleep(startPoll)
	}
}

func (in *injector) start(p *standin.Process) {
	begun := time.Now()
	if err := p.Start(); err != nil {
		in.checker.AddViolation(RuleProcessExit, "%s on %s does not start: %v", p.Role, p.Host, err)
	}
	in.longest.record(&in.longest.start, begun)
	in.setDown(p, false)
}

// countStarts counts the starts that a process has logged.
func (in *injector) countStarts(p *standin.Process) int {
	log, err := os.ReadFile(in.deployment.LogFile(p))
	if err != nil {
		return 0 // it has not started yet
	}
	return bytes.Count(log, []byte(`"msg":"start"`))
}

// fill simulates a full disk of a control host.
func (in *injector) fill(p *standin.Process, duration time.Duration) {
	if err := p.LimitFiles(maxFileBytes); err != nil {
		in.checker.AddViolation(RuleProcessExit, "fill disk of %s: %v", p.Host, err)
		return
	}
	time.Sleep(duration)
	if err := p.LimitFiles(-1); err != nil {
		in.checker.AddViolation(RuleProcessExit, "free disk of %s: %v", p.Host, err)
	}
}

// killAll kills processes at the same time.
func (in *injector) killAll(fault Fault, all []*standin.Process) bool {
	victims := make([]any, 0, len(all))
	for _, p := range all {
		victims = append(victims, p)
	}
	if !in.acquire(victims...) {
		return false
	}
	in.markDisturbed(fault.For, all...)
	in.steps.Go(func() {
		defer in.release(victims...)
		var kills conc.WaitGroup
		for _, p := range all {
			in.setDown(p, true)
			kills.Go(p.Kill)
		}
		kills.Wait()
		time.Sleep(min(fault.For, time.Second))
		for _, p := range all {
			in.start(p)
		}
		in.markDisturbed(0, all...)
	})
	return true
}

// applyToTarget crashes a target, after draining if required, and restarts it.
func (in *injector) applyToTarget(fault Fault) bool {
	t := in.deployment.Targets[fault.Victim%len(in.deployment.Targets)]
	if !in.acquire(t) {
		return false
	}
	in.steps.Go(func() {
		defer in.release(t)
		if fault.Kind == DrainTarget && in.drain(t) {
			time.Sleep(drainTime + drainStretch*fault.For)
			if last, acked := t.LastOpened(), t.DrainAckedAt(); last.After(acked) {
				in.checker.AddViolation(RuleDrain, "%s opened a flow %s after its agent had acknowledged the draining", t.Instance(), last.Sub(acked))
			}
		}
		in.checker.RecordInstanceEnd(t.Instance())
		t.Crash()
		time.Sleep(fault.For)
		if err := t.Restart(); err != nil {
			in.checker.AddViolation(RuleProcessExit, "target %s does not start: %v", t.IP, err)
		}
	})
	return true
}

// drain asks for the leaving of a target. It reports whether that was acknowledged in time.
func (in *injector) drain(t *standin.Target) bool {
	defer in.longest.record(&in.longest.drain, time.Now())
	return t.Drain(stopTimeout + in.timeoutMargin)
}

// applyToPath starts a fault of the path to an entry host or a control host.
func (in *injector) applyToPath(fault Fault) bool {
	if fault.Kind == ResetOperator {
		in.operatorRelays[fault.Victim%len(in.operatorRelays)].CloseConnections()
		return true
	}
	if fault.Kind == CutOperator {
		r := in.operatorRelays[fault.Victim%len(in.operatorRelays)]
		return in.faults(r, fault.For, func(f faultproxy.Faults) { r.SetFaults(faultproxy.ToCaller, f) }, faultproxy.Faults{Cut: true})
	}
	r := in.entryRelays[fault.Victim%len(in.entryRelays)]
	faults := faultproxy.Faults{Cut: true}
	switch fault.Kind {
	case LosePackets:
		faults = faultproxy.Faults{Drop: lossProbability, Duplicate: lossProbability}
	case DelayPackets:
		faults = faultproxy.Faults{Delay: packetDelay, Reorder: lossProbability, ReorderDelay: packetDelay}
	}
	return in.faults(r, fault.For, func(f faultproxy.Faults) { r.SetFaults(faultproxy.ToHost, f) }, faults)
}

func (in *injector) faults(relay any, duration time.Duration, set func(faultproxy.Faults), f faultproxy.Faults) bool {
	if !in.acquire(relay) {
		return false
	}
	set(f)
	in.steps.Go(func() {
		defer in.release(relay)
		time.Sleep(duration)
		set(faultproxy.Faults{})
	})
	return true
}

// markDisturbed records a fault of hosts that lasts for the duration from now on.
func (in *injector) markDisturbed(duration time.Duration, all ...*standin.Process) {
	for _, p := range all {
		in.checker.RecordDisturbance(p.Host, time.Now().Add(duration))
	}
}

func (in *injector) setDown(p *standin.Process, down bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.down[p] = down
}

// checkProcesses records a violation for each process that exited without a fault.
func (in *injector) checkProcesses() {
	for _, p := range in.deployment.Processes() {
		in.mu.Lock()
		unexpected := !p.Running() && !in.down[p] && !in.busy[p]
		known := in.reported[p]
		in.reported[p] = known || unexpected
		in.mu.Unlock()
		if unexpected && !known {
			in.checker.AddViolation(RuleProcessExit, "%s on %s exited unexpectedly, see %s", p.Role, p.Host, in.deployment.LogFile(p))
		}
	}
}
