package processtest

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// answerCutter passes patches on to control hosts and breaks the operator's
// connection in place of their outcome. Questions are answered.
type answerCutter struct {
	operator.Handler // not called
	client           *operator.Client
}

// Submit implements operator.Handler. It returns no outcome, as the operator
// must not learn it here.
func (a *answerCutter) Submit(ctx context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	if _, err := a.client.Submit(ctx, p); err != nil {
		return nil, errors.Wrap(operator.ErrNotApplied, err.Error())
	}
	panic(http.ErrAbortHandler)
}

// Outcome implements operator.Handler.
func (a *answerCutter) Outcome(ctx context.Context, id string) (*configpb.Outcome, error) {
	return a.client.Outcome(ctx, id)
}

// StartOutcomeDropper opens an operator address at which every patch reaches the control
// hosts and no operator hears what became of it.
func (c *Cluster) StartOutcomeDropper() netip.AddrPort {
	c.t.Helper()
	own, err := keys.Load(c.issue(keys.RoleControl, "control-cut", ""))
	c.must(err)
	asOperator, err := keys.Load(c.operator)
	c.must(err)
	var addrs []string
	for _, host := range c.controls {
		addrs = append(addrs, host.Operator.String())
	}
	client := operator.NewClient(addrs, asOperator)
	listen := netip.AddrPortFrom(c.ip, 0).String()
	server, err := operator.Listen(listen, own, &answerCutter{client: client}, zap.NewNop(), tally.NoopScope)
	c.must(err)
	c.t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		client.Close()
	})
	return netip.MustParseAddrPort(server.Addr().String())
}
