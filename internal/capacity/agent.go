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
	// dialers open flows at a time.
	dialers = 16
	// callers make requests at a time: the slots of the service, so that none
	// is refused.
	callers      = slots
	callerSlots  = 64
	callTimeout  = 20 * time.Second
	callerWindow = 10 * time.Second // that of the agent's keep-alive
	refusedPause = 20 * time.Millisecond
	targetName   = "target"
)

// errStatus tells that a request was not answered by the backend server.
var errStatus = errors.New("request was not answered")

// target is an agent with the entry host before it; callers and the backend
// server behind it are played by this process.
type target struct {
	*process
	deployment *deployment
	backend    *backend.Server
	address    string
	roots      *x509.CertPool
	flows      []*http3.Transport
}

// measureAgent measures an agent: what configuration, flows, watches and
// requests cost it.
func measureAgent(ctx context.Context, l *lab, r *Report) error {
	d, err := l.deploy(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.put(ctx, service(0, 1)); err != nil {
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
	caller, err := keys.Issue(d.keysFolder(), keys.RoleCaller, "", name, nil, keyValidity)
	if err != nil {
		return nil, err
	}
	e, err := d.startEntry(ctx)
	if err != nil {
		return nil, err
	}
	public, _ := e.ready["public"].(map[string]any)
	t := &target{deployment: d, roots: x509.NewCertPool(), address: fmt.Sprint(public[service(0, 1).GetAddresses()[0]])}
	t.process, err = d.lab.launch(ctx, "agent", "agent", &settingspb.AgentSettings{
		Host:    &settingspb.Host{Name: "agent", FailureDomain: "agent"},
		Keys:    section,
		Control: &settingspb.ControlPeers{Addresses: d.links()},
		Agent: &settingspb.Agent{
			FrameListen: freePort, AnnounceListen: freePort,
			CallerCertificate: caller.Certificate, CallerPrivateKey: caller.PrivateKey,
		},
	})
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(caller.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	t.roots.AppendCertsFromPEM(authority)
	t.backend, err = backend.Start(backend.Options{
		Service: name, Target: targetName, Listen: freePort, Announce: t.field("announce"),
		Slots: callerSlots, Log: zap.NewNop(),
	})
	if err != nil {
		return nil, err
	}
	d.lab.onClose(t.close)
	return t, await(ctx, "an answer of the target", func() bool { return t.open(ctx) == nil })
}

func (t *target) close() {
	for _, flow := range t.flows {
		_ = flow.Close()
	}
	_ = t.backend.Close()
}

// open opens a flow by a first request.
func (t *target) open(ctx context.Context) error {
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

// request makes a request, with a key unless it is empty. One that the agent
// has refused, which on a busy machine may come of a moment's queue, is made
// again.
func (t *target) request(ctx context.Context, flow *http3.Transport, method, path, key string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		err := t.requestOnce(ctx, flow, method, path, key)
		if !errors.Is(err, errStatus) {
			return err
		}
		if sleep.For(ctx, refusedPause) != nil {
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
		return errors.Wrapf(errStatus, "%s %s", res.Status, res.Header.Get("Request-Reason"))
	}
	return nil
}

// openTo opens flows until there are n.
func (t *target) openTo(ctx context.Context, n int) error {
	p := pool.NewWithResults[*http3.Transport]().WithErrors().WithMaxGoroutines(dialers)
	for range n - len(t.flows) {
		p.Go(func() (*http3.Transport, error) { return t.dial(ctx) })
	}
	opened, err := p.Wait()
	t.flows = append(t.flows, opened...)
	return err
}

func (t *target) measureConfig(ctx context.Context, r *Report) error {
	memory, cpu, err := t.atRest(ctx, []int{1400, 2800, 4200, 5500}, func(n int) error {
		return t.deployment.putInForce(ctx, servicesOf(wireServices, n)...)
	})
	if err != nil {
		return err
	}
	return r.addSlopes(
		&series{name: "agent.address.memory", unit: Bytes, per: "address", count: DesignSize.Addresses, at: memory},
		&series{name: "agent.rest.cpu", unit: MicroCore, per: "address", count: DesignSize.Addresses, at: cpu})
}

func (t *target) measureFlows(ctx context.Context, r *Report) error {
	memory := &series{name: "agent.flow.memory", unit: Bytes, per: "idle flow", count: DesignSize.FlowsPerAgent()}
	idle := &series{name: "agent.flow.cpu", unit: MicroCore, per: "idle flow", count: DesignSize.FlowsPerAgent()}
	opening := &series{name: "agent.open.cpu", unit: Microseconds, per: "flow opened", count: DesignSize.NewFlowsPerAgent()}
	for _, n := range []int{200, 400, 800, 1600} {
		began := len(t.flows)
		before, err := t.usage()
		if err != nil {
			return err
		}
		if err := t.openTo(ctx, n); err != nil {
			return err
		}
		opened, err := t.usage()
		if err != nil {
			return err
		}
		opening.add(float64(n-began), micros(opened.cpu-before.cpu))
		if err := sleep.For(ctx, callerWindow); err != nil {
			return err
		}
		rested, err := t.usage()
		if err != nil {
			return err
		}
		memory.add(float64(n), rested.private)
		idle.add(float64(n), load(opened, rested, callerWindow))
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
	open := 0
	for _, n := range []int{200, 400, 800, 1600} {
		for ; open < n; open++ {
			flow := t.flows[open]
			p.Go(func() { t.watch(ctx, flow) })
		}
		if err := await(ctx, "open watches", func() bool { return t.backend.Watching() >= n }); err != nil {
			return err
		}
		if err := sleep.For(ctx, settle); err != nil {
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

// measureKeys makes requests that may not be repeated. The control host's part
// of them is measured apart.
func (t *target) measureKeys(ctx context.Context, r *Report) error {
	cpu := &series{name: "agent.key.cpu", unit: Microseconds, per: "request with a key", count: 1}
	made := 0
	err := t.measureCalls(ctx, cpu, func(flow *http3.Transport, i int) error {
		return t.request(ctx, flow, http.MethodPost, "/run?ms=0", keyOf(made+i))
	}, func(n int) { made += n })
	if err != nil {
		return err
	}
	return r.addSlopes(cpu)
}

// measureCalls makes calls over several flows and counts the agent's time. It
// calls after with the number of calls that were made.
func (t *target) measureCalls(ctx context.Context, cpu *series, call func(flow *http3.Transport, i int) error, after ...func(n int)) error {
	for _, n := range []int{250, 500, 1000, 2000} {
		began, err := t.usage()
		if err != nil {
			return err
		}
		p := pool.New().WithErrors().WithMaxGoroutines(callers)
		for i := range n {
			p.Go(func() error { return call(t.flows[i%callers], i) })
		}
		if err := p.Wait(); err != nil {
			return err
		}
		ended, err := t.usage()
		if err != nil {
			return err
		}
		cpu.add(float64(n), micros(ended.cpu-began.cpu))
		for _, f := range after {
			f(n)
		}
	}
	return ctx.Err()
}
