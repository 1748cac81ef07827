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

// errLossy tells that too many datagrams did not arrive.
var errLossy = errors.New("datagrams were lost")

// sinkBuffer takes up what arrives while the counting reader waits for its
// turn, in bytes.
const sinkBuffer = 4 << 20

// entry is an entry host of a deployment.
type entry struct {
	*process
	creds *keys.Credentials
}

// measureEntry measures an entry host: what targets, addresses and versions
// cost it, and that a flow leaves nothing behind.
func measureEntry(ctx context.Context, l *lab, r *Report) error {
	d, err := l.deploy(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.put(ctx, servicesOf(announcedServices, announcedServices)...); err != nil {
		return err
	}
	h, err := d.newHerd(ctx, 2*membership.DefaultLease/3)
	if err != nil {
		return err
	}
	e, err := d.startEntry(ctx)
	if err != nil {
		return err
	}
	for _, step := range []func() error{
		func() error { return e.measureTargets(ctx, d, h, r) },
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
	p, err := d.lab.launch(ctx, "entry", "entry", &settingspb.EntrySettings{
		Host:    &settingspb.Host{Name: "entry", FailureDomain: "entry"},
		Keys:    section,
		Control: &settingspb.ControlPeers{Addresses: d.links()},
		Forwarding: &settingspb.Forwarding{
			PublicIp: loopback, FreePorts: true, FrameListen: freePort, AgentNetworks: []string{loopbackNet},
		},
	})
	return &entry{process: p, creds: creds}, err
}

// rest returns the private memory and the load of a process that nothing is
// asked of.
func (p *process) rest(ctx context.Context) (private, core float64, err error) {
	if err := sleep.For(ctx, settle); err != nil {
		return 0, 0, err
	}
	before, err := p.usage()
	if err != nil {
		return 0, 0, err
	}
	if err := sleep.For(ctx, window); err != nil {
		return 0, 0, err
	}
	after, err := p.usage()
	return after.private, load(before, after, window), err
}

// atRest returns the private memory and the load of a process at rest at each of
// the sizes, which reach brings about.
func (p *process) atRest(ctx context.Context, sizes []int, reach func(n int) error) (memory, cpu []Point, err error) {
	for _, n := range sizes {
		if err := reach(n); err != nil {
			return nil, nil, err
		}
		private, core, err := p.rest(ctx)
		if err != nil {
			return nil, nil, err
		}
		memory = append(memory, Point{Size: float64(n), Value: private})
		cpu = append(cpu, Point{Size: float64(n), Value: core})
	}
	return memory, cpu, nil
}

func (e *entry) measureTargets(ctx context.Context, d *deployment, h *herd, r *Report) error {
	memory, cpu, err := e.atRest(ctx, []int{1500, 3000, 6000, 12_000}, func(n int) error {
		h.grow(n)
		return d.awaitTargets(ctx, n)
	})
	if err != nil {
		return err
	}
	return r.addSlopes(
		&series{name: "entry.target.memory", unit: Bytes, per: "target", count: DesignSize.Targets, at: memory},
		&series{name: "entry.target.cpu", unit: MicroCore, per: "target", count: DesignSize.Targets, at: cpu})
}

func (e *entry) measureAddresses(ctx context.Context, d *deployment, r *Report) error {
	memory, cpu, err := e.atRest(ctx, []int{700, 1400, 2800, 5500}, func(n int) error {
		return d.putInForce(ctx, servicesOf(announcedServices, n)...)
	})
	if err != nil {
		return err
	}
	return r.addSlopes(
		&series{name: "entry.address.memory", unit: Bytes, per: "address", count: DesignSize.Addresses, at: memory},
		&series{name: "entry.address.cpu", unit: MicroCore, per: "address", count: DesignSize.Addresses, at: cpu})
}

// measureVersions counts the time that versions take to apply at full size,
// less what the host spends at rest.
func (e *entry) measureVersions(ctx context.Context, d *deployment, r *Report) error {
	cpu := &series{name: "entry.version.cpu", unit: Microseconds, per: "version", count: DesignSize.ChangesPerSecond()}
	memory := &series{name: "entry.version.memory", unit: Bytes, per: "version", count: 1}
	_, rest, err := e.rest(ctx)
	if err != nil {
		return err
	}
	total := 0
	for _, n := range []int{5, 10, 20, 40} {
		before, err := e.usage()
		if err != nil {
			return err
		}
		began := time.Now()
		for range n {
			if err := d.change(ctx); err != nil {
				return err
			}
			if err := d.awaitInForce(ctx); err != nil {
				return err
			}
		}
		took := time.Since(began)
		after, err := e.usage()
		if err != nil {
			return err
		}
		total += n
		cpu.add(float64(n), micros(after.cpu-before.cpu)-rest*took.Seconds())
		memory.add(float64(total), after.private)
	}
	return r.addSlopes(cpu, memory)
}

// measureFlows sends one datagram of each of many established flows.
func (e *entry) measureFlows(ctx context.Context, r *Report) error {
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return errors.Wrap(err, "sink")
	}
	if err := sink.SetReadBuffer(sinkBuffer); err != nil {
		return errors.Wrap(err, "sink")
	}
	// Closed before the reader is waited for.
	var reader conc.WaitGroup
	defer reader.Wait()
	defer sink.Close()
	f, err := e.newFlood(sink)
	if err != nil {
		return err
	}
	defer f.conn.Close()
	reader.Go(func() { f.count(sink) })
	memory := &series{name: "entry.flow.memory", unit: Bytes, per: "flow", count: DesignSize.FlowsPerEntry()}
	cpu := &series{name: "entry.datagram.cpu", unit: Microseconds, per: "datagram", count: 1}
	flows := uint32(0)
	for _, n := range []uint32{10_000, 20_000, 40_000, 80_000} {
		before, err := e.usage()
		if err != nil {
			return err
		}
		if err := f.send(ctx, flows, flows+n); err != nil {
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

// flood sends datagrams of established flows to a public address and counts
// those that reach the target.
type flood struct {
	conn    *net.UDPConn
	codec   *connid.Codec
	target  connid.Target
	arrived atomic.Uint32
	// lost is how many of the present run have not arrived.
	lost uint32
}

// count counts what arrives until the socket is closed.
func (f *flood) count(sink *net.UDPConn) {
	buf := make([]byte, 1<<12)
	for {
		if _, _, err := sink.ReadFromUDPAddrPort(buf); err != nil {
			return
		}
		f.arrived.Add(1)
	}
}

func (e *entry) newFlood(sink *net.UDPConn) (*flood, error) {
	public, ok := e.ready["public"].(map[string]any)
	if !ok {
		return nil, errors.New("entry host names no public address")
	}
	address, err := netip.ParseAddrPort(fmt.Sprint(public[service(0, 1).GetAddresses()[0]]))
	if err != nil {
		return nil, errors.Wrap(err, "public address")
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
		return nil, errors.Wrap(err, "caller")
	}
	to := sink.LocalAddr().(*net.UDPAddr).AddrPort()
	target := connid.Target{Address: netip.AddrPortFrom(to.Addr().Unmap(), to.Port()), Number: 1, Incarnation: 1}
	return &flood{conn: conn, codec: codec, target: target}, nil
}

// send sends one datagram of 1,200 bytes for each flow, a few ahead of those
// that have arrived. Datagrams may get lost on a busy machine, but not many.
func (f *flood) send(ctx context.Context, from, to uint32) error {
	const ahead, length, lossShare = 64, 1200, 20
	base := f.arrived.Load()
	packet := make([]byte, length)
	packet[0] = 0x40
	for i := from; i < to; i++ {
		id := f.codec.Encode(f.target, i, 0)
		copy(packet[1:], id[:])
		if _, err := f.conn.Write(packet); err != nil {
			return errors.Wrap(err, "send")
		}
		sent := i - from + 1
		if sent%ahead != 0 && i != to-1 {
			continue
		}
		if err := f.await(ctx, base+sent-f.lost); err != nil {
			return err
		}
		f.lost = base + sent - f.arrived.Load()
	}
	if f.lost > (to-from)/lossShare {
		return errors.Wrapf(errLossy, "%d of %d", f.lost, to-from)
	}
	f.lost = 0
	return nil
}

// await waits until so many have arrived, or none has for a while.
func (f *flood) await(ctx context.Context, count uint32) error {
	const poll, stalled = 100 * time.Microsecond, 50 * time.Millisecond
	seen, since := f.arrived.Load(), time.Now()
	for seen < count && time.Since(since) < stalled {
		if err := sleep.For(ctx, poll); err != nil {
			return err
		}
		if now := f.arrived.Load(); now != seen {
			seen, since = now, time.Now()
		}
	}
	return nil
}
