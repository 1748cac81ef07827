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
	// steadyAgent is an agent that stays with host 0, which never restarts.
	steadyAgent = uint32(1)
	agents      = 5
	tick        = time.Second
)

// envelope is a message in flight between control hosts.
type envelope struct {
	from, to   int
	generation int
	sync       *controlpb.DirectorySync
	reply      *controlpb.DirectorySyncReply
}

// agent announces one target.
type agent struct {
	record *controlpb.TargetRecord
	host   int
	alive  bool
	// superseded is set once a host knows a newer incarnation.
	superseded bool
}

// network is a group of control hosts and the agents that announce to them.
type network struct {
	t           *rapid.T
	now         time.Duration
	hosts       [controlHosts]*membership.Directory
	generations [controlHosts]int
	cursors     [controlHosts][controlHosts]uint64
	cut         [controlHosts][controlHosts]bool
	agents      []*agent
	queue       []envelope
	// lastSeen is when each agent last announced to each host.
	lastSeen [controlHosts]map[uint32]time.Duration
	// retainLost is that of all hosts.
	retainLost time.Duration
	// knewSteady is set if a host has known steadyAgent since its last restart.
	knewSteady [controlHosts]bool
}

func newNetwork(t *rapid.T, agents int) *network {
	n := &network{t: t, retainLost: rapid.SampledFrom([]time.Duration{0, lease}).Draw(t, "retain lost")}
	for i := range n.hosts {
		n.restart(i)
	}
	for number := uint32(1); number <= uint32(agents); number++ {
		n.agents = append(n.agents, &agent{record: record(number, 1, 1), host: int(number-1) % controlHosts, alive: true})
	}
	return n
}

func (n *network) restart(host int) {
	n.generations[host]++
	n.hosts[host] = membership.New(membership.Options{
		Epoch: uint64(100*(host+1) + n.generations[host]), Lease: lease, Start: n.now, Damping: noDamping, RetainLost: n.retainLost,
	})
	n.lastSeen[host] = map[uint32]time.Duration{}
	n.knewSteady[host] = false
	n.cursors[host] = [controlHosts]uint64{}
}

func sourceOf(host int) membership.Source { return membership.Source(fmt.Sprint("c", host)) }

// announceAll lets all running agents announce.
func (n *network) announceAll() {
	for _, a := range n.agents {
		if !a.alive || a.superseded {
			continue
		}
		result := n.hosts[a.host].Announce(n.now, proto.CloneOf(a.record), membership.Direct)
		a.superseded = result == membership.Superseded
		if result.Accepted() {
			n.lastSeen[a.host][a.record.GetNumber()] = n.now
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
			n.send(envelope{from: from, to: to, generation: n.generations[from], sync: m})
		}
	}
}

func (n *network) send(e envelope) {
	if !n.cut[e.from][e.to] {
		n.queue = append(n.queue, e)
	}
}

// deliver delivers the message at an index of the queue.
func (n *network) deliver(i int) {
	e := n.queue[i]
	n.queue = slices.Delete(n.queue, i, i+1)
	if e.reply == nil {
		reply := n.hosts[e.to].ApplySync(n.now, sourceOf(e.from), proto.CloneOf(e.sync))
		n.send(envelope{from: e.to, to: e.from, generation: e.generation, reply: reply})
		return
	}
	// The reply is for an earlier run of the host.
	if len(e.reply.GetDigests()) == 0 || e.generation != n.generations[e.to] {
		return
	}
	m, cursor := n.hosts[e.to].Repair(n.now, n.cursors[e.to][e.from], e.reply.GetDigests())
	n.cursors[e.to][e.from] = cursor
	n.send(envelope{from: e.to, to: e.from, generation: e.generation, sync: m})
}

// injectFault draws one fault or change.
func (n *network) injectFault() {
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

// checkInvariants checks what holds at any time.
func (n *network) checkInvariants() {
	for i, d := range n.hosts {
		m, _ := d.Sync(n.now, 0)
		for _, r := range m.GetRecords() {
			if n.now-n.lastSeen[i][r.GetNumber()] > lease+tick {
				n.t.Fatalf("host %d claims target %d, last seen %v ago", i, r.GetNumber(), n.now-n.lastSeen[i][r.GetNumber()])
			}
		}
		holds := slices.ContainsFunc(d.Full(n.now, nil).GetPut(), func(r *controlpb.TargetRecord) bool { return r.GetNumber() == steadyAgent })
		if n.knewSteady[i] && !holds {
			n.t.Fatalf("host %d has removed a target with a valid lease", i)
		}
		n.knewSteady[i] = holds
	}
}

// step advances the time, with one fault or change and some of the messages.
func (n *network) step() {
	n.now += tick
	n.announceAll()
	if rapid.Bool().Draw(n.t, "sends") {
		n.sendAll()
	}
	n.injectFault()
	for range rapid.IntRange(0, len(n.queue)).Draw(n.t, "deliveries") {
		if len(n.queue) > 0 {
			n.deliver(rapid.IntRange(0, len(n.queue)-1).Draw(n.t, "next"))
		}
	}
	for _, d := range n.hosts {
		d.Expire(n.now)
	}
	n.checkInvariants()
}

// converge delivers everything in order until the hosts have had time to agree. It calls
// after, if set, after each round.
func (n *network) converge(after func()) {
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
		n.checkInvariants()
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

func snapshot(d *membership.Directory, now time.Duration) []string {
	var out []string
	for _, r := range d.Full(now, nil).GetPut() {
		out = append(out, fmt.Sprint(r.GetNumber(), r.GetIncarnation(), r.GetSequence()))
	}
	return out
}

// After any restarts, partitions, moves and crashes of agents, and lost, duplicated and
// reordered messages, all hosts have exactly the targets of the running agents.
func TestDirectoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, agents)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n.step()
		}
		n.converge(nil)
		want := n.want()
		for i, d := range n.hosts {
			if got := snapshot(d, n.now); !slices.Equal(got, want) {
				t.Fatalf("host %d has %v, want %v", i, got, want)
			}
		}
	})
}
