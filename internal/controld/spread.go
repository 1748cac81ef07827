package controld

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
)

// agreeLoop has the groups of grants agree on the slot table, and ends the
// daemon if the agreed one has another number of groups than are open here.
func (d *Daemon) agreeLoop() {
	d.every(agreePeriod, func() {
		table := d.grants.table()
		if table == nil {
			d.agree(0, grant.NewSlotTable(d.grants.count()))
			return
		}
		if table.Groups() != d.grants.count() {
			d.reportMisfit(table.Groups())
			return
		}
		for index := 1; index < d.grants.count(); index++ {
			d.agree(index, table)
		}
	})
}

// agree proposes a table to a group that has none, if this host leads it. The
// first group decides: the others get what it agreed on.
func (d *Daemon) agree(index int, table *grant.SlotTable) {
	group := grantGroup(index)
	if d.grants.at(index).view().table != nil || !d.leads(group) {
		return
	}
	command, err := proto.Marshal(&grantpb.Command{Body: &grantpb.Command_Configure{
		Configure: &grantpb.Configure{Table: table.Message()},
	}})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	if _, err := d.replicas[group].ProposeLocal(ctx, command); err != nil {
		d.scope.Counter("failed_agreements").Inc(1)
		return
	}
	d.log.Info("slot table proposed", zap.String("group", groupName(group)), zap.Int("groups", table.Groups()))
}

func (d *Daemon) reportMisfit(agreed int) {
	select {
	case d.misfit <- errors.Wrapf(ErrGrantGroups, "the deployment agreed on %d, this host has %d open: start it again",
		agreed, d.grants.count()):
	default:
	}
}

// preferred returns the voter that should lead a group of grants: each group
// the next one, in the order of their names. Nil if there is none.
func preferred(members []replica.MemberStatus, index int) *raftpb.ReplicaID {
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

// spreadLoop asks for the leadership of the groups that this host should lead.
// It asks instead of being told: a host that stops, or lags behind, does not.
func (d *Daemon) spreadLoop() {
	if d.grants.count() == 1 {
		return
	}
	asked := map[int]time.Time{}
	d.every(spreadPeriod, func() {
		for index := range d.grants.count() {
			if time.Since(asked[index]) < spreadPause || !d.shouldLead(index) {
				continue
			}
			asked[index] = time.Now()
			d.askToLead(grantGroup(index))
		}
	})
}

// shouldLead reports whether this host should lead a group, and can, and does
// not.
func (d *Daemon) shouldLead(index int) bool {
	s := d.replicas[grantGroup(index)].Status()
	if d.leaving.Load() || s.Leader == nil || s.Leading() || s.Applied+promoteLag < s.Commit {
		return false
	}
	return proto.Equal(preferred(s.Members, index), s.Self)
}

func (d *Daemon) askToLead(group controlpb.Group) {
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
			err = link.FaultOf(res)
		}
		if err != nil {
			d.scope.Counter("failed_take_overs").Inc(1)
		}
	}
}

// takeOver hands the leadership of a group over to the host that should lead
// it.
func (h *handler) takeOver(ctx context.Context, peer link.Peer, t *controlpb.TakeOver) *controlpb.Response {
	r := h.replicas[t.GetGroup()]
	if r == nil || t.GetGroup() == controlpb.Group_GROUP_CONFIG {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, "no such group of grants")
	}
	to := preferred(r.Status().Members, grantIndex(t.GetGroup()))
	if to.GetName() != peer.Name {
		return h.fault(refusedSender, controlpb.FaultKind_FAULT_NOT_DONE, "another host should lead the group")
	}
	if err := r.HandOverTo(ctx, to); err != nil {
		return h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	}
	return done()
}
