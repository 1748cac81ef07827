package agentd

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

// controlCaller asks the control hosts. link.Client implements it.
type controlCaller interface {
	Call(ctx context.Context, req *controlpb.Request) (*controlpb.Response, error)
}

// control is what the agent asks of the control hosts.
type control struct {
	caller controlCaller
	// refused counts commands that named another slot table than the agreed one.
	refused tally.Counter
	// table is the digest of the slot table that a control host last named, 0
	// before the first answer. A deployment keeps its table for good: one that
	// names another was founded anew.
	table atomic.Uint64
	// slots is that table, nil if this release does not know it.
	slots atomic.Pointer[grant.SlotTable]
}

// learn takes over the slot table that a result names.
func (c *control) learn(result *grantpb.Result) {
	digest := result.GetTable()
	if digest == 0 || c.table.Swap(digest) == digest {
		return
	}
	slots := grant.NewSlotTable(int(result.GetGroups()))
	if slots.Digest() != digest {
		slots = nil
	}
	c.slots.Store(slots)
}

// group returns which group of how many decides on a key, as far as is known.
// It serves to tell which group does not answer, never to choose one.
func (c *control) group(service uint32, key string) (group, groups int) {
	slots := c.slots.Load()
	if slots == nil {
		return 0, 1
	}
	return slots.GroupOf(service, key), slots.Groups()
}

// grant has a command applied by the group of grants that its key belongs to.
// It returns ErrNotDone or ErrUnknown, wrapped.
func (c *control) grant(ctx context.Context, command *grantpb.Command) (*grantpb.Result, error) {
	command.Table = c.table.Load()
	req := &controlpb.Request{Body: &controlpb.Request_Grant{Grant: command}}
	res, err := c.call(ctx, req)
	if err != nil {
		return nil, err
	}
	result := res.GetGrant()
	if result == nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, "no grant result in the answer")
	}
	c.learn(result)
	if result.GetDecision() == grantpb.Decision_DECISION_TABLE {
		c.refused.Inc(1)
		return nil, errors.Wrap(ErrNotApplied, "refused because of the slot table")
	}
	return result, nil
}

func (c *control) call(ctx context.Context, req *controlpb.Request) (*controlpb.Response, error) {
	res, err := c.caller.Call(ctx, req)
	if errors.Is(err, link.ErrNotSent) {
		return nil, errors.Wrap(ErrNotApplied, err.Error())
	}
	if err != nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return res, faultError(res.GetFault())
}

func faultError(fault *controlpb.Fault) error {
	if fault == nil {
		return nil
	}
	switch fault.GetKind() {
	case controlpb.FaultKind_FAULT_NOT_DONE, controlpb.FaultKind_FAULT_FORBIDDEN:
		return errors.Wrap(ErrNotApplied, fault.GetText())
	default:
		return errors.Wrap(ErrOutcomeUnknown, fault.GetText())
	}
}
