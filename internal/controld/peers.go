package controld

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
)

// peers holds a link to each of the other control hosts, by address.
type peers struct {
	creds *keys.Credentials
	log   *zap.Logger
	scope tally.Scope
	// self returns this host's link address in a group. It must not be called before open
	// is set.
	self      func(controlpb.Group) string
	directory *directory
	// groups lists the replicated logs. It is set before open.
	groups []controlpb.Group
	// open is set once all replicas of this host are open. Messages sent earlier are
	// dropped.
	open atomic.Bool

	mu     sync.Mutex
	byAddr map[string]*peer
	// addresses has the link addresses of control hosts by name. A replica that has not
	// joined its group yet needs them to reply.
	addresses map[string]string
	closed    bool
}

func newPeers(creds *keys.Credentials, hosts []seedHost, dir *directory, log *zap.Logger, scope tally.Scope) *peers {
	p := &peers{
		creds:     creds,
		log:       log,
		scope:     scope.SubScope("peers"),
		directory: dir,
		byAddr:    map[string]*peer{},
		addresses: map[string]string{},
	}
	for _, v := range hosts {
		p.addresses[v.name] = v.address
	}
	return p
}

// setAddress stores the link address of a control host.
func (p *peers) setAddress(name, address string) {
	if address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[name] = address
}

// addressOf returns the link address of a member.
func (p *peers) addressOf(m *raftpb.Member) string {
	if m.GetAddress() != "" {
		return m.GetAddress()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[m.GetId().GetName()]
}

// get returns the link to a control host, created on first use, or nil after close.
func (p *peers) get(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	existing, ok := p.byAddr[addr]
	if !ok {
		existing = newPeer(addr, p)
		p.byAddr[addr] = existing
	}
	existing.lastUsed = time.Now()
	return existing
}

// connected returns how many control hosts there is a link to.
func (p *peers) connected() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, remote := range p.byAddr {
		if remote.client.Address() != "" {
			n++
		}
	}
	return n
}

// closeUnused closes the links to hosts outside addrs that have not been used for a time.
func (p *peers) closeUnused(addrs map[string]bool, unused time.Duration) {
	for _, old := range p.removeUnused(addrs, unused) {
		old.close()
	}
}

func (p *peers) removeUnused(addrs map[string]bool, unused time.Duration) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	for addr, existing := range p.byAddr {
		if !addrs[addr] && time.Since(existing.lastUsed) >= unused {
			out = append(out, existing)
			delete(p.byAddr, addr)
		}
	}
	return out
}

// countTraffic adds the bytes transferred to peers since the last call. It must not be
// called concurrently.
func (p *peers) countTraffic(sent, received tally.Counter) {
	p.mu.Lock()
	all := slices.Collect(maps.Values(p.byAddr))
	p.mu.Unlock()
	for _, remote := range all {
		for i, c := range []*link.Client{remote.client, remote.calls} {
			s, r := c.Transferred()
			sent.Inc(counterDelta(&remote.counted[i].BytesSent, s))
			received.Inc(counterDelta(&remote.counted[i].BytesReceived, r))
		}
	}
}

// counterDelta returns the increase of a connection's counter since the last value. A
// smaller value than before belongs to a new connection.
func counterDelta(last *uint64, now uint64) int64 {
	if now < *last {
		*last = 0
	}
	delta := int64(now - *last)
	*last = now
	return delta
}

// syncAll sends pending directory changes to all peers and waits for them, up to
// syncTimeout each.
func (p *peers) syncAll() {
	p.mu.Lock()
	all := slices.Collect(maps.Values(p.byAddr))
	p.mu.Unlock()
	var calls conc.WaitGroup
	for _, remote := range all {
		calls.Go(remote.sendDirectory)
	}
	calls.Wait()
}

func (p *peers) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeUnused(nil, 0)
}

// Send implements replica.Transport.
func (p *peers) Send(to *raftpb.Member, group controlpb.Group, msgs []*raftpb.Message) {
	address := p.addressOf(to)
	if address == "" || !p.open.Load() {
		p.scope.Tagged(map[string]string{"reason": "no_address"}).Counter("dropped_messages").Inc(int64(len(msgs)))
		return
	}
	if remote := p.get(address); remote != nil {
		remote.enqueue(group, msgs)
	}
}

// Forward implements replica.Forwarder.
func (p *peers) Forward(ctx context.Context, leader *raftpb.Member, group controlpb.Group, command []byte) (*controlpb.ProposeReply, error) {
	to := p.get(p.addressOf(leader))
	if to == nil || to.calls.Address() == "" {
		// Fails at once: the caller decides whether to wait for a link.
		return nil, errors.Wrap(replica.ErrNoLeader, "no link to the leader")
	}
	req := &controlpb.Request{Body: &controlpb.Request_Propose{
		Propose: &controlpb.Propose{Group: group, Command: command},
	}}
	res, err := to.calls.Call(ctx, req)
	if errors.Is(err, link.ErrNotSent) || errors.Is(err, link.ErrClosed) || errors.Is(err, link.ErrTooLarge) {
		return nil, errors.Wrap(replica.ErrNoLeader, err.Error())
	}
	if err != nil {
		return nil, err
	}
	if res.GetPropose() == nil {
		return nil, errors.Errorf("the leader answered %s", res.GetFault().GetText())
	}
	return res.GetPropose(), nil
}

// queueKey names a queue of Raft messages. Snapshots have a separate queue, since they take
// long and must not delay heartbeats.
type queueKey struct {
	group    controlpb.Group
	snapshot bool
}

// queueKeys lists the queues of each peer.
func queueKeys(groups []controlpb.Group) []queueKey {
	var all []queueKey
	for _, group := range groups {
		all = append(all, queueKey{group, false}, queueKey{group, true})
	}
	return all
}

// peer is the link to one control host. Each queue and the directory have their own sending
// loop, so that none delays another.
type peer struct {
	// client carries Raft messages and directory syncs.
	client *link.Client
	// calls carries requests that wait for the remote host to act. It has its own
	// connection: forwarded commands can use up all streams of one, and wait for Raft
	// messages themselves.
	calls *link.Client
	// lastUsed is guarded by the mutex of peers.
	lastUsed time.Time
	// counted has the values of client and calls last read by countTraffic.
	counted [2]link.Traffic
	ctx     context.Context
	cancel  context.CancelFunc
	wg      conc.WaitGroup
	scope   tally.Scope
	self    func(controlpb.Group) string
	dir     *directory
	wake    map[queueKey]chan struct{}
	sync    chan struct{}

	mu sync.Mutex
	// messages has the queued messages, bounded for each queue.
	messages map[queueKey][]*raftpb.Message

	// syncMu guards cursor, the position up to which the peer has the directory. It is held
	// during a sync.
	syncMu sync.Mutex
	cursor uint64
}

func newPeer(addr string, owner *peers) *peer {
	options := link.ClientOptions{
		Scope:             owner.scope,
		Log:               owner.log,
		DialTimeout:       peerDialTimeout,
		HedgeAfter:        peerHedge,
		HeartbeatInterval: peerHeartbeat,
		HeartbeatTimeout:  peerHeartbeatTimeout,
		BackoffMax:        peerBackoff,
		MaxRequestBytes:   maxPeerMessage,
		MaxResponseBytes:  maxPeerMessage,
	}
	p := &peer{
		client:   link.NewClient([]string{addr}, owner.creds, options),
		calls:    link.NewClient([]string{addr}, owner.creds, options),
		scope:    owner.scope,
		self:     owner.self,
		dir:      owner.directory,
		wake:     map[queueKey]chan struct{}{},
		sync:     make(chan struct{}, 1),
		messages: map[queueKey][]*raftpb.Message{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	all := queueKeys(owner.groups)
	for _, key := range all {
		p.wake[key] = make(chan struct{}, 1)
	}
	for _, key := range all {
		p.wg.Go(func() { p.loop(p.wake[key], func() { p.sendMessages(key) }) })
	}
	p.wg.Go(func() { p.loop(p.sync, p.sendDirectory) })
	return p
}

func (p *peer) close() {
	p.cancel()
	p.client.Close()
	p.calls.Close()
	p.wg.Wait()
}

func (p *peer) loop(wake chan struct{}, send func()) {
	for {
		select {
		case <-wake:
			send()
		case <-p.ctx.Done():
			return
		}
	}
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// enqueue queues Raft messages of a group.
func (p *peer) enqueue(group controlpb.Group, msgs []*raftpb.Message) {
	var snapshots, others []*raftpb.Message
	for _, m := range msgs {
		if m.GetSnapshot() != nil {
			snapshots = append(snapshots, m)
			continue
		}
		others = append(others, m)
	}
	p.add(queueKey{group, true}, snapshots, 1)
	p.add(queueKey{group, false}, others, outboxMessages)
}

// add appends messages to a queue. Beyond the limit the oldest are dropped; Raft
// retransmits.
func (p *peer) add(key queueKey, msgs []*raftpb.Message, limit int) {
	if len(msgs) == 0 {
		return
	}
	p.mu.Lock()
	queue := append(p.messages[key], msgs...)
	excess := max(len(queue)-limit, 0)
	p.messages[key] = queue[excess:]
	p.mu.Unlock()
	p.drop("queue_full", excess)
	signal(p.wake[key])
}

func (p *peer) drop(reason string, count int) {
	if count > 0 {
		p.scope.Tagged(map[string]string{"reason": reason}).Counter("dropped_messages").Inc(int64(count))
	}
}

func (p *peer) takeMessages(key queueKey) []*raftpb.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	msgs := p.messages[key]
	p.messages[key] = nil
	return msgs
}

func (p *peer) sendMessages(key queueKey) {
	msgs := p.takeMessages(key)
	if len(msgs) == 0 {
		return
	}
	if p.client.Address() == "" {
		p.drop("no_link", len(msgs))
		return
	}
	timeout := raftTimeout
	if key.snapshot {
		timeout = snapshotTimeout
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	batch := &controlpb.RaftBatch{Group: key.group, Messages: msgs, Address: p.self(key.group)}
	if _, err := p.client.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Raft{Raft: batch}}); err != nil {
		p.drop("failed", len(msgs))
	}
}
