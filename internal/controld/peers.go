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
	// self returns this host's link address as the group knows it. It must not
	// be called before open is set.
	self func(controlpb.Group) string
	// directory is what is passed on.
	directory *directory
	// groups lists the replicated logs. It is set before open.
	groups []controlpb.Group
	// open is set once all replicas of this host are open. Messages that one
	// of them sends earlier are dropped.
	open atomic.Bool

	mu     sync.Mutex
	byAddr map[string]*peer
	// named has link addresses of control hosts by name: a replica that has
	// not joined its group yet does not know where to answer.
	named  map[string]string
	closed bool
}

func newPeers(creds *keys.Credentials, voters []voter, dir *directory, log *zap.Logger, scope tally.Scope) *peers {
	p := &peers{
		creds:     creds,
		log:       log,
		scope:     scope.SubScope("peers"),
		directory: dir,
		byAddr:    map[string]*peer{},
		named:     map[string]string{},
	}
	for _, v := range voters {
		p.named[v.name] = v.address
	}
	return p
}

// learn notes where a control host takes messages.
func (p *peers) learn(name, address string) {
	if address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.named[name] = address
}

// addressOf returns the link address of a member.
func (p *peers) addressOf(m *raftpb.Member) string {
	if m.GetAddress() != "" {
		return m.GetAddress()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.named[m.GetId().GetName()]
}

// addressNamed returns the link address of a control host, empty if unknown.
func (p *peers) addressNamed(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.named[name]
}

// get returns the link to a control host, made at first use, or nil after
// close.
func (p *peers) get(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	held, ok := p.byAddr[addr]
	if !ok {
		held = newPeer(addr, p)
		p.byAddr[addr] = held
	}
	held.usedAt = time.Now()
	return held
}

// keepUsed closes the links to hosts that are not among addrs and have not been
// used for a time.
func (p *peers) keepUsed(addrs map[string]bool, unused time.Duration) {
	for _, old := range p.outside(addrs, unused) {
		old.close()
	}
}

func (p *peers) outside(addrs map[string]bool, unused time.Duration) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	for addr, held := range p.byAddr {
		if !addrs[addr] && time.Since(held.usedAt) >= unused {
			out = append(out, held)
			delete(p.byAddr, addr)
		}
	}
	return out
}

// countTraffic adds what the links to other control hosts have carried since
// the last call. One goroutine calls it.
func (p *peers) countTraffic(sent, received tally.Counter) {
	p.mu.Lock()
	all := slices.Collect(maps.Values(p.byAddr))
	p.mu.Unlock()
	for _, far := range all {
		for i, c := range []*link.Client{far.client, far.calls} {
			s, r := c.Transferred()
			sent.Inc(grown(&far.counted[i].BytesSent, s))
			received.Inc(grown(&far.counted[i].BytesReceived, r))
		}
	}
}

// grown returns by how much a count of a connection has grown. One that is
// smaller than before is that of another connection.
func grown(last *uint64, now uint64) int64 {
	if now < *last {
		*last = 0
	}
	by := int64(now - *last)
	*last = now
	return by
}

// tellAll tells the other control hosts at once what has changed in the
// directory. It returns once they know, or after a bounded wait.
func (p *peers) tellAll() {
	p.mu.Lock()
	all := slices.Collect(maps.Values(p.byAddr))
	p.mu.Unlock()
	var calls conc.WaitGroup
	for _, far := range all {
		calls.Go(far.sendDirectory)
	}
	calls.Wait()
}

func (p *peers) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.keepUsed(nil, 0)
}

// Send implements replica.Transport.
func (p *peers) Send(to *raftpb.Member, group controlpb.Group, msgs []*raftpb.Message) {
	address := p.addressOf(to)
	if address == "" || !p.open.Load() {
		p.scope.Tagged(map[string]string{"reason": "no_address"}).Counter("dropped_messages").Inc(int64(len(msgs)))
		return
	}
	if far := p.get(address); far != nil {
		far.enqueue(group, msgs)
	}
}

// Forward implements replica.Forwarder.
func (p *peers) Forward(ctx context.Context, leader *raftpb.Member, group controlpb.Group, command []byte) (*controlpb.ProposeReply, error) {
	to := p.get(p.addressOf(leader))
	if to == nil || to.calls.Address() == "" {
		// Refused at once: waiting for a link is the caller's choice.
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

// lane is a queue of agreement messages. Snapshots have one of their own: they
// take long, and a leader that cannot send heartbeats meanwhile steps down.
type lane struct {
	group    controlpb.Group
	snapshot bool
}

// lanes lists the queues to each peer.
func lanes(groups []controlpb.Group) []lane {
	var all []lane
	for _, group := range groups {
		all = append(all, lane{group, false}, lane{group, true})
	}
	return all
}

// peer is the link to one control host. A loop for each lane and one for the
// directory send what waits, so that none holds up another.
type peer struct {
	// client carries agreement messages and the directory.
	client *link.Client
	// calls carries what waits for the far end to act. It has a connection of
	// its own: forwarded commands can take up all streams of one, and wait
	// themselves for agreement messages.
	calls *link.Client
	// usedAt is guarded by the mutex of peers.
	usedAt time.Time
	// counted is what countTraffic has read of client and calls.
	counted [2]link.Traffic
	ctx     context.Context
	cancel  context.CancelFunc
	wg      conc.WaitGroup
	scope   tally.Scope
	self    func(controlpb.Group) string
	dir     *directory
	wake    map[lane]chan struct{}
	sync    chan struct{}

	mu sync.Mutex
	// messages wait for the far end, bounded for each lane.
	messages map[lane][]*raftpb.Message

	// telling guards cursor, which is how far the far end has been told of the
	// directory. It is held while a message is under way.
	telling sync.Mutex
	cursor  uint64
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
		wake:     map[lane]chan struct{}{},
		sync:     make(chan struct{}, 1),
		messages: map[lane][]*raftpb.Message{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	all := lanes(owner.groups)
	for _, l := range all {
		p.wake[l] = make(chan struct{}, 1)
	}
	for _, l := range all {
		p.wg.Go(func() { p.loop(p.wake[l], func() { p.sendMessages(l) }) })
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

// enqueue adds agreement messages of a group.
func (p *peer) enqueue(group controlpb.Group, msgs []*raftpb.Message) {
	var snapshots, others []*raftpb.Message
	for _, m := range msgs {
		if m.GetSnapshot() != nil {
			snapshots = append(snapshots, m)
			continue
		}
		others = append(others, m)
	}
	p.add(lane{group, true}, snapshots, 1)
	p.add(lane{group, false}, others, outboxMessages)
}

// add puts messages into a lane. What exceeds the limit is dropped, oldest
// first: the agreement core sends anew what matters.
func (p *peer) add(l lane, msgs []*raftpb.Message, limit int) {
	if len(msgs) == 0 {
		return
	}
	p.mu.Lock()
	queue := append(p.messages[l], msgs...)
	excess := max(len(queue)-limit, 0)
	p.messages[l] = queue[excess:]
	p.mu.Unlock()
	p.drop("queue_full", excess)
	signal(p.wake[l])
}

func (p *peer) drop(reason string, count int) {
	if count > 0 {
		p.scope.Tagged(map[string]string{"reason": reason}).Counter("dropped_messages").Inc(int64(count))
	}
}

func (p *peer) takeMessages(l lane) []*raftpb.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	msgs := p.messages[l]
	p.messages[l] = nil
	return msgs
}

func (p *peer) sendMessages(l lane) {
	msgs := p.takeMessages(l)
	if len(msgs) == 0 {
		return
	}
	if p.client.Address() == "" {
		p.drop("no_link", len(msgs))
		return
	}
	timeout := raftTimeout
	if l.snapshot {
		timeout = snapshotTimeout
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	batch := &controlpb.RaftBatch{Group: l.group, Messages: msgs, Address: p.self(l.group)}
	if _, err := p.client.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Raft{Raft: batch}}); err != nil {
		p.drop("failed", len(msgs))
	}
}
