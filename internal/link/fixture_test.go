package link

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

const testTimeout = unittest.Timeout

var loopback = netip.MustParseAddr("127.0.0.1")

// deployment issues credentials signed by one authority.
type deployment struct{ *unittest.Authority }

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return &deployment{unittest.NewAuthority(t)}
}

func identity(role keys.Role, name string) keys.Identity {
	id := keys.Identity{Role: role, Name: name}
	if role == keys.RoleAgent {
		id.Service = "lodgement"
	}
	return id
}

func (d *deployment) pair(role keys.Role, name string, from time.Time) *keys.KeyPair {
	return d.KeyPair(identity(role, name), from)
}

func (d *deployment) credentials(role keys.Role, name string) *keys.Credentials {
	return d.Credentials(identity(role, name))
}

// fakeHandler replies to each call with a fixed version and sends the elements of updates to
// each subscription.
type fakeHandler struct {
	call    func(ctx context.Context, peer Peer, req *controlpb.Request) *controlpb.Response
	updates chan *controlpb.SubscribeUpdate

	mu         sync.Mutex
	peers      []Peer
	heartbeats []uint64
}

func newFakeHandler() *fakeHandler {
	return &fakeHandler{updates: make(chan *controlpb.SubscribeUpdate)}
}

func versionReply(v uint64) *controlpb.Response {
	return &controlpb.Response{Body: &controlpb.Response_Version{Version: &controlpb.VersionReply{Version: v}}}
}

func versionQuery() *controlpb.Request {
	return &controlpb.Request{Body: &controlpb.Request_Version{Version: &controlpb.VersionQuery{}}}
}

func (h *fakeHandler) Call(ctx context.Context, peer Peer, req *controlpb.Request) *controlpb.Response {
	h.mu.Lock()
	h.peers = append(h.peers, peer)
	h.mu.Unlock()
	if h.call != nil {
		return h.call(ctx, peer, req)
	}
	return versionReply(7)
}

func (h *fakeHandler) calls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.peers)
}

func (h *fakeHandler) Subscribe(ctx context.Context, _ Peer, req *controlpb.Subscribe, s *ServerStream) error {
	if req.GetVersion() == 999 {
		return &FaultError{Kind: controlpb.FaultKind_FAULT_NOT_DONE, Text: "later", RetryAfter: time.Second}
	}
	go func() {
		for {
			b, err := s.Receive()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.heartbeats = append(h.heartbeats, b.GetVersion())
			h.mu.Unlock()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-h.updates:
			if err := s.Send(u); err != nil {
				return err
			}
		}
	}
}

func (h *fakeHandler) firstPeer() Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers[0]
}

func (h *fakeHandler) lastHeartbeat() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.heartbeats) == 0 {
		return 0
	}
	return h.heartbeats[len(h.heartbeats)-1]
}

func startServer(t *testing.T, addr string, creds *keys.Credentials, h Handler, opts ServerOptions) (*Server, tally.TestScope) {
	t.Helper()
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	opts.Scope = scope
	s, err := Listen(addr, creds, h, opts)
	is.NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s, scope
}

// fastOptions returns client options with short heartbeats and backoffs.
func fastOptions() ClientOptions {
	return ClientOptions{
		LocalIP:           loopback,
		DialTimeout:       500 * time.Millisecond,
		HeartbeatInterval: 50 * time.Millisecond,
		HeartbeatTimeout:  300 * time.Millisecond,
		BackoffMin:        10 * time.Millisecond,
		BackoffMax:        50 * time.Millisecond,
		Rand:              rand.New(rand.NewPCG(1, 2)),
	}
}

func startClient(t *testing.T, creds *keys.Credentials, opts ClientOptions, addrs ...string) (*Client, tally.TestScope) {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	opts.Scope = scope
	c := NewClient(addrs, creds, opts)
	t.Cleanup(c.Close)
	return c, scope
}

func timeoutContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

var (
	eventually = unittest.Eventually
	count      = unittest.Counter
)

// mustCall checks that a call succeeds.
func mustCall(t *testing.T, c *Client) {
	t.Helper()
	_, err := c.Call(timeoutContext(t), versionQuery())
	is.New(t).NoErr(err)
}

// relay forwards datagrams between clients and one server. It can drop the datagrams of
// known 5-tuples while new ones work.
type relay struct {
	front  *net.UDPConn
	target *net.UDPAddr

	mu    sync.Mutex
	paths map[netip.AddrPort]*relayPath
	// dropFirst drops all datagrams of the first path.
	dropFirst bool
}

type relayPath struct {
	back    *net.UDPConn
	dropped bool
	// dropReplies drops only datagrams to the client.
	dropReplies bool
}

func startRelay(t *testing.T, target net.Addr) *relay {
	t.Helper()
	is := is.New(t)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback.AsSlice()})
	is.NoErr(err)
	r := &relay{front: front, target: target.(*net.UDPAddr), paths: make(map[netip.AddrPort]*relayPath)}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.forward(&wg)
	}()
	t.Cleanup(func() {
		_ = front.Close()
		r.mu.Lock()
		for _, p := range r.paths {
			_ = p.back.Close()
		}
		r.mu.Unlock()
		wg.Wait()
	})
	return r
}

func (r *relay) addr() string { return r.front.LocalAddr().String() }

func (r *relay) forward(wg *sync.WaitGroup) {
	buf := make([]byte, 2048)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p := r.path(from, wg)
		if p == nil {
			return
		}
		r.mu.Lock()
		dropped := p.dropped
		r.mu.Unlock()
		if !dropped {
			_, _ = p.back.Write(buf[:n])
		}
	}
}

func (r *relay) path(from netip.AddrPort, wg *sync.WaitGroup) *relayPath {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.paths[from]; p != nil {
		return p
	}
	back, err := net.DialUDP("udp", &net.UDPAddr{IP: loopback.AsSlice()}, r.target)
	if err != nil {
		return nil
	}
	p := &relayPath{back: back, dropped: r.dropFirst}
	r.dropFirst = false
	r.paths[from] = p
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.backward(p, from)
	}()
	return p
}

func (r *relay) backward(p *relayPath, to netip.AddrPort) {
	buf := make([]byte, 2048)
	for {
		n, err := p.back.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		dropped := p.dropped || p.dropReplies
		r.mu.Unlock()
		if !dropped {
			_, _ = r.front.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}

// dropKnownPaths drops the datagrams of all known paths, or only those to the client.
func (r *relay) dropKnownPaths(repliesOnly bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.paths {
		p.dropped = p.dropped || !repliesOnly
		p.dropReplies = true
	}
}

// dropFirstPath drops all datagrams of the first path.
func (r *relay) dropFirstPath() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropFirst = true
}

// startUnresponsive returns the address of a socket that sends nothing.
func startUnresponsive(t *testing.T) string {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback.AsSlice()})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket.LocalAddr().String()
}

func (r *relay) pathCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.paths)
}
