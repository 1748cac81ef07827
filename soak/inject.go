package soak

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// stopPatience is how long a program may take to end when it is asked to.
	stopPatience = 10 * time.Second
	// drainTime is how long a target stays after its leaving was acknowledged.
	drainTime = 1500 * time.Millisecond
	// fullBytes is the size beyond which no file grows on a full disk.
	fullBytes = 4 << 10
	lossShare = 0.2
	slowness  = 40 * time.Millisecond
)

// injector plays the faults of a plan on a deployment.
type injector struct {
	d     *standin.Deployment
	truth *Checker
	// entries and operators are the paths to entry hosts and control hosts.
	entries   []*faultproxy.Relay
	operators []*faultproxy.TCPRelay
	// patience is added to what programs may take on a busy machine.
	patience time.Duration
	steps    conc.WaitGroup

	mu   sync.Mutex
	busy map[any]bool
	// down are the programs that were ended on purpose.
	down map[*standin.Process]bool
	// said are the programs whose own end was noted.
	said map[*standin.Process]bool
}

// newInjector puts a relay before each entry host and each control host.
func newInjector(d *standin.Deployment, truth *Checker, o Options) (*injector, error) {
	in := &injector{d: d, truth: truth, patience: o.TimeoutMargin, busy: map[any]bool{}, down: map[*standin.Process]bool{}, said: map[*standin.Process]bool{}}
	local := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0)
	for i, p := range d.Entries {
		host := netip.MustParseAddr(p.Host)
		relay, err := faultproxy.NewRelay(faultproxy.Options{
			Listen: local, Hosts: []netip.AddrPort{standin.PacketAddress(host)},
			Rand: rand.New(rand.NewPCG(o.Seed, pathStream+uint64(i))),
		})
		if err != nil {
			in.close()
			return nil, err
		}
		in.entries = append(in.entries, relay)
		d.Router.SetRelay(host, relay.Addr())
	}
	for _, p := range d.Controls {
		relay, err := faultproxy.NewTCPRelay(local, standin.OperatorAddress(netip.MustParseAddr(p.Host)))
		if err != nil {
			in.close()
			return nil, err
		}
		in.operators = append(in.operators, relay)
	}
	return in, nil
}

// pathStream keeps the chance of paths apart from that of the plan.
const pathStream = 100

func (in *injector) close() {
	for _, r := range in.entries {
		r.Close()
	}
	for _, r := range in.operators {
		r.Close()
	}
}

// urls are where operators reach the control hosts.
func (in *injector) urls() []string {
	var out []string
	for _, r := range in.operators {
		out = append(out, "http://"+r.Addr().String())
	}
	return out
}

// take marks what a fault disturbs, unless another one does.
func (in *injector) take(victims ...any) bool {
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

// apply starts a fault, which ends by itself. It reports whether there was one: two
// faults do not disturb one process at a time.
func (in *injector) apply(s Fault) bool {
	switch s.Kind {
	case KillEntry, StopEntry, FreezeEntry:
		return in.process(s, in.d.Entries)
	case KillAgent, FreezeAgent:
		return in.process(s, in.d.Agents)
	case KillControl, StopControl, FreezeControl, WipeControl, FillControl:
		return in.process(s, in.d.Controls)
	case Reload:
		return in.process(s, in.d.Processes())
	case KillControls:
		return in.killAll(s, in.d.Controls)
	case KillAll:
		return in.killAll(s, in.d.Processes())
	case CrashTarget, DrainTarget:
		return in.target(s)
	}
	return in.path(s)
}

// process disturbs one process.
func (in *injector) process(s Fault, among []*standin.Process) bool {
	p := among[s.Victim%len(among)]
	if !in.take(p) {
		return false
	}
	in.disturbed(s.For, p)
	in.steps.Go(func() {
		defer in.release(p)
		switch s.Kind {
		case FreezeEntry, FreezeAgent, FreezeControl:
			p.Signal(syscall.SIGSTOP)
			time.Sleep(s.For)
			p.Signal(syscall.SIGCONT)
		case Reload:
			p.Signal(syscall.SIGHUP)
		case FillControl:
			in.fill(p, s.For)
		default:
			in.restart(p, s)
		}
		in.disturbed(0, p)
	})
	return true
}

// restart ends a process in the way of the fault and starts it after its time.
func (in *injector) restart(p *standin.Process, s Fault) {
	in.setDown(p, true)
	if s.Kind == StopEntry || s.Kind == StopControl {
		if err := p.Stop(stopPatience + in.patience); err != nil {
			in.truth.AddViolation(RuleProcessExit, "%s on %s was asked to stop: %v", p.Role, p.Host, err)
		}
	} else {
		p.Kill()
	}
	if s.Kind == WipeControl {
		if err := in.d.WipeDisk(p); err != nil {
			in.truth.AddViolation(RuleProcessExit, "disk of %s not emptied: %v", p.Host, err)
		}
	}
	time.Sleep(s.For)
	in.start(p)
}

func (in *injector) start(p *standin.Process) {
	if err := p.Start(); err != nil {
		in.truth.AddViolation(RuleProcessExit, "%s on %s does not start: %v", p.Role, p.Host, err)
	}
	in.setDown(p, false)
}

// fill leaves a control host no room on its disk for a while.
func (in *injector) fill(p *standin.Process, lasts time.Duration) {
	if err := p.LimitFiles(fullBytes); err != nil {
		in.truth.AddViolation(RuleProcessExit, "disk of %s not filled: %v", p.Host, err)
		return
	}
	time.Sleep(lasts)
	if err := p.LimitFiles(-1); err != nil {
		in.truth.AddViolation(RuleProcessExit, "disk of %s not emptied: %v", p.Host, err)
	}
}

// killAll kills processes at the same moment.
func (in *injector) killAll(s Fault, all []*standin.Process) bool {
	victims := make([]any, 0, len(all))
	for _, p := range all {
		victims = append(victims, p)
	}
	if !in.take(victims...) {
		return false
	}
	in.disturbed(s.For, all...)
	in.steps.Go(func() {
		defer in.release(victims...)
		var kills conc.WaitGroup
		for _, p := range all {
			in.setDown(p, true)
			kills.Go(p.Kill)
		}
		kills.Wait()
		time.Sleep(min(s.For, time.Second))
		for _, p := range all {
			in.start(p)
		}
		in.disturbed(0, all...)
	})
	return true
}

// target crashes a target, or drains it first, and starts another life of it.
func (in *injector) target(s Fault) bool {
	t := in.d.Targets[s.Victim%len(in.d.Targets)]
	if !in.take(t) {
		return false
	}
	in.steps.Go(func() {
		defer in.release(t)
		if s.Kind == DrainTarget && t.Drain(stopPatience+in.patience) {
			time.Sleep(drainTime)
			if last, acked := t.LastOpened(), t.DrainAckedAt(); last.After(acked) {
				in.truth.AddViolation(RuleDrain, "%s opened a flow %s after its agent had acknowledged that it leaves", t.Instance(), last.Sub(acked))
			}
		}
		in.truth.RecordInstanceEnd(t.Instance())
		t.Crash()
		time.Sleep(s.For)
		if err := t.Restart(); err != nil {
			in.truth.AddViolation(RuleProcessExit, "target %s does not start: %v", t.IP, err)
		}
	})
	return true
}

// path disturbs the path to an entry host or a control host.
func (in *injector) path(s Fault) bool {
	if s.Kind == ResetOperator {
		in.operators[s.Victim%len(in.operators)].CloseConnections()
		return true
	}
	if s.Kind == CutOperator {
		r := in.operators[s.Victim%len(in.operators)]
		return in.faults(r, s.For, func(f faultproxy.Faults) { r.SetFaults(faultproxy.ToCaller, f) }, faultproxy.Faults{Cut: true})
	}
	r := in.entries[s.Victim%len(in.entries)]
	faults := faultproxy.Faults{Cut: true}
	switch s.Kind {
	case LosePackets:
		faults = faultproxy.Faults{Drop: lossShare, Duplicate: lossShare}
	case DelayPackets:
		faults = faultproxy.Faults{Delay: slowness, Reorder: lossShare, ReorderDelay: slowness}
	}
	return in.faults(r, s.For, func(f faultproxy.Faults) { r.SetFaults(faultproxy.ToHost, f) }, faults)
}

func (in *injector) faults(relay any, lasts time.Duration, set func(faultproxy.Faults), f faultproxy.Faults) bool {
	if !in.take(relay) {
		return false
	}
	set(f)
	in.steps.Go(func() {
		defer in.release(relay)
		time.Sleep(lasts)
		set(faultproxy.Faults{})
	})
	return true
}

// disturbed notes that hosts are disturbed for a time from now on.
func (in *injector) disturbed(lasts time.Duration, all ...*standin.Process) {
	for _, p := range all {
		in.truth.RecordDisturbance(p.Host, time.Now().Add(lasts))
	}
}

func (in *injector) setDown(p *standin.Process, down bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.down[p] = down
}

// watch notes programs that have ended without a fault, and starts them again.
func (in *injector) watch() {
	for _, p := range in.d.Processes() {
		in.mu.Lock()
		unasked := !p.Running() && !in.down[p] && !in.busy[p]
		told := in.said[p]
		in.said[p] = told || unasked
		in.mu.Unlock()
		if unasked && !told {
			in.truth.AddViolation(RuleProcessExit, "%s on %s ended by itself, see %s", p.Role, p.Host, in.d.LogFile(p))
		}
	}
}
