package controld

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

const (
	// restartPeriod is the interval between checks which registered targets have come back
	// after a start of this host.
	restartPeriod = 20 * time.Millisecond
	// maxLeaves bounds the leaving targets that are recorded concurrently. Others are
	// recorded when their lease is renewed.
	maxLeaves = 64
)

// restartState is how far the targets have come back after a start of this host.
type restartState struct {
	// awaited is the number of registered targets that are missing, valid if known.
	awaited uint32
	known   bool
	// complete: the directory has all targets that have restarted, and no other one runs.
	complete bool
}

// allReturned reports whether no target is missing that may take new flows.
func (s restartState) allReturned() bool { return s.known && s.awaited == 0 }

// restart has the restartState for subscriptions, nil if there is none.
type restart struct {
	state atomic.Pointer[restartState]
}

func (r *restart) load() restartState {
	if s := r.state.Load(); s != nil {
		return *s
	}
	return restartState{}
}

// restartLoop determines which registered targets have come back, until the directory is
// complete.
func (d *Daemon) restartLoop() {
	var check restartCheck
	ticker := time.NewTicker(restartPeriod)
	defer ticker.Stop()
	for !d.directory.complete() {
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return
		}
		d.updateRestart(&check)
	}
	d.restart.state.Store(nil)
}

// restartCheck is the state of the checks.
type restartCheck struct {
	tracker membership.RestartTracker
	// last has the inputs of the last summary: with 12,000 targets it takes a millisecond.
	last restartInputs
}

// restartInputs is what a restartState follows from.
type restartInputs struct {
	directory uint64 // sequence
	commands  uint64 // applied to the configuration
	term      uint64
	settled   bool
}

func (d *Daemon) updateRestart(check *restartCheck) {
	now := d.directory.now()
	starting, heardAt := d.allHostsStarting(now)
	check.tracker.Update(now, starting)
	if !d.stateConfirmed.Load() {
		return
	}
	status := d.replicas[controlpb.Group_GROUP_CONFIG].Status()
	settled := status.Leader != nil && check.tracker.Settled(d.confirmation.since(d.directory.start), heardAt)
	inputs := restartInputs{directory: d.directory.sequence(), commands: d.configs.applied.Load(), term: status.Term, settled: settled}
	if inputs == check.last {
		return
	}
	check.last = inputs
	summary := d.configs.restartedTargets(status.Term, d.directory.hasIncarnation)
	awaited, known := summary.Awaited()
	next := restartState{awaited: uint32(awaited), known: known, complete: settled && summary.Complete()}
	last := d.restart.load()
	d.restart.state.Store(&next)
	if next.complete && !last.complete {
		d.scope.Counter("restarts_of_all_targets").Inc(1)
		d.log.Info("all targets have restarted", zap.Uint64("term", status.Term), zap.Int("targets", d.directory.count()))
	}
	if next.complete != last.complete || next.allReturned() && !last.allReturned() {
		d.directory.changed.notify()
	}
}

// allHostsStarting reports whether this host and all other members of the configuration group
// have started within a lease, and have sent the targets that announce themselves to them. heardAt is when the last of them had sent all
// of them, now if there is no other member.
func (d *Daemon) allHostsStarting(now time.Duration) (starting bool, heardAt time.Duration) {
	members := d.replicas[controlpb.Group_GROUP_CONFIG].Status().Members
	if len(members) == 0 {
		return false, 0 // not known yet
	}
	heardAt = now
	for _, m := range members {
		name := m.Member.GetId().GetName()
		if name == d.name {
			continue
		}
		if !d.directory.hostStarting(name) {
			return false, 0
		}
		heardAt = min(heardAt, d.directory.matchedAt(name))
	}
	return !d.directory.complete(), heardAt
}

// hostStarting reports whether another host has said that its directory is not complete yet.
func (d *directory) hostStarting(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	load, known := d.loads[name]
	return known && !load.complete
}

// matchedAt returns when this directory last had all targets that announce themselves to another
// host, zero if it never had.
func (d *directory) matchedAt(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.MatchedAt(membership.Source(name))
}

// leaves has the targets whose leaving is being recorded.
type leaves struct {
	mu      sync.Mutex
	numbers map[uint32]bool
}

// begin returns false if a target is being recorded, or too many are.
func (l *leaves) begin(number uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.numbers[number] || len(l.numbers) >= maxLeaves {
		return false
	}
	if l.numbers == nil {
		l.numbers = map[uint32]bool{}
	}
	l.numbers[number] = true
	return true
}

func (l *leaves) end(number uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.numbers, number)
}

// recordLeaving records in the replicated state that a target is draining, or that it serves
// again, as one whose backend server was silent does. If this fails, the next renewal of the
// lease repeats it.
func (d *Daemon) recordLeaving(r *controlpb.TargetRecord) {
	id := d.configs.target(r.GetNumber())
	if id == nil || id.GetIncarnation() != r.GetIncarnation() {
		return
	}
	returned := id.GetLeaving()
	expected := controlpb.TargetState_TARGET_STATE_DRAINING
	if returned {
		expected = controlpb.TargetState_TARGET_STATE_SERVING
	}
	if r.GetState() != expected || !d.leaves.begin(r.GetNumber()) {
		return
	}
	command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Leave{
		Leave: &configpb.LeaveTarget{Number: r.GetNumber(), Incarnation: r.GetIncarnation(), Returned: returned},
	}})
	if err != nil {
		d.leaves.end(r.GetNumber())
		return
	}
	d.loops.Go(func() {
		defer d.leaves.end(r.GetNumber())
		ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
		defer cancel()
		if _, err := d.replicas[controlpb.Group_GROUP_CONFIG].Propose(ctx, command); err != nil {
			d.scope.Counter("failed_leaves").Inc(1)
			return
		}
		if returned {
			d.scope.Counter("ended_leaves").Inc(1)
			d.log.Info("target recorded as serving again", zap.Uint32("number", r.GetNumber()), zap.Uint32("incarnation", r.GetIncarnation()))
			return
		}
		d.scope.Counter("leaves").Inc(1)
		d.log.Info("target recorded as leaving", zap.Uint32("number", r.GetNumber()), zap.Uint32("incarnation", r.GetIncarnation()))
	})
}
