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

// testTimeout bounds what a test waits for, however busy the machine is.
const testTimeout = 60 * time.Second

// defaultTestTick makes elections come after 0.3 s: with 10 ms the lead changed by itself
// where processes stood still for 0.1 s, on a machine with three times as much to do as it
// has cores.
const defaultTestTick = 30 * time.Millisecond

// journal is a state machine that keeps the commands in order.
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
	// A replica that opens its log again begins with the snapshot.
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

// host is one replica of a cluster with what outlives its process.
type host struct {
	name    string
	folder  string
	disk    *disk
	journal *journal
	scope   tally.TestScope
	replica *Replica // nil while it is down
}

// cluster is a group of replicas over a network in memory.
type cluster struct {
	t     *testing.T
	opts  Options
	hosts []*host

	mu   sync.Mutex
	rand *rand.Rand
	loss float64
	cut  map[string]bool // hosts that the network cuts off
	// mute and deaf have the hosts whose messages are lost, or that get none.
	mute, deaf map[string]bool
	// tap, if set, sees the messages that arrive.
	tap func(from, to string, m *raftpb.Message)
	// noAppends is the host that gets heartbeats and no entries.
	noAppends string
}

var hostNames = []string{"a", "b", "c"}

func newCluster(t *testing.T, size int, opts Options) *cluster {
	t.Helper()
	c := &cluster{t: t, opts: opts, rand: rand.New(rand.NewPCG(1, 2)), cut: map[string]bool{}, mute: map[string]bool{}, deaf: map[string]bool{}}
	members := &raftpb.Membership{}
	for _, name := range hostNames[:size] {
		h := &host{name: name, folder: filepath.Join(t.TempDir(), name)}
		c.hosts = append(c.hosts, h)
		c.start(h)
		members.Members = append(members.Members, &raftpb.Member{Id: h.replica.ID(), Address: name})
	}
	t.Cleanup(c.closeAll)
	for _, h := range c.hosts {
		err := h.replica.Bootstrap(t.Context(), members)
		// One that a member formed before has reached already is formed.
		if err != nil && !errors.Is(err, ErrAlreadyBootstrapped) {
			t.Fatal(err)
		}
	}
	return c
}

// newLedCluster returns a cluster that has a leader.
func newLedCluster(t *testing.T, size int, opts Options) (*cluster, *host) {
	t.Helper()
	c := newCluster(t, size, opts)
	return c, c.leader()
}

func (c *cluster) options(h *host) Options {
	o := c.opts
	o.DataDir, o.Name, o.FS, o.StateMachine = h.folder, h.name, h.disk, h.journal
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

// start starts a host's process on what its disk holds.
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

// kill ends a host's process without a clean end of its log.
func (c *cluster) kill(h *host) {
	h.disk.fail(errors.New("killed"))
	r := c.detach(h)
	_ = r.halt() // reports the failure above, if the log was in use
}

// detach takes a host off the network.
func (c *cluster) detach(h *host) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := h.replica
	h.replica = nil
	return r
}

func (c *cluster) closeAll() {
	for _, h := range c.hosts {
		if r := c.detach(h); r != nil {
			_ = r.halt() // a test that minds has looked at it already
		}
	}
}

func (c *cluster) isolate(h *host, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[h.name] = cut
}

// cutOneWay loses what a host sends, or what is sent to it.
func (c *cluster) cutOneWay(h *host, mute, deaf bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mute[h.name], c.deaf[h.name] = mute, deaf
}

func (c *cluster) setLoss(loss float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = loss
}

// reach returns the replica at an address, nil if the network loses what is
// sent to it.
func (c *cluster) reach(from, to string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[from] || c.cut[to] || c.mute[from] || c.deaf[to] || c.rand.Float64() < c.loss {
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
		if tr.cluster.withholds(to.GetAddress(), m) {
			continue
		}
		if r := tr.cluster.reach(tr.from, to.GetAddress()); r != nil {
			r.Receive([]*raftpb.Message{proto.CloneOf(m)})
			tr.cluster.observe(tr.from, to.GetAddress(), m)
		}
	}
}

func (c *cluster) withholdAppends(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noAppends = name
}

func (c *cluster) withholds(to string, m *raftpb.Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return to == c.noAppends && m.GetKind() == raftpb.MessageKind_MESSAGE_APPEND
}

func (c *cluster) setTap(tap func(from, to string, m *raftpb.Message)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tap = tap
}

func (c *cluster) observe(from, to string, m *raftpb.Message) {
	c.mu.Lock()
	tap := c.tap
	c.mu.Unlock()
	if tap != nil {
		tap(from, to, m)
	}
}

type forwarder struct {
	cluster *cluster
	from    string
}

var errLost = errors.New("answer lost")

func (f *forwarder) Forward(ctx context.Context, leader *raftpb.Member, _ controlpb.Group, command []byte) (*controlpb.ProposeReply, error) {
	r := f.cluster.reach(f.from, leader.GetAddress())
	if r == nil {
		return nil, ErrNoLeader // not sent
	}
	reply := NewProposeReply(r.ProposeLocal(ctx, command))
	if f.cluster.reach(leader.GetAddress(), f.from) == nil {
		return nil, errLost
	}
	return reply, nil
}

// wait returns once cond holds, looking again at each change of any status.
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

// leader waits until a host leads that is not one of the excluded.
func (c *cluster) leader(excluded ...*host) *host {
	c.t.Helper()
	var found *host
	c.wait("leader", func() bool {
		found = c.leaderNow(excluded)
		return found != nil
	})
	return found
}

func (c *cluster) leaderNow(excluded []*host) *host {
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

// propose proposes the command at h, again after each certain refusal. On a machine that
// stands still for longer than an election takes, the lead may change meanwhile, and the
// outcome is unknown: whether the command took effect is then read.
func (c *cluster) propose(h *host, command string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), testTimeout)
	defer cancel()
	for {
		_, changed := h.replica.Watch()
		_, err := h.replica.Propose(ctx, []byte(command))
		if err == nil || errors.Is(err, ErrUnknown) && h.tookEffect(ctx, command) {
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

// tookEffect reports whether a command whose outcome is unknown is part of the journal:
// what a read barrier has not shown will never be.
func (h *host) tookEffect(ctx context.Context, command string) bool {
	for ctx.Err() == nil {
		_, changed := h.replica.Watch()
		if h.replica.ReadBarrier(ctx) == nil {
			break
		}
		backoff(ctx, changed)
	}
	return h.journal.count(command) > 0
}

// proposeInBackground proposes at h once. The outcome comes on the channel.
func (h *host) proposeInBackground(ctx context.Context, command string) <-chan error {
	outcome := make(chan error, 1)
	r := h.replica
	go func() {
		_, err := r.Propose(ctx, []byte(command))
		outcome <- err
	}()
	return outcome
}

// readInBackground waits for a read barrier at h. The outcome comes on the
// channel.
func (h *host) readInBackground(ctx context.Context) <-chan error {
	outcome := make(chan error, 1)
	r := h.replica
	go func() { outcome <- r.ReadBarrier(ctx) }()
	return outcome
}

// backoff returns before the next try: at a change of the status, or after a
// while, because a lost message changes none. It returns false if ctx ends.
func backoff(ctx context.Context, changed <-chan struct{}) bool {
	const pause = 10 * time.Millisecond
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// converge waits until all running replicas hold the same journal, which has
// the command.
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
