package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// service is a service with its number of targets at the start.
type service struct {
	name    string
	targets int
}

// site has the figures of a site's sheet that go into the settings.
type site struct {
	name, region string
	// zones are the zones. Each has a machine with a disk, which runs a control and an entry
	// role, and one without, which runs an entry role. Requesters are in the first.
	zones []string
	// heartbeat is the time between two status reports, heartbeat_ms.
	heartbeat time.Duration
	// born: the status reports of its targets have the field of that name.
	born bool
	// bounds are written to the settings as they are.
	stableWindow, drain time.Duration
	configApply         time.Duration
	bounds              string
}

// deployment is a running deployment.
type deployment struct {
	site   site
	record *record
	dir    string
	// first is the base port: those of the interfaces, then the internal ones.
	first uint16
	ips   []netip.Addr
	// core are the machines with a disk.
	core     []netip.Addr
	fronts   []*process
	agents   map[netip.Addr]*process
	targets  []*target
	router   *router
	machines int
	// started: the first start of the whole system is over.
	started bool
}

// Offsets of the ports from the first one.
const (
	portPackets = iota
	portOutbound
	portReady
	portControl
	portApp
	portInternal
	internalPorts = 16
)

func (d *deployment) port(offset int) uint16 { return d.first + uint16(offset) }

func (d *deployment) address(ip netip.Addr, offset int) string {
	return netip.AddrPortFrom(ip, d.port(offset)).String()
}

// freeAddresses returns loopback addresses and a range of ports that are free on them.
func freeAddresses(count int) ([]netip.Addr, uint16, error) {
	for range 50 {
		a, b := byte(1+rand.IntN(250)), byte(rand.IntN(250))
		var ips []netip.Addr
		for i := range count {
			ips = append(ips, netip.AddrFrom4([4]byte{127, a, b, byte(10 + i)}))
		}
		first := uint16(21000 + 32*rand.IntN(200))
		if allFree(ips, first) {
			return ips, first, nil
		}
	}
	return nil, 0, errors.New("no free addresses on loopback")
}

func allFree(ips []netip.Addr, first uint16) bool {
	for _, ip := range ips {
		for offset := range portInternal + internalPorts {
			at := netip.AddrPortFrom(ip, first+uint16(offset))
			udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
			if err != nil {
				return false
			}
			_ = udp.Close()
			tcp, err := net.Listen("tcp4", at.String())
			if err != nil {
				return false
			}
			_ = tcp.Close()
		}
	}
	return true
}

// maxSeeds is the number of control addresses that the settings name.
const maxSeeds = 3

// maxMachines bounds the machines of a deployment, requesters included.
const maxMachines = 20

// startDeployment starts all machines and targets. The result has to be stopped also after an
// error, unless it is nil.
func startDeployment(s site, services []service, r *record) (*deployment, error) {
	ips, first, err := freeAddresses(maxMachines)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "eelgrasswharf-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{site: s, record: r, dir: dir, first: first, ips: ips, agents: map[netip.Addr]*process{}}
	if err := d.startFronts(); err != nil {
		return d, err
	}
	for _, s := range services {
		for range s.targets {
			if _, err := d.addTarget(s.name, 0); err != nil {
				return d, err
			}
		}
	}
	d.started = true
	return d, nil
}

// startFronts starts the control and entry hosts.
func (d *deployment) startFronts() error {
	for range d.site.zones {
		d.core = append(d.core, d.nextIP())
	}
	var entries [][]netip.Addr
	for i, ip := range d.core {
		if err := d.startRole("control", ip, d.site.zones[i]); err != nil {
			return err
		}
		entries = append(entries, []netip.Addr{ip, d.nextIP()})
		for _, ip := range entries[i] {
			if err := d.startRole("entry", ip, d.site.zones[i]); err != nil {
				return err
			}
		}
	}
	d.router = newRouter(entries[0], d.port(portPackets), d.port(portReady))
	return nil
}

func (d *deployment) startRole(role string, ip netip.Addr, zone string) error {
	p, err := d.newProcess(role, ip, zone, "")
	if err != nil {
		return err
	}
	d.fronts = append(d.fronts, p)
	return p.start()
}

func (d *deployment) nextIP() netip.Addr {
	ip := d.ips[d.machines]
	d.machines++
	return ip
}

// addTarget starts a machine with an agent and, after a time, its target.
func (d *deployment) addTarget(service string, after time.Duration) (*target, error) {
	ip := d.nextIP()
	zone := d.site.zones[len(d.targets)%len(d.site.zones)]
	p, err := d.newProcess("agent", ip, zone, service)
	if err != nil {
		return nil, err
	}
	d.agents[ip] = p
	if err := p.start(); err != nil {
		return nil, err
	}
	time.Sleep(after)
	t := &target{
		record: d.record, service: service, zone: zone, id: fmt.Sprintf("i-%08x", rand.Uint32()),
		address:  netip.AddrPortFrom(ip, d.port(portApp)),
		outbound: net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, d.port(portOutbound))),
		control:  "http://" + d.address(ip, portControl),
		work:     30 * time.Millisecond, withBorn: d.site.born,
	}
	if err := startTarget(t); err != nil {
		return nil, err
	}
	d.targets = append(d.targets, t)
	t.reportLoop(d.site.heartbeat)
	return t, nil
}

// agentOf returns the process beside a target.
func (d *deployment) agentOf(t *target) *process { return d.agents[t.address.Addr()] }

// targetOf returns a target by its id, nil if there is none.
func (d *deployment) targetOf(id string) *target {
	for _, t := range d.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (d *deployment) newProcess(role string, ip netip.Addr, zone, service string) (*process, error) {
	words, err := commandOf(role)
	if err != nil {
		return nil, err
	}
	name := role + "-" + ip.String()
	p := &process{
		record: d.record, name: name, words: words,
		settings: filepath.Join(d.dir, name+".toml"), log: filepath.Join(d.dir, name+".log"),
	}
	return p, os.WriteFile(p.settings, []byte(d.settings(role, ip, zone, service)), 0o600)
}

// settings returns the settings of a process.
func (d *deployment) settings(role string, ip netip.Addr, zone, service string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, serves, listens := "frontend", "frontend", map[string]int{"datagram_addr": portPackets, "ready": portReady}
	switch role {
	case "control":
		serves, listens = "control_plane", map[string]int{"control": portControl}
	case "agent":
		class, serves = "side", "side"
		listens = map[string]int{"datagram_addr": portPackets, "outbound": portOutbound, "ready": portReady, "control": portControl}
	}
	line("node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]", class+"-"+ip.String(), role, class, serves)
	line("ip = %q\nzone = %q\nregion = %q", ip, zone, d.site.region)
	line("internal_ports = [%d,%d]", d.port(portInternal), d.port(portInternal+internalPorts-1))
	var seeds []string
	for _, front := range d.core[:maxSeeds] {
		seeds = append(seeds, fmt.Sprintf("%q", d.address(front, portControl)))
	}
	line("seeds = [%s]", strings.Join(seeds, ","))
	line("bootstrap = %t\nloss_counts = %t", !d.started, class == "frontend")
	if role == "control" {
		line("data_dir = %q", filepath.Join(d.dir, "disk-"+ip.String()))
	}
	line("discovery = \"local\"\nentry = \"announcement\"\nheartbeat_ms = %d", d.site.heartbeat.Milliseconds())
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\"]")
	line("config_mode = \"highest\"\nhash = \"steady\"\ndeployment_mode = \"agent\"")
	if role == "agent" {
		line("app = %q\nservice = %q", d.address(ip, portApp), service)
	}
	line("[zones]")
	for _, zone := range d.site.zones {
		line("%s = %q", zone, d.site.region)
	}
	line("[listen_addrs]")
	for name, offset := range listens {
		line("%s = %q", name, d.address(ip, offset))
	}
	line("[limits]\ncpu_share = 0.72\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 64")
	line("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n%s", d.site.bounds)
	return b.String()
}

// stop ends all processes and targets.
func (d *deployment) stop() {
	if d.router != nil {
		d.router.close()
	}
	for _, t := range d.targets {
		select {
		case <-t.stop:
		default:
			t.exit()
		}
	}
	var all sync.WaitGroup
	processes := append([]*process{}, d.fronts...)
	for _, p := range d.agents {
		processes = append(processes, p)
	}
	for _, p := range processes {
		all.Go(p.terminate)
	}
	all.Wait()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
