package raft

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// chain is a state machine whose state is its position and a hash of all
// entries applied so far.
type chain struct{ index, hash uint64 }

func (s chain) next(e *raftpb.Entry) chain {
	h := fnv.New64a()
	fmt.Fprint(h, s.hash, e.GetTerm(), e.GetIndex(), e.GetKind(), e.GetData())
	return chain{index: e.GetIndex(), hash: h.Sum64()}
}

// server is one replica with its disk.
type server struct {
	name        string
	pace        int // percent of events that are ticks: clocks differ
	incarnation uint64
	founder     bool
	durable     bool // the state machine survives a crash
	node        *Node
	state       chain
	// The disk.
	hard     *raftpb.HardState
	snapshot *raftpb.Snapshot
	entries  []*raftpb.Entry
	// The batch at work and its next step.
	batch   Batch
	stage   int
	votes   bool              // the batch holds a new vote
	reads   map[uint64]uint64 // token to the least index it must see
	tookOff uint64            // commit seen by checkCommits
	frozen  int               // events until it thaws or restarts
}

func (s *server) id() *raftpb.ReplicaID {
	return &raftpb.ReplicaID{Name: s.name, Incarnation: s.incarnation}
}

type committed struct {
	entryTerm, seenTerm, hash uint64
}

type envelope struct {
	m   *raftpb.Message
	due int
}

type voteKey struct {
	voter replicaKey
	term  uint64
}

// cluster runs servers under a random schedule and checks invariants.
type cluster struct {
	rng           *rand.Rand
	events        int
	calm          bool
	quiet         int // the higher, the fewer faults
	electionTicks int
	servers       []*server
	net           []envelope
	blocked       map[string]bool
	leaders       map[uint64]replicaKey
	votes         map[voteKey]replicaKey
	log           map[uint64]committed
	lost          map[replicaKey]bool // incarnations without a disk
	highest       uint64              // last committed index anywhere
	token         uint64
	trace         uint64
	counts        counts
	founders      *raftpb.Membership
}

func newCluster(seed uint64) *cluster {
	c := &cluster{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		blocked: map[string]bool{},
		leaders: map[uint64]replicaKey{},
		votes:   map[voteKey]replicaKey{},
		log:     map[uint64]committed{},
		lost:    map[replicaKey]bool{},
	}
	c.quiet = 8000 << c.rng.IntN(5)
	c.electionTicks = 4 + c.rng.IntN(7)
	c.founders = &raftpb.Membership{}
	for i, name := range replicaNames {
		s := &server{name: string(name), incarnation: 1, founder: i < founderCount, durable: c.chance(50), pace: 3 + c.rng.IntN(15)}
		if s.founder {
			c.founders.Members = append(c.founders.Members, &raftpb.Member{Id: s.id()})
		}
		c.servers = append(c.servers, s)
	}
	return c
}

func (c *cluster) chance(percent int) bool { return c.rng.IntN(100) < percent }

func (c *cluster) start(s *server) error {
	o := Options{
		Self: s.id(), Rand: rand.New(rand.NewPCG(c.rng.Uint64(), 2)),
		HardState: s.hard, Snapshot: s.snapshot, Entries: slices.Clone(s.entries),
		ElectionTicks: c.electionTicks, MaxInflight: 3, MaxBatchBytes: 150, RetainEntries: 4,
	}
	if s.founder {
		o.Membership = c.founders
	}
	if s.durable {
		o.Applied = s.state.index
	} else {
		s.state = chain{}
	}
	node, err := New(o)
	s.node, s.stage, s.reads, s.tookOff = node, 0, map[uint64]uint64{}, 0
	return err
}

func (c *cluster) run() error {
	for c.events = 0; c.events < randomEvents; c.events++ {
		if err := c.event(); err != nil {
			return err
		}
	}
	return c.settle()
}

// settle heals everything and expects that commits go on, and that each member
// applies what was committed after half of the time.
func (c *cluster) settle() error {
	c.calm = true
	c.blocked = map[string]bool{}
	var before uint64
	for i := range settleEvents {
		if i == settleEvents/2 {
			before = c.highest
		}
		c.events++
		if err := c.event(); err != nil {
			return err
		}
	}
	if err := c.checkLogs(); err != nil {
		return err
	}
	if !c.shouldSettle() {
		return nil
	}
	c.counts.Settled++
	if c.highest <= before {
		return errors.Errorf("nothing committed after %d although a quorum is up", before)
	}
	for _, s := range c.servers {
		if findMember(c.latest(), keyOf(s.id())) == nil {
			continue
		}
		if s.state.index <= before {
			return errors.Errorf("%s has applied %d, committed was %d", s.name, s.state.index, before)
		}
	}
	return nil
}

// latest returns the latest membership known to be committed.
func (c *cluster) latest() *raftpb.Membership {
	best := c.servers[0].node
	for _, s := range c.servers {
		if s.node.log.commit > best.log.commit {
			best = s.node
		}
	}
	return best.membershipAt(best.log.commit)
}

// shouldSettle says whether each membership in force somewhere has a quorum
// with disks.
func (c *cluster) shouldSettle() bool {
	for _, s := range c.servers {
		m := s.node.membership()
		if m != nil && !hasQuorum(m, func(k replicaKey) bool { return !c.lost[k] }) {
			return false
		}
	}
	return true
}

func (c *cluster) event() error {
	s := c.servers[c.rng.IntN(len(c.servers))]
	if s.frozen--; s.frozen > 0 && !c.calm {
		return nil
	}
	if s.node == nil {
		return c.start(s)
	}
	if s.frozen == 0 {
		// A leader that thaws is asked before it hears of another.
		c.read(s)
	}
	if !c.calm {
		c.disturb(s)
		if s.node == nil {
			return nil
		}
	}
	var err error
	tick := s.pace
	if c.calm {
		// Messages take much less than an election timeout.
		tick = 2
	}
	switch n := c.rng.IntN(100); {
	case n < tick:
		s.node.Tick()
	case n < 55:
		// Several, so that the servers keep up with what they are sent.
		for range c.rng.IntN(5) {
			if err = c.deliver(s); err != nil {
				return err
			}
		}
	case n < 89:
		err = c.work(s)
	case n < 95:
		c.propose(s)
	case n < 96:
		c.read(s)
	case n < 97:
		c.transfer(s)
	case n < 98:
		err = c.compact(s)
	default:
		c.changeMembership(s)
	}
	if err != nil || s.node == nil {
		return err
	}
	return c.check(s)
}

// disturb brings about faults.
func (c *cluster) disturb(s *server) {
	n := c.rng.IntN(c.quiet)
	if s.node.role != RoleFollower {
		n /= 8 // faults at leaders and in elections tell most
	}
	switch {
	case n < 10:
		c.crash(s)
	case n < 13:
		c.wipe(s)
	case n < 20:
		s.frozen = c.rng.IntN(1500)
	case n < 30:
		c.blocked = map[string]bool{}
	case n < 45:
		// Block some directions, or all of one server.
		percent := 25 + 75*c.rng.IntN(2)
		for _, o := range c.servers {
			c.blocked[s.name+o.name] = c.chance(percent)
			c.blocked[o.name+s.name] = c.chance(percent)
		}
	}
}

func (c *cluster) crash(s *server) {
	s.node = nil
	s.frozen = c.rng.IntN(1 + c.rng.IntN(600))
	c.counts.Crashes++
}

// wipe loses the disk, where each membership in force keeps a quorum.
func (c *cluster) wipe(s *server) {
	kept := func(k replicaKey) bool { return !c.lost[k] && k != keyOf(s.id()) }
	for _, o := range c.servers {
		if o.node == nil || o.node.membership() != nil && !hasQuorum(o.node.membership(), kept) {
			return
		}
	}
	c.crash(s)
	c.counts.Wipes++
	c.lost[keyOf(s.id())] = true
	*s = server{name: s.name, incarnation: s.incarnation + 1, durable: s.durable, pace: s.pace, frozen: s.frozen}
}

func (c *cluster) deliver(s *server) error {
	i := slices.IndexFunc(c.net, func(e envelope) bool {
		return e.m.GetTo().GetName() == s.name && e.due <= c.events
	})
	if i < 0 {
		return nil
	}
	m := c.net[i].m
	c.net = slices.Delete(c.net, i, i+1)
	if err := s.node.Step(m); err != nil && !errors.Is(err, ErrOtherReplica) {
		return errors.Wrapf(err, "%s steps %v", s.name, m)
	}
	return nil
}

func (c *cluster) send(m *raftpb.Message) error {
	if m.GetKind() == raftpb.MessageKind_MESSAGE_VOTE_REPLY && !m.GetReject() {
		key := voteKey{voter: keyOf(m.GetFrom()), term: m.GetTerm()}
		if to, ok := c.votes[key]; ok && to != keyOf(m.GetTo()) {
			return errors.Errorf("%v votes for %v and %v", key, to, keyOf(m.GetTo()))
		}
		c.votes[key] = keyOf(m.GetTo())
	}
	if m.GetTakeOver() {
		c.counts.TakeOvers++
	}
	h := fnv.New64a()
	fmt.Fprint(h, c.trace, m.GetKind(), m.GetFrom().GetName(), m.GetTo().GetName(), m.GetTerm(), m.GetLogIndex(), m.GetCommit(), len(m.GetEntries()))
	c.trace = h.Sum64()
	if !c.calm && (c.blocked[m.GetFrom().GetName()+m.GetTo().GetName()] || c.chance(5)) {
		return nil
	}
	for copies := 1; copies > 0; copies-- {
		delay := c.rng.IntN(30)
		if !c.calm && c.chance(5) {
			delay = c.rng.IntN(600)
		}
		c.net = append(c.net, envelope{m: proto.Clone(m).(*raftpb.Message), due: c.events + delay})
		if !c.calm && c.chance(5) {
			copies++
		}
	}
	return nil
}

// work does the next step of a server's batch. A crash between two steps
// leaves what the steps before it did.
func (c *cluster) work(s *server) error {
	b := &s.batch
	risk := c.quiet / 40
	if s.votes {
		risk = 6
	}
	if s.stage > 1 && !c.calm && c.rng.IntN(risk) == 0 {
		// Back soon: what it has promised is still being counted elsewhere.
		c.crash(s)
		s.frozen = c.rng.IntN(20)
		return nil
	}
	switch s.stage {
	case 0:
		batch, ok := s.node.Ready()
		if !ok {
			return nil
		}
		s.batch = batch
		s.votes = batch.HardState.GetVote() != nil && !proto.Equal(batch.HardState.GetVote(), s.hard.GetVote())
	case 1:
		if b.Snapshot != nil {
			s.snapshot = b.Snapshot
		}
	case 2:
		c.persist(s)
	case 3:
		for _, m := range b.Messages {
			if err := c.send(m); err != nil {
				return err
			}
		}
	case 4:
		if err := c.apply(s); err != nil {
			return err
		}
		s.node.Advance(s.batch)
		s.stage = -1
	}
	s.stage++
	return nil
}

func (c *cluster) persist(s *server) {
	b := &s.batch
	if b.Snapshot != nil {
		s.entries = nil
	}
	if b.HardState != nil && (b.MustSync || c.chance(50)) {
		s.hard = b.HardState
	}
	if len(b.Entries) == 0 {
		return
	}
	first := b.Entries[0].GetIndex()
	s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
	s.entries = append(s.entries, b.Entries...)
}

func (c *cluster) apply(s *server) error {
	if r := s.batch.Restore; r != nil {
		hash, err := strconv.ParseUint(string(r.GetData()), 10, 64)
		if err != nil {
			return err
		}
		s.state = chain{index: r.GetIndex(), hash: hash}
		c.counts.Restores++
		if c.log[r.GetIndex()].hash != hash {
			return errors.Errorf("%s restores another state at %d", s.name, r.GetIndex())
		}
	}
	for _, e := range s.batch.Committed {
		if e.GetIndex() != s.state.index+1 {
			return errors.Errorf("%s applies %d after %d", s.name, e.GetIndex(), s.state.index)
		}
		s.state = s.state.next(e)
		known, ok := c.log[e.GetIndex()]
		if ok && known.hash != 0 && known.hash != s.state.hash {
			return errors.Errorf("%s applies another entry at %d", s.name, e.GetIndex())
		}
		known.hash = s.state.hash
		c.log[e.GetIndex()] = known
	}
	for _, r := range s.batch.Reads {
		if r.Failed {
			c.counts.FailedReads++
			continue
		}
		c.counts.Reads++
		if floor := s.reads[r.Token]; r.Index < floor || s.state.index < floor {
			return errors.Errorf("%s: stale read at %d, state %d, floor %d", s.name, r.Index, s.state.index, floor)
		}
	}
	return nil
}

func (c *cluster) propose(s *server) {
	c.token++
	_, _, err := s.node.Propose(fmt.Appendf(nil, "%d", c.token))
	_ = err // most servers do not lead
}

// transfer lets a leader hand over, now and then.
func (c *cluster) transfer(s *server) {
	if !c.calm && c.chance(25) {
		_ = s.node.TransferLeadership() // most servers do not lead
	}
}

func (c *cluster) read(s *server) {
	c.token++
	if s.node.ReadIndex(c.token) == nil {
		s.reads[c.token] = c.highest
	}
}

func (c *cluster) compact(s *server) error {
	snapshot := &raftpb.Snapshot{Index: s.state.index, Data: strconv.AppendUint(nil, s.state.hash, 10)}
	// Between two batches only, like a caller with one goroutine.
	if s.stage != 0 || s.node.Compact(snapshot) != nil {
		return nil
	}
	s.snapshot = snapshot
	if c.chance(50) {
		s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= snapshot.GetIndex() })
	}
	return nil
}

// changeMembership proposes to drop lost incarnations, or else a random change.
func (c *cluster) changeMembership(s *server) {
	if c.calm || s.node.role != RoleLeader {
		return
	}
	to := proto.Clone(s.node.membership()).(*raftpb.Membership)
	i := c.rng.IntN(len(to.Members))
	if lost := slices.IndexFunc(to.Members, func(m *raftpb.Member) bool { return c.lost[keyOf(m.GetId())] }); lost >= 0 {
		i = lost
	}
	o := c.servers[c.rng.IntN(len(c.servers))]
	promoted, removed := 0, 0
	switch n := c.rng.IntN(10); {
	case findMember(to, keyOf(o.id())) == nil && n < 5:
		to.Members = append(to.Members, &raftpb.Member{Id: o.id(), Learner: true})
	case to.Members[i].Learner && n < 8:
		to.Members[i].Learner = false
		promoted = 1
	case n == 8:
		to.Members[i].Learner = true
	case countVoters(to) > 2 || to.Members[i].Learner:
		to.Members = slices.Delete(to.Members, i, i+1)
		removed = 1
	}
	if !hasQuorum(to, func(k replicaKey) bool { return !c.lost[k] }) {
		return
	}
	if _, _, err := s.node.ProposeMembership(to); err == nil {
		c.counts.Promotions += promoted
		c.counts.Removals += removed
	}
}
