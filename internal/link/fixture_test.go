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

const testLimit = unittest.Timeout

var loopback = netip.MustParseAddr("127.0.0.1")

// deployment makes credentials that share an authority.
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

func (d *deployment) pair(role keys.Role, name string, from time.Time) *keys.Pair {
	return d.Pair(identity(role, name), from)
}

func (d *deployment) credentials(role keys.Role, name string) *keys.Credentials {
	return d.Credentials(identity(role, name))
}

// fakeHandler answers calls with the version of the query's sender and sends
// each subscription what the test puts into updates.
type fakeHandler struct {
	call    func(ctx context.Context, peer Peer, req *controlpb.Request) *controlpb.Response
	updates chan *controlpb.SubscribeUpdate

	mu    sync.Mutex
	peers []Peer
	beats []uint64
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
			h.beats = append(h.beats, b.GetVersion())
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

func (h *fakeHandler) lastBeat() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.beats) == 0 {
		return 0
	}
	return h.beats[len(h.beats)-1]
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

// quick are client options whose heartbeats and pauses are short.
func quick() ClientOptions {
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

func limited(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	return ctx
}

var (
	eventually = unittest.Eventually
	count      = unittest.Counter
)

// mustAsk holds that the control host answers.
func mustAsk(t *testing.T, c *Client) {
	t.Helper()
	_, err := c.Call(limited(t), versionQuery())
	is.New(t).NoErr(err)
}

// relay passes datagrams between clients and one server. It can lose track of
// the 5-tuples that it knows, while it passes on those of new ones.
type relay struct {
	front  *net.UDPConn
	target *net.UDPAddr

	mu    sync.Mutex
	paths map[netip.AddrPort]*relayPath
	// firstDead makes the first path silent.
	firstDead bool
}

type relayPath struct {
	back *net.UDPConn
	dead bool
	// deadBack drops replies only.
	deadBack bool
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
		dead := p.dead
		r.mu.Unlock()
		if !dead {
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
	p := &relayPath{back: back, dead: r.firstDead}
	r.firstDead = false
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
		dead := p.dead || p.deadBack
		r.mu.Unlock()
		if !dead {
			_, _ = r.front.WriteToUDPAddrPort(buf[:n], to)
		}
	}
}

// loseTrack makes all known paths silent; new ones work. With repliesOnly,
// datagrams towards the server still pass.
func (r *relay) loseTrack(repliesOnly bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.paths {
		p.dead = p.dead || !repliesOnly
		p.deadBack = true
	}
}

// loseFirst makes the first path silent from its start.
func (r *relay) loseFirst() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstDead = true
}

// startSilent returns the address of a socket that answers nothing.
func startSilent(t *testing.T) string {
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
