package controld

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// errFewVoters tells that the group does not bear the losses that it is to bear
// yet.
var errFewVoters = errors.New("the group has too few voters yet")

// ReplaceRouteTable has the group decide on a replacement of the route table. An error for
// which errors.Is(err, operator.ErrNotDone) holds says that nothing was done;
// after any other one the replacement may or may not come into force. A host that stands
// by answers with a StandbyError.
func (d *Daemon) ReplaceRouteTable(ctx context.Context, r *configpb.Replacement) (*configpb.ReplaceOutcome, error) {
	if err := d.standsByError(); err != nil {
		return nil, err
	}
	if !d.enoughVoters() {
		return nil, errors.Wrap(operator.ErrNotApplied, errFewVoters.Error())
	}
	command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Replacement{Replacement: r}})
	if err != nil {
		return nil, errors.Wrap(operator.ErrNotApplied, err.Error())
	}
	began := time.Now()
	data, err := d.replicas[controlpb.Group_GROUP_CONFIG].Propose(ctx, command)
	d.replacements.RecordDuration(time.Since(began))
	if err != nil {
		return nil, operatorError(err)
	}
	var result configpb.Result
	if err := proto.Unmarshal(data, &result); err != nil || result.GetReplaced() == nil {
		return nil, errors.Wrap(operator.ErrOutcomeUnknown, "the result cannot be read")
	}
	return result.GetReplaced(), nil
}

// noteInForce counts how long it was until a subscriber said that it acts on a version.
// One that acts on an older version than this host's says nothing of the newest.
func (d *Daemon) noteInForce(version uint64) {
	if since, current := d.configs.sinceApplied(version); current {
		d.inForce.RecordDuration(since)
	}
}

// RouteTableDocument returns the operator's document of the newest route table, as a quorum
// confirms it, and its revision. Without any table the revision is 0. Errors:
// operator.ErrNotDone, if no quorum confirms the state, or as a StandbyError.
func (d *Daemon) RouteTableDocument(ctx context.Context) (document []byte, revision uint64, err error) {
	if err := d.standsByError(); err != nil {
		return nil, 0, err
	}
	if err := d.confirm.wait(ctx); err != nil {
		return nil, 0, errors.Wrapf(operator.ErrNotApplied, "no quorum confirms the state: %v", err)
	}
	document, revision = d.configs.document()
	return document, revision, nil
}
