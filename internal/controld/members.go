package controld

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
	"eelgrasswharf.example/eelgrasswharf/raft"
	"eelgrasswharf.example/eelgrasswharf/voters"
)

// membersLoop adjusts the members of the groups that this host leads if the settings have
// automatic members.
func (d *Daemon) membersLoop() {
	if !d.settings.GetReplica().GetAutomaticMembers() {
		return
	}
	trackers := map[controlpb.Group]*inactivityTracker{}
	for _, group := range d.groups {
		trackers[group] = newInactivityTracker()
	}
	d.every(membersPeriod, func() {
		for _, group := range d.groups {
			d.reconcileMembers(group, trackers[group])
		}
	})
}

// reconcileMembers makes at most one membership change in a group.
func (d *Daemon) reconcileMembers(group controlpb.Group, tracker *inactivityTracker) {
	r := d.replicas[group]
	s := r.Status()
	if !s.Leading() || d.stopping.Load() {
		tracker.reset()
		if group == controlpb.Group_GROUP_CONFIG {
			d.shortage.update(false, time.Now())
		}
		return
	}
	members := tracker.update(membersOf(s), time.Now())
	if group == controlpb.Group_GROUP_CONFIG {
		d.updateShortage(members)
	}
	change := voters.NextChange(members, d.memberLimits())
	if change.Kind == voters.None {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, membersTimeout)
	defer cancel()
	err := d.changeMember(ctx, r, change)
	log := d.log.With(
		zap.String("group", groupName(group)),
		zap.String("member", change.Replica.Name),
		zap.Uint64("incarnation", change.Replica.Incarnation),
		zap.Bool("promote", change.Kind == voters.Promote),
		zap.String("reason", string(change.Reason)),
	)
	if err != nil {
		d.scope.Counter("failed_member_changes").Inc(1)
		log.Info("member change failed, will retry", zap.Error(err))
		return
	}
	log.Info("member changed")
}

func (d *Daemon) memberLimits() voters.Limits {
	r := d.settings.GetReplica()
	return voters.Limits{
		VoterLimit:      raft.MaxVoters,
		MinActiveVoters: int(r.GetLeastVoters()),
		RemoveAfter:     cmp.Or(time.Duration(r.GetGoneAfterMs())*time.Millisecond, defaultRemoveAfter),
	}
}

func (d *Daemon) changeMember(ctx context.Context, r *replica.Replica, c voters.Change) error {
	id := &raftpb.ReplicaID{Name: c.Replica.Name, Incarnation: c.Replica.Incarnation}
	if c.Kind == voters.Promote {
		return r.Promote(ctx, id)
	}
	return r.Remove(ctx, id)
}

// membersOf returns the members of a group as seen by its leader.
func membersOf(s replica.Status) []voters.Member {
	out := make([]voters.Member, 0, len(s.Members))
	for _, m := range s.Members {
		id := m.Member.GetId()
		self := id.GetName() == s.Self.GetName() && id.GetIncarnation() == s.Self.GetIncarnation()
		out = append(out, voters.Member{
			Replica:       voters.Replica{Name: id.GetName(), Incarnation: id.GetIncarnation()},
			FailureDomain: m.Member.GetFailureDomain(),

			Learner:   m.Member.GetLearner(),
			Transient: m.Member.GetTransient(),
			Active:    m.Active || self,
			CaughtUp:  m.CaughtUp || self,
		})
	}
	return out
}

// directoryComplete reports whether the directory has all targets: either a lease has passed
// since the start, or a quorum has confirmed the local state and each registered target is
// in the directory. The second condition is met sooner after a start of all hosts, but never
// while a target is registered that vanished without unregistering.
func (d *Daemon) directoryComplete() bool {
	if d.directory.complete() {
		return true
	}
	return d.stateConfirmed.Load() && d.configs.allTargetsKnown(d.directory.hasIncarnation)
}

// enoughVoters reports whether configuration changes may be accepted. With too few voters
// after the bootstrap, an accepted change could be lost with them. Hosts that never join
// block changes only for votersWaitTimeout.
func (d *Daemon) enoughVoters() bool {
	minVoters := int(d.settings.GetReplica().GetLeastVoters())
	if minVoters <= 1 || time.Since(d.startedAt) > votersWaitTimeout {
		return true
	}
	return voters.CountVoters(membersOf(d.replicas[controlpb.Group_GROUP_CONFIG].Status())) >= minVoters
}
