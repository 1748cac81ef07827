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

// errTooFewVoters means that the group cannot survive the required number of losses yet.
var errTooFewVoters = errors.New("the group has too few voters yet")

// ReplaceRouteTable proposes a replacement of the route table. operator.ErrNotApplied means
// that it has no effect; after any other error the outcome is unknown. On a standby the
// error is a StandbyError.
func (d *Daemon) ReplaceRouteTable(ctx context.Context, r *configpb.Replacement) (*configpb.ReplaceOutcome, error) {
	if err := d.standbyError(); err != nil {
		return nil, err
	}
	if !d.enoughVoters() {
		return nil, errors.Wrap(operator.ErrNotApplied, errTooFewVoters.Error())
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

// recordActivation records the time until a subscriber reported a version active, if it is
// the current one.
func (d *Daemon) recordActivation(version uint64) {
	if since, current := d.configs.sinceApplied(version); current {
		d.activations.RecordDuration(since)
	}
}

// RouteTableDocument returns the operator's document of the newest route table and its
// revision, confirmed by a quorum. The revision is 0 if there is no table. Errors:
// operator.ErrNotApplied if no quorum confirms the state, or a StandbyError.
func (d *Daemon) RouteTableDocument(ctx context.Context) (document []byte, revision uint64, err error) {
	if err := d.standbyError(); err != nil {
		return nil, 0, err
	}
	if err := d.readBarrier.wait(ctx); err != nil {
		return nil, 0, errors.Wrapf(operator.ErrNotApplied, "no quorum confirms the state: %v", err)
	}
	document, revision = d.configs.document()
	return document, revision, nil
}
