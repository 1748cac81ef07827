package capacity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	// concurrentDials limits the flows that are opened at a time.
	concurrentDials = 16
	// concurrentCallers equals the slots of the service, so that no request is
	// refused.
	concurrentCallers = slots
	callerSlots       = 64
	callTimeout       = 20 * time.Second
	idleWindow        = 10 * time.Second // keep-alive period of the agent
	retryDelay        = 20 * time.Millisecond
	targetName        = "target"
)

// errNotAnswered reports a request that the backend server did not answer.
var errNotAnswered = errors.New("request was not answered")

// target is an agent with an entry host. This process acts as its callers and
// its backend server.
type target struct {
	*process
	deployment *deployment
	backend    *backend.Server
	address    string
	roots      *x509.CertPool
	flows      []*http3.Transport
}

// measureAgent measures the cost of configuration, flows, watches and requests
// for an agent.
func measureAgent(ctx context.Context, tb *testbed, r *Report) error {
	d, err := tb.deploy(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.putServices(ctx, newService(0, 1)); err != nil {
		return err
	}
	t, err := d.startTarget(ctx)
	if err != nil {
		return err
	}
	for _, step := range []func(context.Context, *Report) error{
		t.measureConfig, t.measureFlows, t.measureWatches, t.measureRequests, t.measureKeys,
	} {
		if err := step(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startTarget(ctx context.Context) (*target, error) {
	name := serviceName(0)
	section, err := d.keySection(keys.RoleAgent, "agent", name)
	if err != nil {
		return nil, err
	}
	callerKeys, err := keys.Issue(d.keysDir(), keys.RoleCaller, "", name, nil, keyValidity)
	if err != nil {
		return nil, err
	}
	e, err := d.startEntry(ctx)
	if err != nil {
		return nil, err
	}
	public, _ := e.ready["public"].(map[string]any)
	t := &target{deployment: d, roots: x509.NewCertPool(), address: fmt.Sprint(public[newService(0, 1).GetAddresses()[0]])}
	t.process, err = d.testbed.launch(ctx, "agent", "agent", &settingspb.AgentSettings{
		Host:    &settingspb.Host{Name: "agent", FailureDomain: "agent"},
		Keys:    section,
		Control: &settingspb.ControlPeers{Addresses: d.links()},
		Agent: &settingspb.Agent{
			FrameListen: freePort, AnnounceListen: freePort,
			CallerCertificate: callerKeys.Certificate, CallerPrivateKey: callerKeys.PrivateKey,
		},
	})
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(callerKeys.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	t.roots.AppendCertsFromPEM(authority)
	t.backend, err = backend.Start(backend.Options{
		Service: name, Target: targetName, Listen: freePort, Announce: t.field("announce"),
		Slots: callerSlots, Log: zap.NewNop(),
	})
	if err != nil {
		return nil, err
	}
	d.testbed.onClose(t.close)
	return t, await(ctx, "response of the target", func() bool { return t.openFlow(ctx) == nil })
}

func (t *target) close() {
	for _, flow := range t.flows {
		_ = flow.Close()
	}
	_ = t.backend.Close()
}

// openFlow opens a flow with a first request.
func (t *target) openFlow(ctx context.Context) error {
	flow, err := t.dial(ctx)
	if err == nil {
		t.flows = append(t.flows, flow)
	}
	return err
}

func (t *target) dial(ctx context.Context) (*http3.Transport, error) {
	flow := &http3.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, ServerName: serviceName(0), RootCAs: t.roots},
		Dial: func(ctx context.Context, _ string, c *tls.Config, q *quic.Config) (*quic.Conn, error) {
			return quic.DialAddr(ctx, t.address, c, q)
		},
	}
	if err := t.request(ctx, flow, http.MethodGet, "/echo?text=a", ""); err != nil {
		_ = flow.Close()
		return nil, err
	}
	return flow, nil
}

// request sends a request, with an idempotency key unless key is empty. It
// repeats a request that the agent refuses, such as for a full queue.
func (t *target) request(ctx context.Context, flow *http3.Transport, method, path, key string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		err := t.requestOnce(ctx, flow, method, path, key)
		if !errors.Is(err, errNotAnswered) {
			return err
		}
		if sleep.For(ctx, retryDelay) != nil {
			return err
		}
	}
}

func (t *target) requestOnce(ctx context.Context, flow *http3.Transport, method, path, key string) error {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+serviceName(0)+path, strings.NewReader(""))
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := flow.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Wrapf(errNotAnswered, "%s %s", res.Status, res.Header.Get("Request-Reason"))
	}
	return nil
}

// openFlows opens flows until there are n.
func (t *target) openFlows(ctx context.Context, n int) error {
	p := pool.NewWithResults[*http3.Transport]().WithErrors().WithMaxGoroutines(concurrentDials)
	for range n - len(t.flows) {
		p.Go(func() (*http3.Transport, error) { return t.dial(ctx) })
	}
	opened, err := p.Wait()
	t.flows = append(t.flows, opened...)
	return err
}

func (t *target) measureConfig(ctx context.Context, r *Report) error {
	memory, cpu, err := t.measureIdle(ctx, []int{1400, 2800, 4200, 5500}, func(n int) error {
		return t.deployment.putAndActivate(ctx, newServices(designServices, n)...)
	})
	if err != nil {
		return err
	}
	return r.addSlopes(
		&series{name: "agent.address.memory", unit: Bytes, per: "address", count: DesignSize.Addresses, points: memory},
		&series{name: "agent.rest.cpu", unit: MicroCore, per: "address", count: DesignSize.Addresses, points: cpu})
}

func (t *target) measureFlows(ctx context.Context, r *Report) error {
	memory := &series{name: "agent.flow.memory", unit: Bytes, per: "idle flow", count: DesignSize.FlowsPerAgent()}
	idle := &series{name: "agent.flow.cpu", unit: MicroCore, per: "idle flow", count: DesignSize.FlowsPerAgent()}
	opening := &series{name: "agent.open.cpu", unit: Microseconds, per: "flow opened", count: DesignSize.NewFlowsPerAgent()}
	for _, n := range []int{200, 400, 800, 1600} {
		start := len(t.flows)
		before, err := t.usage()
		if err != nil {
			return err
		}
		if err := t.openFlows(ctx, n); err != nil {
			return err
		}
		opened, err := t.usage()
		if err != nil {
			return err
		}
		opening.add(float64(n-start), micros(opened.cpu-before.cpu))
		if err := sleep.For(ctx, idleWindow); err != nil {
			return err
		}
		idleAfter, err := t.usage()
		if err != nil {
			return err
		}
		memory.add(float64(n), idleAfter.private)
		idle.add(float64(n), cpuLoad(opened, idleAfter, idleWindow))
	}
	return r.addSlopes(memory, idle, opening)
}

// measureWatches opens one watch on each of many flows.
func (t *target) measureWatches(ctx context.Context, r *Report) error {
	memory := &series{name: "agent.watch.memory", unit: Bytes, per: "open watch", count: DesignSize.FlowsPerAgent()}
	ctx, cancel := context.WithCancel(ctx)
	p := pool.New()
	defer p.Wait()
	defer cancel()
	opened := 0
	for _, n := range []int{200, 400, 800, 1600} {
		for ; opened < n; opened++ {
			flow := t.flows[opened]
			p.Go(func() { t.watch(ctx, flow) })
		}
		if err := await(ctx, "open watches", func() bool { return t.backend.Watching() >= n }); err != nil {
			return err
		}
		if err := sleep.For(ctx, settleTime); err != nil {
			return err
		}
		u, err := t.usage()
		if err != nil {
			return err
		}
		memory.add(float64(n), u.private)
	}
	return r.addSlopes(memory)
}

// watch holds a watch open until the context ends.
func (t *target) watch(ctx context.Context, flow *http3.Transport) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+serviceName(0)+"/watch?ms=1000", nil)
	if err != nil {
		return
	}
	res, err := flow.RoundTrip(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
}

func (t *target) measureRequests(ctx context.Context, r *Report) error {
	cpu := &series{name: "agent.request.cpu", unit: Microseconds, per: "request", count: 1}
	err := t.measureCalls(ctx, cpu, func(flow *http3.Transport, _ int) error {
		return t.request(ctx, flow, http.MethodGet, "/echo?text=a", "")
	})
	if err != nil {
		return err
	}
	return r.addSlopes(cpu)
}

// measureKeys sends requests with idempotency keys. measureGrants measures the
// control host's part of them.
func (t *target) measureKeys(ctx context.Context, r *Report) error {
	cpu := &series{name: "agent.key.cpu", unit: Microseconds, per: "request with a key", count: 1}
	total := 0
	err := t.measureCalls(ctx, cpu, func(flow *http3.Transport, i int) error {
		return t.request(ctx, flow, http.MethodPost, "/run?ms=0", idempotencyKey(total+i))
	}, func(n int) { total += n })
	if err != nil {
		return err
	}
	return r.addSlopes(cpu)
}

// measureCalls measures the agent's processor time for calls over several flows.
// It calls after with the number of calls.
func (t *target) measureCalls(ctx context.Context, cpu *series, call func(flow *http3.Transport, i int) error, after ...func(n int)) error {
	for _, n := range []int{250, 500, 1000, 2000} {
		startUsage, err := t.usage()
		if err != nil {
			return err
		}
		p := pool.New().WithErrors().WithMaxGoroutines(concurrentCallers)
		for i := range n {
			p.Go(func() error { return call(t.flows[i%concurrentCallers], i) })
		}
		if err := p.Wait(); err != nil {
			return err
		}
		endUsage, err := t.usage()
		if err != nil {
			return err
		}
		cpu.add(float64(n), micros(endUsage.cpu-startUsage.cpu))
		for _, f := range after {
			f(n)
		}
	}
	return ctx.Err()
}
