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

// controlClient calls the control hosts. link.Client implements it.
type controlClient interface {
	Call(ctx context.Context, req *controlpb.Request) (*controlpb.Response, error)
}

// control sends commands to the grant groups at the control hosts.
type control struct {
	client controlClient
	// mismatches counts commands refused because of their slot table.
	mismatches tally.Counter
	// tableDigest is the digest of the slot table in the last reply, 0 before the
	// first one. It changes only when the deployment is bootstrapped again.
	tableDigest atomic.Uint64
	// slots is that table, nil if this release does not support it.
	slots atomic.Pointer[grant.SlotTable]
}

// updateTable stores the slot table of a result.
func (c *control) updateTable(result *grantpb.Result) {
	digest := result.GetTable()
	if digest == 0 || c.tableDigest.Swap(digest) == digest {
		return
	}
	slots := grant.NewSlotTable(int(result.GetGroups()))
	if slots.Digest() != digest {
		slots = nil
	}
	c.slots.Store(slots)
}

// group returns the grant group of a key and the number of groups, as far as known.
// It selects the circuit breaker only; control hosts route the command.
func (c *control) group(service uint32, key string) (group, groups int) {
	slots := c.slots.Load()
	if slots == nil {
		return 0, 1
	}
	return slots.GroupOf(service, key), slots.Groups()
}

// grant sends a command to the grant group of its key. It returns a wrapped
// ErrNotApplied or ErrOutcomeUnknown.
func (c *control) grant(ctx context.Context, command *grantpb.Command) (*grantpb.Result, error) {
	command.Table = c.tableDigest.Load()
	req := &controlpb.Request{Body: &controlpb.Request_Grant{Grant: command}}
	res, err := c.call(ctx, req)
	if err != nil {
		return nil, err
	}
	result := res.GetGrant()
	if result == nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, "no grant result in the reply")
	}
	c.updateTable(result)
	if result.GetDecision() == grantpb.Decision_DECISION_TABLE {
		c.mismatches.Inc(1)
		return nil, errors.Wrap(ErrNotApplied, "slot table mismatch")
	}
	return result, nil
}

func (c *control) call(ctx context.Context, req *controlpb.Request) (*controlpb.Response, error) {
	res, err := c.client.Call(ctx, req)
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
