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

// agreeLoop has the groups of grants agree on the slot table, and ends the
// daemon if the agreed one has another number of groups than are open here.
func (d *Daemon) agreeLoop() {
	if d.grants.count() == 0 {
		return
	}
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
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	if err := d.configure(ctx, group, &grantpb.Configure{Table: table.ToProto()}); err != nil {
		d.scope.Counter("failed_agreements").Inc(1)
		return
	}
	d.log.Info("slot table agreed on", zap.String("group", groupName(group)), zap.Int("groups", table.Groups()))
}

func (d *Daemon) reportMisfit(agreed int) {
	select {
	case d.misfit <- errors.Wrapf(ErrInvalidGrantGroups, "the deployment agreed on %d, this host has %d open: start it again",
		agreed, d.grants.count()):
	default:
	}
}

// configure has a group of grants agree on a slot table or a retention. An
// error for which errors.Is(err, replica.ErrCommand) holds says that the group
// refused it.
func (d *Daemon) configure(ctx context.Context, group controlpb.Group, c *grantpb.Configure) error {
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
		err := (*Daemon)(h).configure(ctx, grantGroup(index), &grantpb.Configure{Retention: keep.ToProto()})
		first = firstError(first, err)
	}
	return notEverywhere(first)
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
