package controld

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
)

// slotTableLoop proposes the slot table in the grant groups. It stops the daemon if the
// agreed table has another number of groups than are open here.
func (d *Daemon) slotTableLoop() {
	if d.grants.count() == 0 {
		return
	}
	d.every(slotTablePeriod, func() {
		table := d.grants.table()
		if table == nil {
			d.proposeSlotTable(0, grant.NewSlotTable(d.grants.count()))
			return
		}
		if table.Groups() != d.grants.count() {
			d.requireRestart(table.Groups())
			return
		}
		for index := 1; index < d.grants.count(); index++ {
			d.proposeSlotTable(index, table)
		}
	})
}

// proposeSlotTable proposes a table in a group that has none, if this host leads it. The
// first group decides; the others get its table.
func (d *Daemon) proposeSlotTable(index int, table *grant.SlotTable) {
	group := grantGroup(index)
	if d.grants.at(index).view().table != nil || !d.isLeader(group) {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	if err := d.configureGrants(ctx, group, &grantpb.Configure{Table: table.ToProto()}); err != nil {
		d.scope.Counter("failed_agreements").Inc(1)
		return
	}
	d.log.Info("slot table agreed on", zap.String("group", groupName(group)), zap.Int("groups", table.Groups()))
}

func (d *Daemon) requireRestart(agreed int) {
	select {
	case d.restartRequired <- errors.Wrapf(ErrInvalidGrantGroups, "the deployment agreed on %d, this host has %d open: restart it",
		agreed, d.grants.count()):
	default:
	}
}

// configureGrants sets the slot table or retention of a grant group. The error is
// replica.ErrInvalidCommand if the group refused it.
func (d *Daemon) configureGrants(ctx context.Context, group controlpb.Group, c *grantpb.Configure) error {
	command, err := proto.Marshal(&grantpb.Command{Body: &grantpb.Command_Configure{Configure: c}})
	if err != nil {
		return errors.Wrap(replica.ErrInvalidCommand, err.Error())
	}
	data, err := d.replicas[group].Propose(ctx, command)
	if err != nil {
		return err
	}
	var result grantpb.Result
	if err := proto.Unmarshal(data, &result); err != nil {
		return errors.Wrap(replica.ErrUnknown, err.Error())
	}
	if !result.GetTaken() {
		return errors.Wrapf(replica.ErrInvalidCommand, "refused by %s", groupName(group))
	}
	return nil
}

// SetRetention implements operator.Handler.
func (h *operatorHandler) SetRetention(ctx context.Context, r operator.Retention) error {
	keep := grant.Retention{
		Answered: time.Duration(r.Answered) * time.Second,
		Held:     time.Duration(r.Held) * time.Second,
	}
	if !keep.Valid() {
		return errors.Wrapf(operator.ErrNotApplied, "answers are kept from %v to %v, keys without an answer from %v to %v",
			grant.MinAnsweredRetention, grant.AnsweredRetention, grant.MinHeldRetention, grant.HeldRetention)
	}
	var first error
	for index := range h.grants.count() {
		err := (*Daemon)(h).configureGrants(ctx, grantGroup(index), &grantpb.Configure{Retention: keep.ToProto()})
		first = firstError(first, err)
	}
	return partialError(first)
}

func (h *operatorHandler) grantStatus(index int) *operator.GrantStatus {
	v := h.grants.at(index).view()
	out := &operator.GrantStatus{
		Held:     v.held,
		Answered: v.answered,
		Full:     max(v.records, v.bytes),
		Retention: operator.Retention{
			Answered: int(v.retention.Answered.Seconds()),
			Held:     int(v.retention.Held.Seconds()),
		},
	}
	if h.grants.count() == 0 {
		return nil
	}
	if table := h.grants.table(); table != nil {
		out.Slots = table.SlotCount(index)
	}
	return out
}
