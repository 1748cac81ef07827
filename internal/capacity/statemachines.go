package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// responseBytes is the length of the body of a recorded response.
const responseBytes = 128

// measureStateMachines measures the live heap of the state machines and the sizes
// of messages, without daemons or sockets.
func measureStateMachines(_ context.Context, _ *testbed, r *Report) error {
	if err := measureDirectoryHeap(r); err != nil {
		return err
	}
	if err := measureConfigHeap(r); err != nil {
		return err
	}
	return measureGrantHeap(r)
}

// targetRecord returns the announced record of a target, with names of typical
// length.
func targetRecord(number, service int) *controlpb.TargetRecord {
	return &controlpb.TargetRecord{
		Service: uint32(service), Number: uint32(number), Incarnation: 1,
		Name: fmt.Sprintf("lodgement-%06d", number), FailureDomain: "oke-ado",
		Address: fmt.Sprintf("127.%d.%d.%d:7000", 1+number>>16, number>>8&0xff, number&0xff),
		State:   controlpb.TargetState_TARGET_STATE_SERVING,
		Slots:   slots, Sequence: 1, AgeMs: 3_600_000,
	}
}

func measureDirectoryHeap(r *Report) error {
	memory := &series{name: "directory.heap", unit: Bytes, per: "target", count: DesignSize.Targets}
	full := &series{name: "directory.full", unit: Bytes, per: "target", count: DesignSize.Targets}
	removed := &series{name: "directory.removed", unit: Bytes, per: "target removed", count: DesignSize.TargetsPerDomain()}
	put := &series{name: "directory.put", unit: Bytes, per: "target put", count: DesignSize.TargetsPerDomain()}
	for _, n := range []int{1500, 3000, 6000, 12_000} {
		before := liveHeap()
		d := membership.New(membership.Options{Epoch: 1})
		for i := range n {
			d.Announce(0, targetRecord(i+1, 1+i/12), membership.Direct)
		}
		memory.add(float64(n), liveHeap()-before)
		full.add(float64(n), float64(proto.Size(d.Full(time.Second, nil))))
		sequence := d.Sequence()
		changedCount := n / int(DesignSize.Domains)
		for i := range changedCount {
			changed := targetRecord(i+1, 1+i/12)
			changed.State, changed.Sequence = controlpb.TargetState_TARGET_STATE_DRAINING, 2
			d.Announce(time.Second, changed, membership.Direct)
		}
		put.add(float64(changedCount), float64(proto.Size(d.Update(time.Second, 1, sequence, nil))))
		for i := changedCount; i < n; i++ {
			d.Announce(membership.DefaultLease, targetRecord(i+1, 1+i/12), membership.Direct)
		}
		sequence = d.Sequence()
		expired := d.Expire(time.Second + membership.DefaultLease)
		removed.add(float64(expired), float64(proto.Size(d.Update(time.Minute, 1, sequence, nil))))
		runtime.KeepAlive(d)
	}
	return r.addSlopes(memory, full, put, removed)
}

func applyPatch(m *config.Machine, services ...*configpb.Service) error {
	version := m.Current().GetVersion()
	p := &configpb.Patch{Id: fmt.Sprint("patch-", version), BaseVersion: version}
	for _, s := range services {
		p.Operations = append(p.Operations, &configpb.Operation{Body: &configpb.Operation_PutService{PutService: s}})
	}
	data, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Patch{Patch: p}})
	if err != nil {
		return err
	}
	m.Apply(1, data)
	if m.Current().GetVersion() != version+1 {
		return errPatchRefused
	}
	return nil
}

func measureConfigHeap(r *Report) error {
	memory := &series{name: "config.heap", unit: Bytes, per: "address", count: DesignSize.Addresses}
	full := &series{name: "config.full", unit: Bytes, per: "address", count: DesignSize.Addresses}
	version := &series{name: "config.version.heap", unit: Bytes, per: "version kept", count: config.MaxHistory}
	cpu := &series{name: "config.version.cpu", unit: Microseconds, per: "version", count: DesignSize.ChangesPerSecond()}
	identity := &series{name: "config.identity.heap", unit: Bytes, per: "target registered", count: DesignSize.Targets}
	var m *config.Machine
	for _, addresses := range []int{700, 1400, 2800, 5500} {
		before := liveHeap()
		m = config.New()
		if err := applyPatch(m, newServices(addresses*designServices/designAddresses, addresses)...); err != nil {
			return err
		}
		memory.add(float64(addresses), liveHeap()-before)
		full.add(float64(addresses), float64(proto.Size(m.Current())))
	}
	emptyHeap, start := liveHeap(), time.Now()
	for i := range config.MaxHistory - 1 {
		s := newService(0, 1)
		s.Slots = slots + uint32(i%2)
		if err := applyPatch(m, s); err != nil {
			return err
		}
		if i%50 == 49 {
			cpu.add(float64(i+1), micros(time.Since(start)))
			pauseStart := time.Now()
			version.add(float64(i+1), liveHeap()-emptyHeap)
			start = start.Add(time.Since(pauseStart))
		}
	}
	before := liveHeap()
	for i := range int(DesignSize.Targets) {
		if err := registerTarget(m, i); err != nil {
			return err
		}
		if (i+1)%3000 == 0 {
			identity.add(float64(i+1), liveHeap()-before)
		}
	}
	runtime.KeepAlive(m)
	return r.addSlopes(memory, full, version, cpu, identity)
}

func registerTarget(m *config.Machine, i int) error {
	data, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Register{Register: &configpb.RegisterTarget{
		Service: serviceName(i % 100), Target: fmt.Sprintf("lodgement-%06d", i), Process: make([]byte, 16),
	}}})
	if err != nil {
		return err
	}
	m.Apply(1, data)
	return nil
}

func acquireCommand(service uint32, key string) *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Acquire{Acquire: &grantpb.Acquire{
		Service: service, Key: key, Attempt: make([]byte, 16), Digest: make([]byte, 32),
	}}}
}

func completeCommand(service uint32, key string) *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Complete{Complete: &grantpb.Complete{
		Service: service, Key: key, Attempt: make([]byte, 16),
		Answer: &grantpb.Answer{Status: 200, ContentType: "text/plain", Body: make([]byte, responseBytes)},
	}}}
}

// idempotencyKey returns an idempotency key with the length of a UUID.
func idempotencyKey(i int) string { return fmt.Sprintf("8b6f2c1e-4d1a-4f0e-9c2b-%012d", i) }

func measureGrantHeap(r *Report) error {
	memory := &series{name: "grant.heap", unit: Bytes, per: "record", count: grant.MaxRecords}
	disk := &series{name: "grant.snapshot", unit: Bytes, per: "record", count: grant.MaxRecords}
	cpu := &series{name: "grant.apply", unit: Microseconds, per: "grant", count: 1}
	for _, n := range []int{10_000, 20_000, 40_000, 80_000} {
		before := liveHeap()
		m, applyTime := grant.New(), time.Duration(0)
		for i := range n {
			for _, c := range []*grantpb.Command{acquireCommand(1, idempotencyKey(i)), completeCommand(1, idempotencyKey(i))} {
				data, err := proto.Marshal(c)
				if err != nil {
					return err
				}
				began := time.Now()
				m.Apply(1, data)
				applyTime += time.Since(began)
			}
		}
		memory.add(float64(n), liveHeap()-before)
		snapshot, err := m.Snapshot()
		if err != nil {
			return err
		}
		disk.add(float64(n), float64(len(snapshot)))
		cpu.add(float64(n), micros(applyTime))
	}
	return r.addSlopes(memory, disk, cpu)
}
