package controld

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// errCallerCanceled means that the sender of an order no longer waits for its outcome.
var errCallerCanceled = errors.New("the caller has gone")

// Evacuate proposes an order to evacuate a failure domain. Errors are those of
// ReplaceRouteTable.
func (d *Daemon) Evacuate(ctx context.Context, o *configpb.EvacuationOrder) (*configpb.EvacuationOutcome, error) {
	if err := d.standbyError(); err != nil {
		return nil, err
	}
	if findings := d.validateEvacuation(o); len(findings) > 0 {
		return &configpb.EvacuationOutcome{
			Verdict:  configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID,
			Version:  d.configs.version(),
			Findings: findings,
		}, nil
	}
	if !d.enoughVoters() {
		return nil, errors.Wrap(operator.ErrNotApplied, errTooFewVoters.Error())
	}
	if err := d.readBarrier.wait(ctx); err != nil {
		return nil, errors.Wrapf(operator.ErrNotApplied, "no quorum confirms the state: %v", err)
	}
	// While this host was stalled, the operator may have sent the order to another host and
	// then ended the evacuation. Applying the order now would start it again.
	if ctx.Err() != nil {
		return nil, errors.Wrap(operator.ErrNotApplied, errCallerCanceled.Error())
	}
	if out := d.configs.unchangedOutcome(o); out != nil {
		return out, nil
	}
	return d.proposeEvacuation(ctx, o)
}

func (d *Daemon) proposeEvacuation(ctx context.Context, o *configpb.EvacuationOrder) (*configpb.EvacuationOutcome, error) {
	stamped := proto.CloneOf(o)
	stamped.TakenUnixMs = time.Now().UnixMilli()
	command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Evacuation{Evacuation: stamped}})
	if err != nil {
		return nil, errors.Wrap(operator.ErrNotApplied, err.Error())
	}
	data, err := d.replicas[controlpb.Group_GROUP_CONFIG].Propose(ctx, command)
	if err != nil {
		return nil, operatorError(err)
	}
	var result configpb.Result
	if err := proto.Unmarshal(data, &result); err != nil || result.GetEvacuated() == nil {
		return nil, errors.Wrap(operator.ErrOutcomeUnknown, "the result cannot be read")
	}
	out := result.GetEvacuated()
	d.log.Info("evacuation order committed", zap.String("failure_domain", o.GetFailureDomain()), zap.Bool("ends", o.GetEnd()),
		zap.String("order", o.GetId()), zap.Stringer("verdict", out.GetVerdict()), zap.Uint64("version", out.GetVersion()))
	return out, nil
}

// validateEvacuation lists the findings of an order. An order to end an evacuation may name
// any evacuated failure domain.
func (d *Daemon) validateEvacuation(o *configpb.EvacuationOrder) []*configpb.Finding {
	findings := config.ValidateEvacuation(o)
	name := o.GetFailureDomain()
	if len(findings) > 0 || d.isKnownDomain(name) || d.configs.isEvacuated(name) {
		return findings
	}
	return []*configpb.Finding{{Place: "failure domain", Text: fmt.Sprintf("%q is unknown", name)}}
}

// isKnownDomain reports whether the settings list a failure domain. If they list none, the
// failure domains of the targets and of this host are known.
func (d *Daemon) isKnownDomain(name string) bool {
	if named := d.settings.GetReplica().GetFailureDomains(); len(named) > 0 {
		return slices.Contains(named, name)
	}
	return name == d.settings.GetHost().GetFailureDomain() || d.directory.hasDomain(name)
}

// Evacuate implements operator.Handler.
func (h *operatorHandler) Evacuate(ctx context.Context, o *configpb.EvacuationOrder) (*configpb.EvacuationOutcome, error) {
	return (*Daemon)(h).Evacuate(ctx, o)
}

// evacuationStatus lists the evacuated failure domains of a version.
func evacuationStatus(c *configpb.Configuration) []operator.EvacuationStatus {
	out := []operator.EvacuationStatus{}
	for _, e := range c.GetEvacuations() {
		out = append(out, operator.NewEvacuationStatus(e))
	}
	return out
}
