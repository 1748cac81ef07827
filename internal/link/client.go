package link

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// Defaults of ClientOptions.
const (
	DefaultDialTimeout = 3 * time.Second
	// A subscriber of a control host that dies without a word notices within
	// 1.2 periods and a timeout, 4.4 s, and has to act on the version that
	// the others accept meanwhile within 7 s.
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultHeartbeatTimeout  = 2 * time.Second
	DefaultBackoffMin        = 100 * time.Millisecond
	DefaultBackoffMax        = 5 * time.Second
	DefaultMaxResponseBytes  = 16 << 20

	// clientStreams is negative because servers open no streams; 0 would mean
	// the library's default.
	clientStreams = -1
	// maxHedges bounds the attempts beside each other.
	maxHedges = 4
	// jitterShare is how far a period is varied, up and down.
	jitterShare = 0.2
)

// ClientOptions tune a client. Zero values mean the defaults.
type ClientOptions struct {
	Scope tally.Scope
	Log   *zap.Logger
	// Allowed lists the roles that a server may have; by default control.
	Allowed []keys.Role
	// LocalIP is the IP number that sockets are opened on; by default any.
	LocalIP netip.Addr
	// DialTimeout is how long an attempt, handshake and first heartbeat, has no answer
	// before the next server is tried. DialPatience bounds the attempt, which goes on
	// beside the next ones; by default it is DialTimeout.
	DialTimeout    time.Duration
	AttemptTimeout time.Duration
	// HedgeAfter is how long an attempt has no answer before another one is made
	// beside it; zero means one attempt at a time. It is for links that everything
	// waits for: a server in need gets more handshakes to do.
	HedgeAfter time.Duration
	// HeartbeatInterval is the time between heartbeats on a connection, and
	// HeartbeatTimeout how long an answer may take before the path counts as
	// silent.
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	// BackoffMin and BackoffMax bound the pause between rounds of attempts.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// MaxRequestBytes and MaxResponseBytes bound messages.
	MaxRequestBytes  int
	MaxResponseBytes int
	// Rand drives jitter and the order of addresses. By default it is seeded
	// at random. The client alone may use it.
	Rand *rand.Rand
}

func (o ClientOptions) withDefaults() ClientOptions {
	o.Scope = cmp.Or(o.Scope, tally.NoopScope)
	o.Log = cmp.Or(o.Log, zap.NewNop())
	if len(o.Allowed) == 0 {
		o.Allowed = []keys.Role{keys.RoleControl}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.AttemptTimeout = max(o.AttemptTimeout, o.DialTimeout)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, DefaultHeartbeatInterval)
	o.HeartbeatTimeout = cmp.Or(o.HeartbeatTimeout, DefaultHeartbeatTimeout)
	o.BackoffMin = cmp.Or(o.BackoffMin, DefaultBackoffMin)
	o.BackoffMax = cmp.Or(o.BackoffMax, DefaultBackoffMax)
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, DefaultMaxResponseBytes)
	o.MaxRequestBytes = cmp.Or(o.MaxRequestBytes, o.MaxResponseBytes)
	return o
}

// Client keeps one connection to one out of several servers. All methods may
// be called concurrently.
type Client struct {
	// addrs is changed by the goroutine of run only, with mu held.
	addrs  []string
	creds  *keys.Credentials
	opts   ClientOptions
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	// randMu guards opts.Rand.
	randMu sync.Mutex

	// mu guards the fields below; it is never held while calling out.
	mu      sync.Mutex
	current *connection
	// ready is closed while there is a connection; a new one is made when it
	// is lost.
	ready chan struct{}
	// opened is closed when there is another connection, and then made anew.
	opened chan struct{}
	// configured is what the caller gave, learned what servers named. Both replace
	// addrs before the next attempt if stale is set.
	configured, learned []string
	stale               bool
	// named is closed when configured or learned has changed, and then made anew.
	named chan struct{}
	// next is where the client shall move to, if not empty.
	next string
	// move is signalled to leave the current connection.
	move chan struct{}
}

// NewClient starts a client for servers at the given addresses (ip:port). It
// connects at once and reconnects until it is closed.
func NewClient(addrs []string, creds *keys.Credentials, opts ClientOptions) *Client {
	c := &Client{
		addrs:      slices.Clone(addrs),
		configured: slices.Clone(addrs),
		creds:      creds,
		opts:       opts.withDefaults(),
		ready:      make(chan struct{}),
		opened:     make(chan struct{}),
		named:      make(chan struct{}),
		move:       make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.shuffle(c.addrs)
	c.wg.Go(c.run)
	return c
}

// Addresses returns the servers that the client was given, and the one that it is
// connected to.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.configured)
	if c.current != nil && !slices.Contains(out, c.current.addr) {
		out = append(out, c.current.addr)
	}
	return out
}

// SetAddresses replaces the servers that the client may use, unless the list is
// empty. An open connection stays, whether or not its server is on the list.
func (c *Client) SetAddresses(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configured = slices.Clone(addrs)
	c.nameAddresses()
}

// SetLearnedAddresses adds servers that a server named to those that the client may use, in place of
// what it learned before. They are tried first: a few servers that all clients were
// given need not be the ones that serve.
func (c *Client) SetLearnedAddresses(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned = slices.Clone(addrs)
	c.nameAddresses()
}

// takeAddresses takes over what SetAddresses and Learn were given last.
func (c *Client) takeAddresses(r *redial) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stale {
		return
	}
	c.stale = false
	next := slices.Clone(c.learned)
	c.shuffle(next)
	for _, addr := range c.configured {
		if !slices.Contains(next, addr) {
			next = append(next, addr)
		}
	}
	c.addrs = next
	r.index %= len(c.addrs)
}

// shuffle draws the order of addresses, so that many clients do not go to one server.
func (c *Client) shuffle(addrs []string) {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	c.opts.Rand.Shuffle(len(addrs), func(i, j int) {
		addrs[i], addrs[j] = addrs[j], addrs[i]
	})
}

// Address returns the server of the current connection, or "" without one.
func (c *Client) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return ""
	}
	return c.current.addr
}

// Reconnected returns a channel that is closed when the client has another
// connection than now.
func (c *Client) Reconnected() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Transferred returns the bytes of UDP payload that the current connection
// has sent and received, nothing without one.
func (c *Client) Transferred() (sent, received uint64) {
	c.mu.Lock()
	conn := c.current
	c.mu.Unlock()
	if conn == nil {
		return 0, 0
	}
	stats := conn.quic.ConnectionStats()
	return stats.BytesSent, stats.BytesReceived
}

// Move makes the client leave its connection for another one. An empty
// address means any other server of the list. The old connection is closed
// once the calls on it have ended; subscriptions end with it.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	c.next = addr
	c.mu.Unlock()
	select {
	case c.move <- struct{}{}:
	default:
	}
}

// Close ends the connection and all that waits for one.
func (c *Client) Close() {
	c.cancel()
	c.wg.Wait()
}

// Call sends a request and waits for its response, no longer than the
// context. It waits for a connection first if there is none. The error is
// ErrNotSent or ErrUnknown, ErrTooLarge for a request that was too large to
// send, and ErrClosed on a closed client. A fault that the server answers is
// a response: see FaultOf. If the fault names other servers, the client goes to one.
func (c *Client) Call(ctx context.Context, req *controlpb.Request) (*controlpb.Response, error) {
	conn, err := c.await(ctx)
	if err != nil {
		return nil, err
	}
	res, err := conn.call(ctx, req)
	if err != nil {
		c.countFailure(err)
	}
	c.goTo(res.GetFault().GetHosts().GetAddresses())
	return res, err
}

// goTo leaves a server that names others in its place.
func (c *Client) goTo(hosts []string) {
	if len(hosts) == 0 {
		return
	}
	c.SetLearnedAddresses(hosts)
	c.randMu.Lock()
	to := hosts[c.opts.Rand.IntN(len(hosts))]
	c.randMu.Unlock()
	c.Move(to)
}

// Subscribe opens a subscription. It lives until it is closed, the context
// ends or the connection is lost.
func (c *Client) Subscribe(ctx context.Context, req *controlpb.Subscribe) (*ClientStream, error) {
	conn, err := c.await(ctx)
	if err != nil {
		return nil, err
	}
	s, err := conn.subscribe(ctx, req)
	if err != nil {
		c.countFailure(err)
	}
	return s, err
}

// CallResult is what one server answered to CallEach.
type CallResult struct {
	Address  string
	Response *controlpb.Response
	Err      error
}

// CallEach sends a request to every server of the list, each over a
// connection of its own that is closed afterwards. It returns one answer an
// address once all have answered or failed, or the context ends.
func (c *Client) CallEach(ctx context.Context, req *controlpb.Request) []CallResult {
	addrs := c.Addresses()
	answers := make([]CallResult, len(addrs))
	var wg conc.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			answers[i] = c.callOnce(ctx, addr, req)
		})
	}
	wg.Wait()
	return answers
}

func (c *Client) callOnce(ctx context.Context, addr string, req *controlpb.Request) CallResult {
	conn, err := c.dial(ctx, addr, c.opts.DialTimeout)
	if err != nil {
		return CallResult{Address: addr, Err: notSent(err)}
	}
	defer conn.close(codeNone)
	res, err := conn.call(ctx, req)
	return CallResult{Address: addr, Response: res, Err: err}
}

// await returns the current connection, waiting for one if need be.
func (c *Client) await(ctx context.Context) (*connection, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, notSent(err)
		}
		c.mu.Lock()
		conn, ready := c.current, c.ready
		c.mu.Unlock()
		if conn != nil {
			return conn, nil
		}
		select {
		case <-ready:
		case <-ctx.Done():
			c.countReason("no_connection")
			return nil, notSent(errors.Wrap(ctx.Err(), "no connection"))
		case <-c.ctx.Done():
			return nil, ErrClosed
		}
	}
}

func (c *Client) publish(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = conn
	close(c.ready)
	close(c.opened)
	c.opened = make(chan struct{})
}

func (c *Client) unpublish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	c.ready = make(chan struct{})
}

func (c *Client) countFailure(err error) {
	switch {
	case errors.Is(err, ErrNotSent):
		c.countReason("not_sent")
	case errors.Is(err, ErrOutcomeUnknown):
		c.countReason("unknown")
	case errors.Is(err, ErrTooLarge):
		c.countReason("too_large")
	}
}

func (c *Client) countReason(reason string) {
	byReason(c.opts.Scope, metricCallFailures, reason).Inc(1)
}

// jitter varies a duration, so that many clients do not act together.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	factor := 1 + jitterShare*(2*c.opts.Rand.Float64()-1)
	return time.Duration(float64(d) * factor)
}

func (c *Client) quicConfig() *quic.Config {
	idle := c.opts.HeartbeatInterval + c.opts.HeartbeatTimeout
	return quicConfig(2*idle, clientStreams)
}
