package controld

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
)

// preferredLeader returns the voter that should lead a grant group, nil if there is none.
// The groups are assigned round-robin to the voters by name.
func preferredLeader(members []replica.MemberStatus, index int) *raftpb.ReplicaID {
	var voters []*raftpb.ReplicaID
	for _, m := range members {
		if !m.Member.GetLearner() {
			voters = append(voters, m.Member.GetId())
		}
	}
	if len(voters) == 0 {
		return nil
	}
	slices.SortFunc(voters, func(a, b *raftpb.ReplicaID) int {
		return cmp.Or(cmp.Compare(a.GetName(), b.GetName()), cmp.Compare(a.GetIncarnation(), b.GetIncarnation()))
	})
	return voters[index%len(voters)]
}

// leadershipLoop requests the leadership of the groups that this host should lead. The
// preferred leader requests it itself, because it knows whether it is stopping or lags
// behind.
func (d *Daemon) leadershipLoop() {
	if d.grants.count() == 1 {
		return
	}
	requestedAt := map[int]time.Time{}
	d.every(leadershipPeriod, func() {
		for index := range d.grants.count() {
			if time.Since(requestedAt[index]) < leadershipInterval || !d.shouldLead(index) {
				continue
			}
			requestedAt[index] = time.Now()
			d.requestLeadership(grantGroup(index))
		}
	})
}

// shouldLead reports whether this host is the preferred leader of a group, is able to lead
// it and does not lead it yet.
func (d *Daemon) shouldLead(index int) bool {
	s := d.replicas[grantGroup(index)].Status()
	if d.stopping.Load() || s.Leader == nil || s.Leading() || s.Applied+promoteLag < s.Commit {
		return false
	}
	return proto.Equal(preferredLeader(s.Members, index), s.Self)
}

func (d *Daemon) requestLeadership(group controlpb.Group) {
	s := d.replicas[group].Status()
	for _, m := range s.Members {
		if !proto.Equal(m.Member.GetId(), s.Leader) {
			continue
		}
		p := d.peers.get(d.peers.addressOf(m.Member))
		if p == nil {
			return
		}
		ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
		defer cancel()
		req := &controlpb.Request{Body: &controlpb.Request_TakeOver{TakeOver: &controlpb.TakeOver{Group: group}}}
		res, err := p.calls.Call(ctx, req)
		if err == nil {
			err = link.ResponseError(res)
		}
		if err != nil {
			d.scope.Counter("failed_take_overs").Inc(1)
		}
	}
}

// handleTakeOver transfers the leadership of a group to its preferred leader.
func (h *handler) handleTakeOver(ctx context.Context, peer link.Peer, t *controlpb.TakeOver) *controlpb.Response {
	r := h.replicas[t.GetGroup()]
	if r == nil || t.GetGroup() == controlpb.Group_GROUP_CONFIG {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, "no such group of grants")
	}
	to := preferredLeader(r.Status().Members, grantIndex(t.GetGroup()))
	if to.GetName() != peer.Name {
		return h.fault(refusedSender, controlpb.FaultKind_FAULT_NOT_DONE, "another host should lead the group")
	}
	if err := r.MoveLeadershipTo(ctx, to); err != nil {
		return h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	}
	return doneResponse()
}
