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
	// A failed control host is detected within 1.2 intervals plus the timeout, 4.4 s: a
	// change has to be in force everywhere within 7 s.
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultHeartbeatTimeout  = 2 * time.Second
	DefaultBackoffMin        = 100 * time.Millisecond
	DefaultBackoffMax        = 5 * time.Second
	DefaultMaxResponseBytes  = 16 << 20

	// clientIncomingStreams is negative because servers open no streams; 0 would mean
	// the library's default.
	clientIncomingStreams = -1
	// maxHedgedAttempts bounds the concurrent attempts to one server.
	maxHedgedAttempts = 4
	// jitterFraction is the largest relative deviation of a duration, up or down.
	jitterFraction = 0.2
)

// ClientOptions tune a client. Zero values mean the defaults.
type ClientOptions struct {
	Scope tally.Scope
	Log   *zap.Logger
	// Allowed lists the roles that a server may have; by default control.
	Allowed []keys.Role
	// LocalIP is the IP address that sockets are opened on; by default any.
	LocalIP netip.Addr
	// DialTimeout is the time without a reply after which the next server is tried. An
	// attempt is a handshake and a first heartbeat.
	// AttemptTimeout bounds an attempt, which continues while later ones run; by default
	// it is DialTimeout.
	DialTimeout    time.Duration
	AttemptTimeout time.Duration
	// FirstDialTimeout replaces DialTimeout until there has been a connection: after a loss of
	// power servers come back one after the other. By default it is DialTimeout.
	FirstDialTimeout time.Duration
	// HedgeAfter is the time without a reply after which another attempt to the same server
	// starts; zero disables hedging. Hedging adds handshakes to a server under load.
	HedgeAfter time.Duration
	// HeartbeatInterval is the time between heartbeats on a connection.
	// HeartbeatTimeout bounds the wait for a reply before the connection counts as lost.
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	// BackoffMin and BackoffMax bound the delay between rounds of attempts.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// MaxRequestBytes and MaxResponseBytes bound the size of messages.
	MaxRequestBytes  int
	MaxResponseBytes int
	// Rand drives jitter and the order of addresses. The client must be its only user. By
	// default it is seeded at random.
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
	o.FirstDialTimeout = cmp.Or(o.FirstDialTimeout, o.DialTimeout)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, DefaultHeartbeatInterval)
	o.HeartbeatTimeout = cmp.Or(o.HeartbeatTimeout, DefaultHeartbeatTimeout)
	o.BackoffMin = cmp.Or(o.BackoffMin, DefaultBackoffMin)
	o.BackoffMax = cmp.Or(o.BackoffMax, DefaultBackoffMax)
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, DefaultMaxResponseBytes)
	o.MaxRequestBytes = cmp.Or(o.MaxRequestBytes, o.MaxResponseBytes)
	return o
}

// Client keeps one connection to one of several servers. All methods may be called
// concurrently.
type Client struct {
	// addrs is written only by the goroutine of run, with mu held.
	addrs  []string
	creds  *keys.Credentials
	opts   ClientOptions
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	// randMu guards opts.Rand.
	randMu sync.Mutex

	// mu guards the fields below. It is not held during calls to other packages.
	mu      sync.Mutex
	current *connection
	// ready is closed while there is a connection and replaced when it is lost.
	ready chan struct{}
	// reconnected is closed and replaced when a connection is established.
	reconnected chan struct{}
	// configured holds the addresses set by the caller, learned those named by servers. If
	// addressesStale is set, both replace addrs before the next attempt.
	configured, learned []string
	addressesStale      bool
	// addressesChanged is closed and replaced when configured or learned changes.
	addressesChanged chan struct{}
	// moveTo is the address to move to; empty means any other server.
	moveTo string
	// moveRequested signals the client to replace the current connection.
	moveRequested chan struct{}
}

// NewClient starts a client for servers at the given addresses (ip:port). It
// connects at once and reconnects until it is closed.
func NewClient(addrs []string, creds *keys.Credentials, opts ClientOptions) *Client {
	c := &Client{
		addrs:            slices.Clone(addrs),
		configured:       slices.Clone(addrs),
		creds:            creds,
		opts:             opts.withDefaults(),
		ready:            make(chan struct{}),
		reconnected:      make(chan struct{}),
		addressesChanged: make(chan struct{}),
		moveRequested:    make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.shuffle(c.addrs)
	c.wg.Go(c.run)
	return c
}

// Addresses returns the configured servers and the one that the client is connected to.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.configured)
	if c.current != nil && !slices.Contains(out, c.current.addr) {
		out = append(out, c.current.addr)
	}
	return out
}

// SetAddresses replaces the configured servers unless addrs is empty. An open connection
// stays, whether or not its server is on the list.
func (c *Client) SetAddresses(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configured = slices.Clone(addrs)
	c.notifyAddresses()
}

// SetLearnedAddresses replaces the servers that were named by a server, unless addrs is
// empty. They are tried before the configured ones, which need not be serving. The order of
// the present ones is kept if addrs has the same servers.
func (c *Client) SetLearnedAddresses(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if sameAddresses(c.learned, addrs) {
		return
	}
	c.learned = slices.Clone(addrs)
	c.notifyAddresses()
}

// sameAddresses reports whether two lists have the same addresses in any order.
func sameAddresses(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// applyAddresses rebuilds addrs if the learned or configured addresses have changed. Learned
// ones come first.
func (c *Client) applyAddresses(state *dialState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.addressesStale {
		return
	}
	c.addressesStale = false
	next := slices.Clone(c.learned)
	c.shuffle(next)
	for _, addr := range c.configured {
		if !slices.Contains(next, addr) {
			next = append(next, addr)
		}
	}
	c.addrs = next
	state.index %= len(c.addrs)
}

// shuffle randomizes the order of addresses to distribute clients over servers.
func (c *Client) shuffle(addrs []string) {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	c.opts.Rand.Shuffle(len(addrs), func(i, j int) {
		addrs[i], addrs[j] = addrs[j], addrs[i]
	})
}

// Address returns the server of the current connection, or "" if there is none.
func (c *Client) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return ""
	}
	return c.current.addr
}

// Reconnected returns a channel that is closed when the next connection is established.
func (c *Client) Reconnected() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reconnected
}

// Transferred returns the bytes of UDP payload sent and received on the current connection,
// or zero if there is none.
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

// Move makes the client switch to the given server, or to any other one if addr is empty.
// The present connection stays until another one is established, and for good if no other
// server replies. Then it is closed once its calls have ended; subscriptions end with it.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	c.moveTo = addr
	c.mu.Unlock()
	select {
	case c.moveRequested <- struct{}{}:
	default:
	}
}

// Close closes the connection and fails all pending calls.
func (c *Client) Close() {
	c.cancel()
	c.wg.Wait()
}

// Call sends a request and waits for its response until ctx is done. If there is no
// connection it waits for one. The error is ErrNotSent, ErrOutcomeUnknown, ErrTooLarge for
// a request above the size bound, or ErrClosed. A fault is a response, not an error: see
// ResponseError. If the fault names other servers, the client moves to one of them.
func (c *Client) Call(ctx context.Context, req *controlpb.Request) (*controlpb.Response, error) {
	conn, err := c.awaitConnection(ctx)
	if err != nil {
		return nil, err
	}
	res, err := conn.call(ctx, req)
	if err != nil {
		c.countFailure(err)
	}
	c.followRedirect(res.GetFault().GetHosts().GetAddresses())
	return res, err
}

// followRedirect moves to one of the servers that a fault named.
func (c *Client) followRedirect(hosts []string) {
	if len(hosts) == 0 {
		return
	}
	c.SetLearnedAddresses(hosts)
	c.randMu.Lock()
	to := hosts[c.opts.Rand.IntN(len(hosts))]
	c.randMu.Unlock()
	c.Move(to)
}

// Subscribe opens a subscription. It lasts until it is closed, ctx is done or the
// connection is lost.
func (c *Client) Subscribe(ctx context.Context, req *controlpb.Subscribe) (*ClientStream, error) {
	conn, err := c.awaitConnection(ctx)
	if err != nil {
		return nil, err
	}
	s, err := conn.subscribe(ctx, req)
	if err != nil {
		c.countFailure(err)
	}
	return s, err
}

// CallResult is the response or the error of one server.
type CallResult struct {
	Address  string
	Response *controlpb.Response
	Err      error
}

// CallEach sends a request to every server, each over a new connection that is closed
// afterwards. It returns one result per address when all have replied or failed or ctx is
// done.
func (c *Client) CallEach(ctx context.Context, req *controlpb.Request) []CallResult {
	addrs := c.Addresses()
	results := make([]CallResult, len(addrs))
	var wg conc.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			results[i] = c.callOnce(ctx, addr, req)
		})
	}
	wg.Wait()
	return results
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

// awaitConnection returns the current connection and waits for one if there is none.
func (c *Client) awaitConnection(ctx context.Context) (*connection, error) {
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

func (c *Client) setCurrent(conn *connection) {
	c.discardMove()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		close(c.ready)
	}
	c.current = conn
	close(c.reconnected)
	c.reconnected = make(chan struct{})
}

func (c *Client) clearCurrent() {
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
	reasonCounter(c.opts.Scope, metricCallFailures, reason).Inc(1)
}

// jitter varies a duration at random so that clients do not act simultaneously.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	factor := 1 + jitterFraction*(2*c.opts.Rand.Float64()-1)
	return time.Duration(float64(d) * factor)
}

func (c *Client) quicConfig() *quic.Config {
	idle := c.opts.HeartbeatInterval + c.opts.HeartbeatTimeout
	return quicConfig(2*idle, clientIncomingStreams)
}
