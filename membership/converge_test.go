package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

const (
	controlHosts = 3
	// steady is an agent that stays with host 0, which never restarts.
	steady = uint32(1)
	agents = 5
	tick   = time.Second
)

// envelope is a message between control hosts under way.
type envelope struct {
	from, to int
	life     int
	sync     *controlpb.DirectorySync
	reply    *controlpb.DirectorySyncReply
}

// agent is a process that announces one target.
type agent struct {
	record *controlpb.TargetRecord
	host   int
	alive  bool
	// superseded is set once a host knows a newer process.
	superseded bool
}

// network is a group of control hosts and the agents that announce to them.
type network struct {
	t       *rapid.T
	now     time.Duration
	hosts   [controlHosts]*membership.Directory
	lives   [controlHosts]int
	cursors [controlHosts][controlHosts]uint64
	cut     [controlHosts][controlHosts]bool
	agents  []*agent
	queue   []envelope
	// heard is when each host last heard each target from its agent.
	heard [controlHosts]map[uint32]time.Duration
	// knew tells that a host has known the steady agent in this life.
	knew [controlHosts]bool
}

func newNetwork(t *rapid.T, agents int) *network {
	n := &network{t: t}
	for i := range n.hosts {
		n.restart(i)
	}
	for number := uint32(1); number <= uint32(agents); number++ {
		n.agents = append(n.agents, &agent{record: record(number, 1, 1), host: int(number-1) % controlHosts, alive: true})
	}
	return n
}

func (n *network) restart(host int) {
	n.lives[host]++
	n.hosts[host] = membership.New(membership.Options{
		Epoch: uint64(100*(host+1) + n.lives[host]), Lease: lease, Start: n.now, Damping: noDamping,
	})
	n.heard[host] = map[uint32]time.Duration{}
	n.knew[host] = false
	n.cursors[host] = [controlHosts]uint64{}
}

func name(host int) membership.Source { return membership.Source(fmt.Sprint("c", host)) }

// announceAll lets all agents that live announce.
func (n *network) announceAll() {
	for _, a := range n.agents {
		if !a.alive || a.superseded {
			continue
		}
		verdict := n.hosts[a.host].Announce(n.now, proto.CloneOf(a.record), membership.Direct)
		a.superseded = verdict == membership.Superseded
		if verdict.Accepted() {
			n.heard[a.host][a.record.GetNumber()] = n.now
		}
	}
}

// sendAll lets every host send to every other one.
func (n *network) sendAll() {
	for from := range n.hosts {
		for to := range n.hosts {
			if from == to {
				continue
			}
			m, cursor := n.hosts[from].Sync(n.now, n.cursors[from][to])
			n.cursors[from][to] = cursor
			n.post(envelope{from: from, to: to, life: n.lives[from], sync: m})
		}
	}
}

func (n *network) post(e envelope) {
	if !n.cut[e.from][e.to] {
		n.queue = append(n.queue, e)
	}
}

// deliver hands over the message at a place of the queue.
func (n *network) deliver(i int) {
	e := n.queue[i]
	n.queue = slices.Delete(n.queue, i, i+1)
	if e.reply == nil {
		reply := n.hosts[e.to].ApplySync(n.now, name(e.from), proto.CloneOf(e.sync))
		n.post(envelope{from: e.to, to: e.from, life: e.life, reply: reply})
		return
	}
	// An answer to an earlier life has nobody to go to.
	if len(e.reply.GetDigests()) == 0 || e.life != n.lives[e.to] {
		return
	}
	m, cursor := n.hosts[e.to].Repair(n.now, n.cursors[e.to][e.from], e.reply.GetDigests())
	n.cursors[e.to][e.from] = cursor
	n.post(envelope{from: e.to, to: e.from, life: e.life, sync: m})
}

// disturb draws one fault or change.
func (n *network) disturb() {
	t := n.t
	a := n.agents[rapid.IntRange(1, len(n.agents)-1).Draw(t, "agent")]
	switch rapid.SampledFrom([]string{"none", "restart", "cut", "heal", "move", "die", "change", "replace", "lose", "double"}).Draw(t, "event") {
	case "restart":
		n.restart(rapid.IntRange(1, controlHosts-1).Draw(t, "host"))
	case "cut", "heal":
		x, y := rapid.IntRange(0, controlHosts-1).Draw(t, "x"), rapid.IntRange(0, controlHosts-1).Draw(t, "y")
		n.cut[x][y] = !n.cut[x][y]
	case "move":
		a.host = rapid.IntRange(0, controlHosts-1).Draw(t, "host")
	case "die":
		a.alive = false
	case "change":
		a.record.Sequence++
		a.record.Ill = !a.record.GetIll()
	case "replace":
		a.record.Incarnation++
		a.record.Sequence = 1
		a.record.FailureDomain = rapid.SampledFrom([]string{"oke-ado", "dugbe"}).Draw(t, "domain")
		a.alive, a.superseded = true, false
	case "lose":
		if len(n.queue) > 0 {
			i := rapid.IntRange(0, len(n.queue)-1).Draw(t, "lost")
			n.queue = slices.Delete(n.queue, i, i+1)
		}
	case "double":
		if len(n.queue) > 0 {
			n.queue = append(n.queue, n.queue[rapid.IntRange(0, len(n.queue)-1).Draw(t, "doubled")])
		}
	}
}

// check holds what must be so at any moment.
func (n *network) check() {
	for i, d := range n.hosts {
		m, _ := d.Sync(n.now, 0)
		for _, r := range m.GetRecords() {
			if n.now-n.heard[i][r.GetNumber()] > lease+tick {
				n.t.Fatalf("host %d speaks for target %d, heard last %v ago", i, r.GetNumber(), n.now-n.heard[i][r.GetNumber()])
			}
		}
		holds := slices.ContainsFunc(d.Full(n.now, nil).GetPut(), func(r *controlpb.TargetRecord) bool { return r.GetNumber() == steady })
		if n.knew[i] && !holds {
			n.t.Fatalf("host %d has removed a target that has never been silent", i)
		}
		n.knew[i] = holds
	}
}

// step lets time pass, with one fault or change and some of the messages.
func (n *network) step() {
	n.now += tick
	n.announceAll()
	if rapid.Bool().Draw(n.t, "sends") {
		n.sendAll()
	}
	n.disturb()
	for range rapid.IntRange(0, len(n.queue)).Draw(n.t, "deliveries") {
		if len(n.queue) > 0 {
			n.deliver(rapid.IntRange(0, len(n.queue)-1).Draw(n.t, "next"))
		}
	}
	for _, d := range n.hosts {
		d.Expire(n.now)
	}
	n.check()
}

// settle delivers everything in order until the hosts have had time to agree.
// After each round it calls the function, if there is one.
func (n *network) settle(after func()) {
	n.cut = [controlHosts][controlHosts]bool{}
	for end := n.now + 5*lease; n.now < end; n.now += tick {
		n.announceAll()
		n.sendAll()
		for len(n.queue) > 0 {
			n.deliver(0)
		}
		for _, d := range n.hosts {
			d.Expire(n.now)
		}
		n.check()
		if after != nil {
			after()
		}
	}
}

func (n *network) want() []string {
	var out []string
	for _, a := range n.agents {
		if a.alive {
			out = append(out, fmt.Sprint(a.record.GetNumber(), a.record.GetIncarnation(), a.record.GetSequence()))
		}
	}
	return out
}

func held(d *membership.Directory, now time.Duration) []string {
	var out []string
	for _, r := range d.Full(now, nil).GetPut() {
		out = append(out, fmt.Sprint(r.GetNumber(), r.GetIncarnation(), r.GetSequence()))
	}
	return out
}

// TestHostsComeToTheSameDirectory runs drawn schedules of restarts, cuts,
// lost, doubled and reordered messages, moves and deaths of agents. Afterwards
// all hosts hold the agents that live and nothing else.
func TestHostsComeToTheSameDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, agents)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n.step()
		}
		n.settle(nil)
		want := n.want()
		for i, d := range n.hosts {
			if got := held(d, n.now); !slices.Equal(got, want) {
				t.Fatalf("host %d holds %v, the agents are %v", i, got, want)
			}
		}
	})
}
