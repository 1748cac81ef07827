package controld_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

const (
	fleetAgents   = 600
	fleetEntries  = 100
	fleetServices = 100
	// idleTime is the duration of the measurement without changes.
	idleTime = 15 * time.Second
)

// clientFleet has the clients of all processes in a failure domain.
type clientFleet struct {
	scope      tally.TestScope
	clients    []*link.Client
	announcers []*subscriber.Announcer
	agents     []*subscriber.Subscriber
	entries    []*subscriber.Subscriber
}

func (f *clientFleet) close() {
	for _, a := range f.announcers {
		a.Close()
	}
	for _, s := range append(f.agents, f.entries...) {
		s.Close()
	}
	for _, c := range f.clients {
		c.Close()
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i%fleetServices) }

// startFleet starts all processes at once.
func (d *deployment) startFleet(creds []*keys.Credentials, addrs []string) *clientFleet {
	f := &clientFleet{scope: tally.NewTestScope("", nil)}
	for i, c := range creds {
		client := link.NewClient(addrs, c, link.ClientOptions{Scope: f.scope})
		f.clients = append(f.clients, client)
		if i >= fleetAgents {
			f.entries = append(f.entries, subscriber.Start(subscriber.Options{Client: client, Scope: f.scope}))
			continue
		}
		f.announcers = append(f.announcers, subscriber.StartAnnouncer(subscriber.AnnouncerOptions{
			Client: client, Scope: f.scope, Service: serviceName(i), Target: fmt.Sprintf("target-%04d", i),
			Process: fmt.Appendf(nil, "%016d", time.Now().UnixNano()+int64(i)), FailureDomain: "bodija",
			Address: fmt.Sprintf("127.0.0.1:%d", 10000+i), Started: time.Now(),
			Status: subscriber.Status{State: controlpb.TargetState_TARGET_STATE_SERVING, Slots: 4},
		}))
		f.agents = append(f.agents, subscriber.Start(subscriber.Options{
			Client: client, Scope: f.scope, Services: []uint32{uint32(i%fleetServices) + 1}, ScopedConfig: true,
		}))
	}
	return f
}

// ready returns the number of processes that have received everything they need.
func (f *clientFleet) ready() int {
	count := 0
	for i, s := range f.agents {
		if len(s.View().Targets) == fleetAgents/fleetServices && s.View().Config != nil && f.announcers[i].Registration() != nil {
			count++
		}
	}
	for _, s := range f.entries {
		if len(s.View().Targets) == fleetAgents && s.View().Config != nil {
			count++
		}
	}
	return count
}

func (f *clientFleet) haveVersion(version uint64) bool {
	for _, s := range append(append([]*subscriber.Subscriber{}, f.agents...), f.entries...) {
		if s.View().Config.GetVersion() < version {
			return false
		}
	}
	return true
}

// usage is the resource usage up to a point in time.
type usage struct {
	at  time.Time
	cpu time.Duration
	// sent and received are the maxima of all hosts, all is their total.
	sent, received, all uint64
}

func (d *deployment) usage() usage {
	u := usage{at: time.Now()}
	for _, h := range d.hosts {
		t := h.daemon.Traffic()
		u.sent, u.received = max(u.sent, t.BytesSent), max(u.received, t.BytesReceived)
		u.all += t.BytesSent + t.BytesReceived
	}
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return u
}

// report prints the usage since a point in time. The processor time covers both ends of all
// links.
func (u usage) report(what string, since usage) {
	fmt.Printf("%s: %.2f s, busiest host sent %d and received %d bytes, all hosts %d, processor time %.2f s\n",
		what, u.at.Sub(since.at).Seconds(), u.sent-since.sent, u.received-since.received, u.all-since.all, (u.cpu - since.cpu).Seconds())
}

// waitFor is eventually with a longer timeout.
func waitFor(b *testing.B, what string, condition func() bool) {
	b.Helper()
	for end := time.Now().Add(5 * time.Minute); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// BenchmarkFailureDomainReconnect connects all processes of a failure domain at once, before
// and after their registration, and prints the cost, also of idle links and of a change.
func BenchmarkFailureDomainReconnect(b *testing.B) {
	d := newDeployment(b, "c1", "c2", "c3")
	d.startAll("c1", "c2", "c3")
	var ops []*configpb.Operation
	for i := range fleetServices {
		ops = append(ops, put(serviceName(i), fmt.Sprintf("192.0.2.%d:443", i+1)))
	}
	d.accept(d.operator("c1"), patch("p0", 0, ops...))
	var creds []*keys.Credentials
	for i := range fleetAgents {
		creds = append(creds, d.keys.Credentials(keys.RoleAgent, fmt.Sprint("a", i), serviceName(i)))
	}
	for i := range fleetEntries {
		creds = append(creds, d.keys.Credentials(keys.RoleEntry, fmt.Sprint("e", i), ""))
	}
	var addrs []string
	for _, h := range d.hosts {
		addrs = append(addrs, h.daemon.LinkAddr())
	}
	for _, round := range []string{"first connect", "second connect"} {
		start := d.usage()
		f := d.startFleet(creds, addrs)
		waitFor(b, "all clients to be ready", func() bool { return f.ready() == len(creds) })
		d.usage().report(round, start)
		printCounters(f.scope)
		for _, h := range d.hosts {
			printCounters(h.scope)
		}
		if round == "second connect" {
			d.measureIdle(b, f)
		}
		f.close()
	}
}

func printCounters(s tally.TestScope) {
	for _, c := range s.Snapshot().Counters() {
		if c.Value() > 0 {
			fmt.Printf("  %s %v: %d\n", c.Name(), c.Tags(), c.Value())
		}
	}
}

// measureIdle prints the cost of the connected fleet while nothing and while one service
// changes.
func (d *deployment) measureIdle(b *testing.B, f *clientFleet) {
	b.Helper()
	time.Sleep(idleTime)
	idle := d.usage()
	time.Sleep(idleTime)
	d.usage().report("idle", idle)
	for v := uint64(1); v <= 3; v++ {
		change := d.usage()
		d.accept(d.operator("c1"), patch(fmt.Sprint("q", v), v, put(serviceName(0), fmt.Sprintf("192.0.2.%d:443", 200+v))))
		waitFor(b, "the version everywhere", func() bool { return f.haveVersion(v + 1) })
		d.usage().report("change of one service", change)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	fmt.Printf("memory from the system, both ends: %d MB\n", m.Sys>>20)
}
