package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap/zaptest"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// testTimeout bounds each wait of a test.
const testTimeout = 60 * time.Second

// defaultTestTick is long enough that short stalls of a busy machine cause no election.
const defaultTestTick = 30 * time.Millisecond

// journal is a state machine that records the commands in order.
type journal struct {
	mu       sync.Mutex
	commands []string
	applied  uint64
	// onApply, if set, runs before each command.
	onApply     func(command string)
	failRestore error
}

func (j *journal) Apply(index uint64, command []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.onApply != nil {
		j.onApply(string(command))
	}
	if index <= j.applied {
		panic(fmt.Sprintf("index %d after %d", index, j.applied))
	}
	j.applied = index
	j.commands = append(j.commands, string(command))
	return fmt.Appendf(nil, "%d:%s", len(j.commands), command)
}

func (j *journal) Snapshot() ([]byte, error) {
	return []byte(j.text()), nil
}

func (j *journal) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = nil
	// A replica that reopens its log starts from the snapshot.
	j.applied = 0
	if len(data) > 0 {
		j.commands = strings.Split(string(data), "\n")
	}
	return j.failRestore
}

func (j *journal) text() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Join(j.commands, "\n")
}

func (j *journal) count(command string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, c := range j.commands {
		if c == command {
			n++
		}
	}
	return n
}

// host is one replica of a cluster, with the state that survives its process.
type host struct {
	name    string
	dataDir string
	disk    *disk
	journal *journal
	scope   tally.TestScope
	replica *Replica // nil while it is down
}

// cluster is a group of replicas connected by an in-memory network.
type cluster struct {
	t     *testing.T
	opts  Options
	hosts []*host

	mu       sync.Mutex
	rand     *rand.Rand
	loss     float64         // probability that a message is lost
	isolated map[string]bool // hosts that neither send nor receive
	// blockSend and blockReceive are the hosts that cannot send, or cannot receive.
	blockSend, blockReceive map[string]bool
	// onDeliver, if set, is called with each delivered message.
	onDeliver func(from, to string, m *raftpb.Message)
	// dropAppendsTo is the host that receives no appends.
	dropAppendsTo string
}

var hostNames = []string{"a", "b", "c"}

func newCluster(t *testing.T, size int, opts Options) *cluster {
	t.Helper()
	c := &cluster{t: t, opts: opts, rand: rand.New(rand.NewPCG(1, 2)), isolated: map[string]bool{}, blockSend: map[string]bool{}, blockReceive: map[string]bool{}}
	members := &raftpb.Membership{}
	for _, name := range hostNames[:size] {
		h := &host{name: name, dataDir: filepath.Join(t.TempDir(), name)}
		c.hosts = append(c.hosts, h)
		c.start(h)
		members.Members = append(members.Members, &raftpb.Member{Id: h.replica.ID(), Address: name})
	}
	t.Cleanup(c.closeAll)
	for _, h := range c.hosts {
		err := h.replica.Bootstrap(t.Context(), members)
		// A message of another member may have bootstrapped it already.
		if err != nil && !errors.Is(err, ErrAlreadyBootstrapped) {
			t.Fatal(err)
		}
	}
	return c
}

// newLedCluster returns a cluster and its leader.
func newLedCluster(t *testing.T, size int, opts Options) (*cluster, *host) {
	t.Helper()
	c := newCluster(t, size, opts)
	return c, c.leader()
}

func (c *cluster) options(h *host) Options {
	o := c.opts
	o.DataDir, o.Name, o.FS, o.StateMachine = h.dataDir, h.name, h.disk, h.journal
	o.Transport = &transport{cluster: c, from: h.name}
	o.Forwarder = &forwarder{cluster: c, from: h.name}
	o.Scope = h.scope
	o.Log = zaptest.NewLogger(c.t)
	o.Seed = 7
	o.Addresses = map[string]string{"a": "a", "b": "b", "c": "c"}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTestTick
	}
	return o
}

// start starts a replica from the data directory of the host.
func (c *cluster) start(h *host) {
	c.t.Helper()
	h.disk = newDisk()
	h.journal = &journal{}
	h.scope = tally.NewTestScope("", nil)
	r, err := Open(c.options(h))
	if err != nil {
		c.t.Fatalf("open %s: %v", h.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.replica = r
}

// kill stops the replica of a host without closing its log cleanly.
func (c *cluster) kill(h *host) {
	h.disk.fail(errors.New("killed"))
	r := c.takeDown(h)
	_ = r.shutdown() // returns the failure above, if the log was in use
}

// takeDown disconnects a host from the network and returns its replica.
func (c *cluster) takeDown(h *host) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := h.replica
	h.replica = nil
	return r
}

func (c *cluster) closeAll() {
	for _, h := range c.hosts {
		if r := c.takeDown(h); r != nil {
			_ = r.shutdown() // tests check the error themselves
		}
	}
}

func (c *cluster) isolate(h *host, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[h.name] = isolated
}

// blockOneWay drops what a host sends, or what is sent to it.
func (c *cluster) blockOneWay(h *host, blockSend, blockReceive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blockSend[h.name], c.blockReceive[h.name] = blockSend, blockReceive
}

func (c *cluster) setLoss(loss float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = loss
}

// route returns the replica at an address, nil if the message is lost.
func (c *cluster) route(from, to string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated[from] || c.isolated[to] || c.blockSend[from] || c.blockReceive[to] || c.rand.Float64() < c.loss {
		return nil
	}
	for _, h := range c.hosts {
		if h.name == to {
			return h.replica
		}
	}
	return nil
}

type transport struct {
	cluster *cluster
	from    string
}

func (tr *transport) Send(to *raftpb.Member, _ controlpb.Group, msgs []*raftpb.Message) {
	for _, m := range msgs {
		if tr.cluster.dropsAppend(to.GetAddress(), m) {
			continue
		}
		if r := tr.cluster.route(tr.from, to.GetAddress()); r != nil {
			r.Receive([]*raftpb.Message{proto.CloneOf(m)})
			tr.cluster.notifyDelivered(tr.from, to.GetAddress(), m)
		}
	}
}

func (c *cluster) dropAppends(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropAppendsTo = name
}

func (c *cluster) dropsAppend(to string, m *raftpb.Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return to == c.dropAppendsTo && m.GetKind() == raftpb.MessageKind_MESSAGE_APPEND
}

func (c *cluster) setOnDeliver(onDeliver func(from, to string, m *raftpb.Message)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDeliver = onDeliver
}

func (c *cluster) notifyDelivered(from, to string, m *raftpb.Message) {
	c.mu.Lock()
	onDeliver := c.onDeliver
	c.mu.Unlock()
	if onDeliver != nil {
		onDeliver(from, to, m)
	}
}

type forwarder struct {
	cluster *cluster
	from    string
}

var errReplyLost = errors.New("reply lost")

func (f *forwarder) Forward(ctx context.Context, leader *raftpb.Member, _ controlpb.Group, command []byte) (*controlpb.ProposeReply, error) {
	r := f.cluster.route(f.from, leader.GetAddress())
	if r == nil {
		return nil, ErrNoLeader // not sent
	}
	reply := NewProposeReply(r.ProposeLocal(ctx, command))
	if f.cluster.route(leader.GetAddress(), f.from) == nil {
		return nil, errReplyLost
	}
	return reply, nil
}

// wait waits until cond holds. It is checked at each change of a status.
func (c *cluster) wait(what string, cond func() bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), testTimeout)
	defer cancel()
	for {
		cases := []reflect.SelectCase{{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(ctx.Done())}}
		for _, h := range c.hosts {
			if h.replica == nil {
				continue
			}
			_, changed := h.replica.Watch()
			cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(changed)})
		}
		if cond() {
			return
		}
		if chosen, _, _ := reflect.Select(cases); chosen == 0 {
			c.t.Fatalf("timeout: %s", what)
		}
	}
}

// leader waits for a leader that is not excluded.
func (c *cluster) leader(excluded ...*host) *host {
	c.t.Helper()
	var found *host
	c.wait("leader", func() bool {
		found = c.currentLeader(excluded)
		return found != nil
	})
	return found
}

func (c *cluster) currentLeader(excluded []*host) *host {
	for _, h := range c.hosts {
		skip := h.replica == nil
		for _, x := range excluded {
			skip = skip || x == h
		}
		if skip {
			continue
		}
		if s := h.replica.Status(); s.Leading() {
			return h
		}
	}
	return nil
}

// propose proposes the command at h until it is applied. The outcome may be unknown if
// the leader changes; it is then looked up in the journal.
func (c *cluster) propose(h *host, command string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), testTimeout)
	defer cancel()
	for {
		_, changed := h.replica.Watch()
		_, err := h.replica.Propose(ctx, []byte(command))
		if err == nil || errors.Is(err, ErrUnknown) && h.wasApplied(ctx, command) {
			return
		}
		if !errors.Is(err, ErrNoLeader) && !errors.Is(err, ErrBusy) && !errors.Is(err, ErrUnknown) {
			c.t.Fatalf("propose %s: %v", command, err)
		}
		if !backoff(ctx, changed) {
			c.t.Fatalf("timeout: propose %s", command)
		}
	}
}

// wasApplied reports whether a command with unknown outcome was applied. What is not in
// the journal after a read barrier will never be.
func (h *host) wasApplied(ctx context.Context, command string) bool {
	for ctx.Err() == nil {
		_, changed := h.replica.Watch()
		if h.replica.ReadBarrier(ctx) == nil {
			break
		}
		backoff(ctx, changed)
	}
	return h.journal.count(command) > 0
}

// proposeInBackground proposes at h once. The channel receives the outcome.
func (h *host) proposeInBackground(ctx context.Context, command string) <-chan error {
	outcome := make(chan error, 1)
	r := h.replica
	go func() {
		_, err := r.Propose(ctx, []byte(command))
		outcome <- err
	}()
	return outcome
}

// readInBackground starts a read barrier at h. The channel receives the outcome.
func (h *host) readInBackground(ctx context.Context) <-chan error {
	outcome := make(chan error, 1)
	r := h.replica
	go func() { outcome <- r.ReadBarrier(ctx) }()
	return outcome
}

// backoff waits before a retry, until the status changes or a short time has passed.
// It returns false if ctx ends.
func backoff(ctx context.Context, changed <-chan struct{}) bool {
	const interval = 10 * time.Millisecond
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// converge waits until all running replicas have the same journal with the command.
func (c *cluster) converge(command string) {
	c.t.Helper()
	c.wait("convergence on "+command, func() bool {
		first := ""
		for _, h := range c.hosts {
			if h.replica == nil {
				continue
			}
			text := h.journal.text()
			if h.journal.count(command) == 0 {
				return false
			}
			if first == "" {
				first = text
			}
			if text != first {
				return false
			}
		}
		return true
	})
}

func (h *host) counter(name string) int64 { return counterValue(h.scope, name) }

func others(c *cluster, h *host) []*host {
	var list []*host
	for _, o := range c.hosts {
		if o != h {
			list = append(list, o)
		}
	}
	return list
}
