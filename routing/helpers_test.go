package routing_test

import (
	"net/netip"
	"testing"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

const (
	service = 7
	start   = time.Hour
	warmAge = time.Hour
)

// address returns the frame address of a target by its number.
func address(number uint32) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)})
	return netip.AddrPortFrom(ip, 7000)
}

// targets returns n serving targets, numbered from 1, that are past any ramp.
func targets(n int) []routing.Target {
	list := make([]routing.Target, n)
	for i := range list {
		number := uint32(i + 1)
		list[i] = routing.Target{
			Number:      number,
			Incarnation: 1,
			Service:     service,
			Address:     address(number),
			Age:         warmAge,
		}
	}
	return list
}

func build(p *configpb.Policy, list []routing.Target) (*routing.Table, *routing.LoadReports) {
	loads := routing.NewLoadReports(nil, list)
	return routing.NewTable(p, service, list, loads, start), loads
}

// hashes returns n uniform hashes, the same at each run.
func hashes(n int) []uint64 {
	list := make([]uint64, n)
	x := uint64(1)
	for i := range list {
		// SplitMix64.
		x += 0x9e3779b97f4a7c15
		z := x
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		list[i] = z ^ z>>31
	}
	return list
}

// count chooses a target for each hash and returns the number of choices by target
// number.
func count(tb testing.TB, t *routing.Table, list []uint64) map[uint32]int {
	tb.Helper()
	counts := make(map[uint32]int)
	for _, hash := range list {
		choice, ok := t.Choose(hash, start)
		if !ok {
			tb.Fatal("nothing chosen")
		}
		counts[choice.Target.Number]++
	}
	return counts
}
