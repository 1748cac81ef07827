package capacity

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// errDatagramsLost reports that too many datagrams did not arrive.
var errDatagramsLost = errors.New("datagrams were lost")

// sinkBuffer is the receive buffer of the sink in bytes, for datagrams that
// arrive while its reader is not scheduled.
const sinkBuffer = 4 << 20

// entry is an entry host of a deployment.
type entry struct {
	*process
	creds *keys.Credentials
}

// measureEntry measures the cost of targets, addresses, versions and datagrams
// for an entry host, and that flows take no memory.
func measureEntry(ctx context.Context, tb *testbed, r *Report) error {
	d, err := tb.deploy(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.putServices(ctx, newServices(announcedServices, announcedServices)...); err != nil {
		return err
	}
	ap, err := d.newAnnouncerPool(ctx, 2*membership.DefaultLease/3)
	if err != nil {
		return err
	}
	e, err := d.startEntry(ctx)
	if err != nil {
		return err
	}
	for _, step := range []func() error{
		func() error { return e.measureTargets(ctx, d, ap, r) },
		func() error { return e.measureAddresses(ctx, d, r) },
		func() error { return e.measureVersions(ctx, d, r) },
		func() error { return e.measureFlows(ctx, r) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startEntry(ctx context.Context) (*entry, error) {
	section, err := d.keySection(keys.RoleEntry, "entry", "")
	if err != nil {
		return nil, err
	}
	creds, err := keys.FromSettings(section)
	if err != nil {
		return nil, err
	}
	p, err := d.testbed.launch(ctx, "entry", "entry", &settingspb.EntrySettings{
		Host:    &settingspb.Host{Name: "entry", FailureDomain: "entry"},
		Keys:    section,
		Control: &settingspb.ControlPeers{Addresses: d.links()},
		Forwarding: &settingspb.Forwarding{
			PublicIp: loopback, FreePorts: true, FrameListen: freePort, AgentNetworks: []string{loopbackNet},
		},
	})
	return &entry{process: p, creds: creds}, err
}

// idle returns the private memory and the load of an idle process.
func (p *process) idle(ctx context.Context) (private, core float64, err error) {
	if err := sleep.For(ctx, settleTime); err != nil {
		return 0, 0, err
	}
	before, err := p.usage()
	if err != nil {
		return 0, 0, err
	}
	if err := sleep.For(ctx, measureWindow); err != nil {
		return 0, 0, err
	}
	after, err := p.usage()
	return after.private, cpuLoad(before, after, measureWindow), err
}

// measureIdle calls reach for each size and returns the private memory and the
// load of the process when idle.
func (p *process) measureIdle(ctx context.Context, sizes []int, reach func(n int) error) (memory, cpu []Point, err error) {
	for _, n := range sizes {
		if err := reach(n); err != nil {
			return nil, nil, err
		}
		private, core, err := p.idle(ctx)
		if err != nil {
			return nil, nil, err
		}
		memory = append(memory, Point{Size: float64(n), Value: private})
		cpu = append(cpu, Point{Size: float64(n), Value: core})
	}
	return memory, cpu, nil
}

func (e *entry) measureTargets(ctx context.Context, d *deployment, ap *announcerPool, r *Report) error {
	memory, cpu, err := e.measureIdle(ctx, []int{1500, 3000, 6000, 12_000}, func(n int) error {
		ap.growTo(n)
		return d.awaitTargets(ctx, n)
	})
	if err != nil {
		return err
	}
	return r.addSlopes(
		&series{name: "entry.target.memory", unit: Bytes, per: "target", count: DesignSize.Targets, points: memory},
		&series{name: "entry.target.cpu", unit: MicroCore, per: "target", count: DesignSize.Targets, points: cpu})
}

func (e *entry) measureAddresses(ctx context.Context, d *deployment, r *Report) error {
	memory, cpu, err := e.measureIdle(ctx, []int{700, 1400, 2800, 5500}, func(n int) error {
		return d.putAndActivate(ctx, newServices(announcedServices, n)...)
	})
	if err != nil {
		return err
	}
	return r.addSlopes(
		&series{name: "entry.address.memory", unit: Bytes, per: "address", count: DesignSize.Addresses, points: memory},
		&series{name: "entry.address.cpu", unit: MicroCore, per: "address", count: DesignSize.Addresses, points: cpu})
}

// measureVersions measures the processor time to apply a version at full size,
// without the idle load.
func (e *entry) measureVersions(ctx context.Context, d *deployment, r *Report) error {
	cpu := &series{name: "entry.version.cpu", unit: Microseconds, per: "version", count: DesignSize.ChangesPerSecond()}
	memory := &series{name: "entry.version.memory", unit: Bytes, per: "version", count: 1}
	_, idle, err := e.idle(ctx)
	if err != nil {
		return err
	}
	total := 0
	for _, n := range []int{5, 10, 20, 40} {
		before, err := e.usage()
		if err != nil {
			return err
		}
		start := time.Now()
		for range n {
			if err := d.changeService(ctx); err != nil {
				return err
			}
			if err := d.awaitActive(ctx); err != nil {
				return err
			}
		}
		elapsed := time.Since(start)
		after, err := e.usage()
		if err != nil {
			return err
		}
		total += n
		cpu.add(float64(n), micros(after.cpu-before.cpu)-idle*elapsed.Seconds())
		memory.add(float64(total), after.private)
	}
	return r.addSlopes(cpu, memory)
}

// measureFlows sends one datagram of each of many established flows.
func (e *entry) measureFlows(ctx context.Context, r *Report) error {
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return errors.Wrap(err, "open sink socket")
	}
	if err := sink.SetReadBuffer(sinkBuffer); err != nil {
		return errors.Wrap(err, "open sink socket")
	}
	// The sink must be closed before waiting for the reader.
	var reader conc.WaitGroup
	defer reader.Wait()
	defer sink.Close()
	ds, err := e.newDatagramSender(sink)
	if err != nil {
		return err
	}
	defer ds.conn.Close()
	reader.Go(func() { ds.count(sink) })
	memory := &series{name: "entry.flow.memory", unit: Bytes, per: "flow", count: DesignSize.FlowsPerEntry()}
	cpu := &series{name: "entry.datagram.cpu", unit: Microseconds, per: "datagram", count: 1}
	flows := uint32(0)
	for _, n := range []uint32{10_000, 20_000, 40_000, 80_000} {
		before, err := e.usage()
		if err != nil {
			return err
		}
		if err := ds.send(ctx, flows, flows+n); err != nil {
			return err
		}
		after, err := e.usage()
		if err != nil {
			return err
		}
		flows += n
		cpu.add(float64(n), micros(after.cpu-before.cpu))
		memory.add(float64(flows), after.private)
	}
	return r.addSlopes(memory, cpu)
}

// datagramSender sends datagrams of established flows to a public address and
// counts those that reach the target.
type datagramSender struct {
	conn    *net.UDPConn
	codec   *connid.Codec
	target  connid.Target
	arrived atomic.Uint32
	// lost counts the datagrams of the current send that did not arrive.
	lost uint32
}

// count counts received datagrams until the socket is closed.
func (ds *datagramSender) count(sink *net.UDPConn) {
	buf := make([]byte, 1<<12)
	for {
		if _, _, err := sink.ReadFromUDPAddrPort(buf); err != nil {
			return
		}
		ds.arrived.Add(1)
	}
}

func (e *entry) newDatagramSender(sink *net.UDPConn) (*datagramSender, error) {
	public, ok := e.ready["public"].(map[string]any)
	if !ok {
		return nil, errors.New("entry host logs no public address")
	}
	address, err := netip.ParseAddrPort(fmt.Sprint(public[newService(0, 1).GetAddresses()[0]]))
	if err != nil {
		return nil, errors.Wrap(err, "parse public address")
	}
	var secrets []connid.Secret
	for _, s := range e.creds.DataSecrets() {
		secrets = append(secrets, connid.Secret(s))
	}
	codec, err := connid.NewCodec(secrets)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "open caller socket")
	}
	sinkAddr := sink.LocalAddr().(*net.UDPAddr).AddrPort()
	target := connid.Target{Address: netip.AddrPortFrom(sinkAddr.Addr().Unmap(), sinkAddr.Port()), Number: 1, Incarnation: 1}
	return &datagramSender{conn: conn, codec: codec, target: target}, nil
}

// send sends one datagram of 1,200 bytes for each flow, with a limit on those in
// flight. It tolerates a small share of lost datagrams.
func (ds *datagramSender) send(ctx context.Context, from, to uint32) error {
	const maxInFlight, packetLength, maxLossFraction = 64, 1200, 20
	base := ds.arrived.Load()
	packet := make([]byte, packetLength)
	packet[0] = 0x40
	for i := from; i < to; i++ {
		id := ds.codec.Encode(ds.target, i, 0)
		copy(packet[1:], id[:])
		if _, err := ds.conn.Write(packet); err != nil {
			return errors.Wrap(err, "send datagram")
		}
		sent := i - from + 1
		if sent%maxInFlight != 0 && i != to-1 {
			continue
		}
		if err := ds.awaitArrivals(ctx, base+sent-ds.lost); err != nil {
			return err
		}
		ds.lost = base + sent - ds.arrived.Load()
	}
	if ds.lost > (to-from)/maxLossFraction {
		return errors.Wrapf(errDatagramsLost, "%d of %d", ds.lost, to-from)
	}
	ds.lost = 0
	return nil
}

// awaitArrivals waits until count datagrams have arrived, or none arrives for
// stallTimeout.
func (ds *datagramSender) awaitArrivals(ctx context.Context, count uint32) error {
	const poll, stallTimeout = 100 * time.Microsecond, 50 * time.Millisecond
	lastCount, lastArrival := ds.arrived.Load(), time.Now()
	for lastCount < count && time.Since(lastArrival) < stallTimeout {
		if err := sleep.For(ctx, poll); err != nil {
			return err
		}
		if now := ds.arrived.Load(); now != lastCount {
			lastCount, lastArrival = now, time.Now()
		}
	}
	return nil
}
