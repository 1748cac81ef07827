package controld

import (
	"context"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// errFewVoters tells that the group does not bear the losses that it is to bear
// yet.
var errFewVoters = errors.New("the group has too few voters yet")

// Replace has the group decide on a replacement of the route table. An error for
// which errors.Is(err, operator.ErrNotDone) holds says that nothing was done;
// after any other one the replacement may or may not come into force.
func (d *Daemon) Replace(ctx context.Context, r *configpb.Replacement) (*configpb.ReplaceOutcome, error) {
	if !d.enoughVoters() {
		return nil, errors.Wrap(operator.ErrNotDone, errFewVoters.Error())
	}
	command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Replacement{Replacement: r}})
	if err != nil {
		return nil, errors.Wrap(operator.ErrNotDone, err.Error())
	}
	data, err := d.replicas[controlpb.Group_GROUP_CONFIG].Propose(ctx, command)
	if err != nil {
		return nil, operatorError(err)
	}
	var result configpb.Result
	if err := proto.Unmarshal(data, &result); err != nil || result.GetReplaced() == nil {
		return nil, errors.Wrap(operator.ErrUnknown, "the result cannot be read")
	}
	return result.GetReplaced(), nil
}

// Document returns the operator's document of the newest route table, as a quorum
// confirms it, and its revision. Without any table the revision is 0. Errors:
// operator.ErrNotDone, if no quorum confirms the state.
func (d *Daemon) Document(ctx context.Context) (document []byte, revision uint64, err error) {
	if err := d.confirm.wait(ctx); err != nil {
		return nil, 0, errors.Wrapf(operator.ErrNotDone, "no quorum confirms the state: %v", err)
	}
	document, revision = d.configs.document()
	return document, revision, nil
}
