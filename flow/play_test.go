package flow_test

import (
	eventheap "container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// The play runs entry hosts and agents of this package with callers and targets that are
// played, on a clock of its own and with seeded chance. Callers send copies of openings and
// retry as callers of the deployments do.
const (
	playHop       = 500 * time.Microsecond // one way between two hosts
	playObjective = 300 * millisecond
	playSlots     = 2
	// playQueue is the number of requests that a target queues beyond its slots.
	playQueue = 8
	// Attempts of a caller and its copies of an opening.
	playAttempts       = 3
	playAttemptTimeout = 1400 * millisecond
	playFirst          = 5000
)

type playEvent struct {
	at    time.Duration
	order int
	run   func()
}

type playEvents []playEvent

func (e playEvents) Len() int { return len(e) }
func (e playEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e playEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)   { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// play is one run.
type play struct {
	random *rand.Rand
	now    time.Duration
	order  int
	events playEvents
	hosts  []*playHost
	agents []*playAgent
	byAddr map[flow.Endpoint]*playAgent
	calls  map[flow.Key]*playCall
	nextID int
	// handOn lets agents hand openings on, requests and pause are those of a flow.
	handOn   bool
	requests int
	pause    time.Duration
	mean     time.Duration
	// stopAt ends the arrival of flows. countFrom is when requests begin to count.
	stopAt, countFrom time.Duration

	// Outcome.
	asked, good, late, failed int
	// handedOn counts the openings that were handed on, lost those that did not arrive.
	handedOn, openings, lost int
	// futile counts the openings that were handed on and then refused.
	futile int
	times  []time.Duration
}

type playHost struct {
	*play
	entry *flow.Entry
	addr  flow.Endpoint
	// loads has the last report of each agent, list the agents that it knows.
	loads map[flow.Endpoint]playReport
	list  []flow.Endpoint
}

type playReport struct {
	load   uint16
	closed bool
	at     time.Duration
	placed int
}

// playCall is one request of a caller, or a flow of several.
type playCall struct {
	begun    time.Duration
	attempt  int
	left     int
	next     uint32
	opened   bool
	askedAt  time.Duration
	firstAsk bool
	host     *playHost
}

func newPlay(seed uint64, hosts int, speeds []float64, targets int) *play {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 5)), byAddr: map[flow.Endpoint]*playAgent{},
		calls: map[flow.Key]*playCall{}, handOn: true, requests: 1, mean: 33 * millisecond,
	}
	list := agents(targets)
	for i, addr := range list {
		speed := speeds[i%len(speeds)]
		a := &playAgent{
			play: p, index: i, addr: addr, agent: flow.NewAgent(0), waiting: map[flow.Key]flow.Packet{},
			reported: map[flow.Endpoint]time.Duration{}, speed: func(time.Duration) float64 { return speed },
		}
		a.agent.MarkComplete(0)
		a.agent.SetClasses(flow.Classes{public: stated})
		a.serve(flow.Serving, false)
		p.agents = append(p.agents, a)
		p.byAddr[addr] = a
	}
	for i := range hosts {
		p.addHost(i, list)
	}
	return p
}

func (p *play) addHost(i int, list []flow.Endpoint) *playHost {
	h := &playHost{play: p, addr: endpoint("10.9.0.1:7721"), loads: map[flow.Endpoint]playReport{}, list: list}
	h.addr.IP[2], h.addr.IP[3] = byte(i>>8), byte(i)
	h.entry = flow.NewEntry(h, h.addr)
	p.hosts = append(p.hosts, h)
	return h
}

func (p *play) after(d time.Duration, run func()) {
	p.order++
	eventheap.Push(&p.events, playEvent{at: p.now + d, order: p.order, run: run})
}

func (p *play) every(d time.Duration, run func()) {
	p.after(d, func() { run(); p.every(d, run) })
}

// setPeers gives all agents the list of those that take flows.
func (p *play) setPeers(open func(i int) bool) {
	list := agents(len(p.agents))
	for i, a := range p.agents {
		var peers []flow.Endpoint
		for j, addr := range list {
			if j != i && open(j) {
				peers = append(peers, addr)
			}
		}
		if !p.handOn {
			peers = nil
		}
		a.agent.SetPeers(peers, list, a.addr)
	}
}

func (p *play) run(until time.Duration) {
	for len(p.events) > 0 && p.events[0].at <= until {
		e := eventheap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.run()
	}
	p.now = until
}

// start begins sweeps and flows that come at a share of what all slots can do.
func (p *play) start(load func(now time.Duration) float64) {
	p.setPeers(func(int) bool { return true })
	for i, a := range p.agents {
		p.after(time.Duration(i)*7*millisecond, func() {
			p.every(250*millisecond, func() {
				a.agent.Sweep(p.now, 20*time.Second, time.Minute)
				for _, r := range a.agent.DueRegistrations(p.now) {
					m, _, _ := flow.ParseFrame(a.agent.AppendRegister(nil, r.Keys))
					a.toPeer(r.To, m)
				}
			})
		})
		p.every(20*millisecond, a.admit)
	}
	speed := 0.0
	for _, a := range p.agents {
		speed += a.speed(0) * playSlots
	}
	var arrive func()
	arrive = func() {
		if p.now >= p.stopAt {
			return
		}
		p.begin(p.requests)
		perSecond := speed * load(p.now) / p.mean.Seconds() / float64(p.requests)
		p.after(time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	p.after(0, arrive)
}

func (p *play) counts() bool { return p.now >= p.countFrom && p.now < p.stopAt }

// begin starts the flow of a new caller.
func (p *play) begin(requests int) {
	c := &playCall{begun: p.now, left: requests, askedAt: p.now, firstAsk: p.counts()}
	if c.firstAsk {
		p.asked++
	}
	p.attempt(c)
}

func (p *play) attempt(c *playCall) {
	c.attempt++
	c.opened, c.next = false, opening+1
	p.nextID++
	id := p.nextID
	key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, byte(id >> 24), byte(id >> 16), byte(id >> 8)}, Port: uint16(1 + id&255)}, Public: public}
	p.calls[key] = c
	h := p.hosts[p.random.IntN(len(p.hosts))]
	c.host = h
	attempt := c.attempt
	for copies, at := range []time.Duration{0, 200 * millisecond, 600 * millisecond} {
		p.after(at, func() {
			if p.calls[key] == c && !c.opened {
				p.openings++
				h.packet(flow.Packet{Key: key, Flags: flow.SYN, Seq: opening, Ack: uint32(copies)})
			}
		})
	}
	p.after(playAttemptTimeout, func() {
		if p.calls[key] == c && !c.opened && c.attempt == attempt {
			p.fail(key)
		}
	})
}

// fail ends an attempt.
func (p *play) fail(key flow.Key) {
	c := p.calls[key]
	if c == nil {
		return
	}
	delete(p.calls, key)
	if c.attempt < playAttempts {
		p.after(time.Duration(50+p.random.IntN(50))*millisecond, func() { p.attempt(c) })
		return
	}
	if c.firstAsk {
		p.failed++
	}
}

// receive handles a packet of a target at its caller.
func (p *play) receive(q flow.Packet, notRun bool) {
	c := p.calls[q.Key]
	if c == nil {
		return
	}
	if q.Flags.Has(flow.SYN) {
		if c.opened {
			return
		}
		c.opened = true
		p.ask(c, q.Key, q.Seq)
		return
	}
	if q.Length == 0 {
		return
	}
	if notRun {
		p.fail(q.Key)
		return
	}
	if c.firstAsk {
		took := p.now - c.askedAt
		p.times = append(p.times, took)
		if took <= playObjective {
			p.good++
		} else {
			p.late++
		}
	}
	c.left--
	if c.left <= 0 {
		delete(p.calls, q.Key)
		return
	}
	p.after(time.Duration(p.random.ExpFloat64()*float64(p.pause)), func() {
		if p.calls[q.Key] != c {
			return
		}
		c.askedAt, c.firstAsk = p.now, p.counts()
		if c.firstAsk {
			p.asked++
		}
		p.ask(c, q.Key, q.Seq-1)
	})
}

// ask sends the next request of a flow. first is the target's initial sequence number in the
// first request, and about that later.
func (p *play) ask(c *playCall, key flow.Key, first uint32) {
	seq := c.next
	c.next += 100
	p.after(playHop, func() {
		c.host.packet(flow.Packet{Key: key, Flags: flow.ACK, Seq: seq, Ack: first + 1, Length: 100})
	})
}

func (h *playHost) packet(q flow.Packet) { h.apply(h.entry.Packet(q, h.now), q) }

func (h *playHost) apply(v flow.Verdict, q flow.Packet) {
	switch v.Action {
	case flow.Send:
		h.send(v.Frame, q, v.To)
	case flow.SendAll:
		for _, to := range slices.Clone(v.All) {
			h.send(v.Frame, q, to)
		}
	case flow.Reset:
		h.after(playHop, func() { h.fail(q.Key) })
	}
}

func (h *playHost) send(m flow.Frame, q flow.Packet, to flow.Endpoint) {
	h.after(playHop, func() {
		if a := h.byAddr[to]; a != nil && !a.dead {
			a.frame(m, q, h.addr)
		}
	})
}

func (h *playHost) report(m flow.Frame, from flow.Endpoint) {
	h.loads[from] = playReport{load: m.LoadPermille, closed: m.Draining || m.Unhealthy, at: h.now}
	h.entry.ObserveFrame(m, from)
}

// Place places a flow on the better of the two agents that rank highest, as routing does.
func (h *playHost) Place(key flow.Key, avoid flow.Endpoint, now time.Duration) (flow.Placement, flow.Reason) {
	var list []flow.Endpoint
	for _, agent := range flow.AppendPreferred(nil, key, h.list) {
		if r := h.loads[agent]; agent != avoid && !(r.closed && now-r.at < 5*time.Second) {
			list = append(list, agent)
		}
	}
	if len(list) == 0 {
		return flow.Placement{}, flow.ReasonNoTarget
	}
	best, other := list[0], flow.Endpoint{}
	if len(list) > 1 {
		other = list[1]
		if h.cost(other) < h.cost(best) {
			best, other = other, best
		}
	}
	r := h.loads[best]
	r.placed++
	h.loads[best] = r
	if !h.handOn {
		other = flow.Endpoint{}
	}
	return flow.Placement{Agent: best, Alternate: other, Service: lodgement}, flow.ReasonPlaced
}

func (h *playHost) cost(agent flow.Endpoint) int {
	r := h.loads[agent]
	load := 0
	if h.now-r.at <= time.Second {
		load = min(int(r.load), 4000)
	}
	return load + 2*r.placed
}

func (h *playHost) Holders(to []flow.Endpoint, _ flow.Endpoint, limit int) []flow.Endpoint {
	return append(to, h.list[:min(len(h.list), limit)]...)
}
func (h *playHost) HeldElsewhere(flow.Endpoint, []flow.Endpoint, []flow.ServiceDenial) bool {
	return true
}
func (h *playHost) Registrars(to []flow.Endpoint, key flow.Key) []flow.Endpoint {
	return flow.AppendRegistrars(to, key, h.list)
}
func (h *playHost) Preferred(to []flow.Endpoint, key flow.Key) []flow.Endpoint {
	return flow.AppendPreferred(to, key, h.list)
}
func (h *playHost) Coordinators(to []flow.Endpoint, key flow.Key, _ int) []flow.Endpoint {
	return flow.AppendRegistrars(to, key, h.list)
}
func (h *playHost) Ready() bool                                    { return true }
func (h *playHost) HasTarget(flow.Endpoint) (known, complete bool) { return true, false }

func (p *play) hostAt(addr flow.Endpoint) *playHost {
	for _, h := range p.hosts {
		if h.addr == addr {
			return h
		}
	}
	return nil
}
