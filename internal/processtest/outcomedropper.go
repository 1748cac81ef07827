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

// outcomeDropper forwards patches to control hosts and aborts the response of
// each. Outcome requests are answered.
type outcomeDropper struct {
	operator.Handler // other methods are not called
	client           *operator.Client
}

// Submit implements operator.Handler. It aborts the response after the patch was
// submitted.
func (a *outcomeDropper) Submit(ctx context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	if _, err := a.client.Submit(ctx, p); err != nil {
		return nil, errors.Wrap(operator.ErrNotApplied, err.Error())
	}
	panic(http.ErrAbortHandler)
}

// Outcome implements operator.Handler.
func (a *outcomeDropper) Outcome(ctx context.Context, id string) (*configpb.Outcome, error) {
	return a.client.Outcome(ctx, id)
}

// StartOutcomeDropper starts an operator API that forwards each patch to the
// control hosts and aborts its response.
func (c *Cluster) StartOutcomeDropper() netip.AddrPort {
	c.t.Helper()
	serverCreds, err := keys.Load(c.issue(keys.RoleControl, "control-cut", ""))
	c.must(err)
	operatorCreds, err := keys.Load(c.operator)
	c.must(err)
	var addrs []string
	for _, host := range c.controls {
		addrs = append(addrs, host.Operator.String())
	}
	client := operator.NewClient(addrs, operatorCreds)
	listen := netip.AddrPortFrom(c.ip, 0).String()
	server, err := operator.Listen(listen, serverCreds, &outcomeDropper{client: client}, zap.NewNop(), tally.NoopScope)
	c.must(err)
	c.t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		client.Close()
	})
	return netip.MustParseAddrPort(server.Addr().String())
}
