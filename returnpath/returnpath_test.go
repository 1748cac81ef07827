package returnpath_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/returnpath"
)

func host(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 4000)
}

func TestPathUsesTheLastHeard(t *testing.T) {
	is := is.New(t)
	var p returnpath.Path
	_, _, ok := p.Next(0)
	is.True(!ok) // nothing heard yet
	for n := range 6 {
		p.RecordReceived(host(n), time.Duration(n))
	}
	entry, exhausted, ok := p.Next(10)
	is.True(ok)
	is.True(!exhausted)
	is.Equal(entry, host(5))
}

func TestPathMovesOnWhenSilent(t *testing.T) {
	is := is.New(t)
	var p returnpath.Path
	p.RecordReceived(host(1), 0)
	p.RecordReceived(host(2), 0)
	for range returnpath.FailoverDatagrams {
		entry, _, _ := p.Next(time.Millisecond)
		is.Equal(entry, host(2))
	}
	entry, _, _ := p.Next(time.Millisecond)
	is.Equal(entry, host(2)) // a burst within one round trip does not move it
	entry, exhausted, _ := p.Next(returnpath.FailoverTimeout)
	is.Equal(entry, host(1))
	is.True(!exhausted)
	for range returnpath.FailoverDatagrams {
		p.Next(returnpath.FailoverTimeout)
	}
	_, exhausted, _ = p.Next(2 * returnpath.FailoverTimeout)
	is.True(exhausted) // both were tried in vain
	p.RecordReceived(host(1), 2*returnpath.FailoverTimeout)
	entry, exhausted, _ = p.Next(2 * returnpath.FailoverTimeout)
	is.Equal(entry, host(1))
	is.True(!exhausted)
}

func TestPathOffersOnlyWhatItHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p returnpath.Path
		heard := map[netip.AddrPort]bool{}
		last := netip.AddrPort{}
		justHeard := false
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "hear") {
				last = host(rapid.IntRange(0, 8).Draw(t, "host"))
				p.RecordReceived(last, now)
				heard[last] = true
				justHeard = true
				continue
			}
			entry, _, ok := p.Next(now)
			if ok != (len(heard) > 0) || (ok && !heard[entry]) {
				t.Fatalf("offered %v, heard %v", entry, heard)
			}
			if justHeard && entry != last {
				t.Fatalf("offered %v right after hearing %v", entry, last)
			}
			justHeard = false
		}
	})
}

func TestPathTriesEveryHostInTurn(t *testing.T) {
	is := is.New(t)
	var p returnpath.Path
	for n := range returnpath.MaxPathHosts {
		p.RecordReceived(host(n), 0)
	}
	tried := map[netip.AddrPort]bool{}
	now := time.Duration(0)
	for range returnpath.MaxPathHosts * (returnpath.FailoverDatagrams + 1) {
		now += returnpath.FailoverTimeout
		entry, _, _ := p.Next(now)
		tried[entry] = true
	}
	is.Equal(len(tried), returnpath.MaxPathHosts)
}

func TestRecentIsBoundedAndForgets(t *testing.T) {
	is := is.New(t)
	r := returnpath.NewRecentHosts()
	for n := range 3 * returnpath.MaxRecentHosts {
		r.RecordReceived(host(n), time.Duration(n))
	}
	is.Equal(r.Len(), returnpath.MaxRecentHosts)
	seen := map[netip.AddrPort]bool{}
	for range returnpath.MaxRecentHosts {
		entry, ok := r.Next(time.Second)
		is.True(ok)
		seen[entry] = true
	}
	is.Equal(len(seen), returnpath.MaxRecentHosts) // takes turns
	is.True(!seen[host(0)])                        // the oldest fell out
	_, ok := r.Next(returnpath.MaxRecentAge + time.Minute)
	is.True(!ok) // all too old
}

// All entry hosts of a flow are restarted at once: QUIC doubles its pauses, so
// few datagrams may be spent on them.
func TestSilentPathTriesAnotherEntryHostEachTime(t *testing.T) {
	is := is.New(t)
	var p returnpath.Path
	for n := range returnpath.MaxPathHosts {
		p.RecordReceived(host(n), 0)
	}
	for range returnpath.FailoverDatagrams {
		p.Next(0)
	}
	tried := map[netip.AddrPort]bool{}
	for n := range returnpath.MaxPathHosts {
		entry, exhausted, ok := p.Next(returnpath.FailoverTimeout)
		is.True(ok)
		is.Equal(exhausted, n == returnpath.MaxPathHosts-1)
		tried[entry] = true
	}
	is.Equal(len(tried), returnpath.MaxPathHosts)
	p.RecordReceived(host(9), returnpath.FailoverTimeout)
	for range 2 * returnpath.FailoverDatagrams {
		entry, exhausted, _ := p.Next(returnpath.FailoverTimeout)
		is.Equal(entry, host(9)) // heard again: it stays
		is.True(!exhausted)
	}
}

func TestRecentPrefersFreshEntryHosts(t *testing.T) {
	is := is.New(t)
	r := returnpath.NewRecentHosts()
	for n := range 4 {
		r.RecordReceived(host(n), 0)
	}
	const later = 2 * returnpath.PreferredAge
	r.RecordReceived(host(8), later)
	r.RecordReceived(host(9), later)
	got := map[netip.AddrPort]bool{}
	for range 10 {
		entry, ok := r.Next(later)
		is.True(ok)
		got[entry] = true
	}
	is.Equal(got, map[netip.AddrPort]bool{host(8): true, host(9): true})
	_, ok := r.Next(later + 2*returnpath.PreferredAge) // none is fresh: the others
	is.True(ok)
	_, ok = r.Next(later + 2*returnpath.MaxRecentAge)
	is.True(!ok)
}
