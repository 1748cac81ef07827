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

// membersLoop changes the members of the groups that this host leads as the
// hosts come and go, if the settings ask for it.
func (d *Daemon) membersLoop() {
	if !d.settings.GetReplica().GetAutomaticMembers() {
		return
	}
	silences := map[controlpb.Group]*silence{}
	for _, group := range d.groups {
		silences[group] = newSilence()
	}
	d.every(membersPeriod, func() {
		for _, group := range d.groups {
			d.followHosts(group, silences[group])
		}
	})
}

// followHosts makes at most one change of the members of a group.
func (d *Daemon) followHosts(group controlpb.Group, silent *silence) {
	r := d.replicas[group]
	s := r.Status()
	if !s.Leading() || d.leaving.Load() {
		silent.forget()
		if group == controlpb.Group_GROUP_CONFIG {
			d.lack.note(false, time.Now())
		}
		return
	}
	members := silent.note(membersOf(s), time.Now())
	if group == controlpb.Group_GROUP_CONFIG {
		d.noteSupply(members)
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
		log.Info("member not changed, tried again soon", zap.Error(err))
		return
	}
	log.Info("member changed")
}

func (d *Daemon) memberLimits() voters.Limits {
	r := d.settings.GetReplica()
	return voters.Limits{
		VoterLimit:      raft.MaxVoters,
		MinActiveVoters: int(r.GetLeastVoters()),
		RemoveAfter:     cmp.Or(time.Duration(r.GetGoneAfterMs())*time.Millisecond, defaultGoneAfter),
	}
}

func (d *Daemon) changeMember(ctx context.Context, r *replica.Replica, c voters.Change) error {
	id := &raftpb.ReplicaID{Name: c.Replica.Name, Incarnation: c.Replica.Incarnation}
	if c.Kind == voters.Promote {
		return r.Promote(ctx, id)
	}
	return r.Remove(ctx, id)
}

// membersOf returns the members of a group as its leader sees them.
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

// directoryWhole reports whether the directory has all targets that there are: it has
// listened for a whole lease, or a quorum has confirmed the state here and each
// registered target has been heard of. The latter comes within a second after all
// hosts have started at once. Targets that never say goodbye stay registered, so the
// former has to do after one was lost.
func (d *Daemon) directoryWhole() bool {
	if d.directory.settled() {
		return true
	}
	return d.stateConfirmed.Load() && d.configs.allTargets(d.directory.holds)
}

// enoughVoters reports whether a change of the configuration may be accepted: a
// group that has just been founded has fewer voters than the losses that it is to
// bear, and what it accepted then could be lost. Hosts that never come must not
// hold it up for ever.
func (d *Daemon) enoughVoters() bool {
	least := int(d.settings.GetReplica().GetLeastVoters())
	if least <= 1 || time.Since(d.began) > votersPatience {
		return true
	}
	return voters.CountVoters(membersOf(d.replicas[controlpb.Group_GROUP_CONFIG].Status())) >= least
}
