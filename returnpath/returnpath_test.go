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

func entryHost(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 4000)
}

func TestPathUsesLastReceived(t *testing.T) {
	is := is.New(t)
	var p returnpath.Path
	_, _, ok := p.Next(0)
	is.True(!ok) // nothing received yet
	for n := range 6 {
		p.RecordReceived(entryHost(n), time.Duration(n))
	}
	entry, exhausted, ok := p.Next(10)
	is.True(ok)
	is.True(!exhausted)
	is.Equal(entry, entryHost(5))
}

func TestPathFailsOverWithoutReplies(t *testing.T) {
	is := is.New(t)
	var p returnpath.Path
	p.RecordReceived(entryHost(1), 0)
	p.RecordReceived(entryHost(2), 0)
	for range returnpath.FailoverDatagrams {
		entry, _, _ := p.Next(time.Millisecond)
		is.Equal(entry, entryHost(2))
	}
	entry, _, _ := p.Next(time.Millisecond)
	is.Equal(entry, entryHost(2)) // no failover for a burst within one round trip
	entry, exhausted, _ := p.Next(returnpath.FailoverTimeout)
	is.Equal(entry, entryHost(1))
	is.True(!exhausted)
	for range returnpath.FailoverDatagrams {
		p.Next(returnpath.FailoverTimeout)
	}
	_, exhausted, _ = p.Next(2 * returnpath.FailoverTimeout)
	is.True(exhausted) // both were tried without success
	p.RecordReceived(entryHost(1), 2*returnpath.FailoverTimeout)
	entry, exhausted, _ = p.Next(2 * returnpath.FailoverTimeout)
	is.Equal(entry, entryHost(1))
	is.True(!exhausted)
}

func TestPathReturnsOnlyRecordedHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p returnpath.Path
		received := map[netip.AddrPort]bool{}
		last := netip.AddrPort{}
		justReceived := false
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "receive") {
				last = entryHost(rapid.IntRange(0, 8).Draw(t, "host"))
				p.RecordReceived(last, now)
				received[last] = true
				justReceived = true
				continue
			}
			entry, _, ok := p.Next(now)
			if ok != (len(received) > 0) || (ok && !received[entry]) {
				t.Fatalf("got %v, received %v", entry, received)
			}
			if justReceived && entry != last {
				t.Fatalf("got %v right after receiving through %v", entry, last)
			}
			justReceived = false
		}
	})
}

func TestPathTriesEveryHost(t *testing.T) {
	is := is.New(t)
	var p returnpath.Path
	for n := range returnpath.MaxPathHosts {
		p.RecordReceived(entryHost(n), 0)
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

func TestRecentHostsAreBoundedAndExpire(t *testing.T) {
	is := is.New(t)
	r := returnpath.NewRecentHosts()
	for n := range 3 * returnpath.MaxRecentHosts {
		r.RecordReceived(entryHost(n), time.Duration(n))
	}
	is.Equal(r.Len(), returnpath.MaxRecentHosts)
	seen := map[netip.AddrPort]bool{}
	for range returnpath.MaxRecentHosts {
		entry, ok := r.Next(time.Second)
		is.True(ok)
		seen[entry] = true
	}
	is.Equal(len(seen), returnpath.MaxRecentHosts) // in turn
	is.True(!seen[entryHost(0)])                   // the oldest was evicted
	_, ok := r.Next(returnpath.MaxRecentAge + time.Minute)
	is.True(!ok) // all too old
}

// If all entry hosts of a flow restart at once, few datagrams may be spent on them, as
// QUIC senders back off.
func TestFailoverTriesAnotherHostEachTime(t *testing.T) {
	is := is.New(t)
	var p returnpath.Path
	for n := range returnpath.MaxPathHosts {
		p.RecordReceived(entryHost(n), 0)
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
	p.RecordReceived(entryHost(9), returnpath.FailoverTimeout)
	for range 2 * returnpath.FailoverDatagrams {
		entry, exhausted, _ := p.Next(returnpath.FailoverTimeout)
		is.Equal(entry, entryHost(9)) // no failover after a received datagram
		is.True(!exhausted)
	}
}

func TestRecentHostsPrefersNewest(t *testing.T) {
	is := is.New(t)
	r := returnpath.NewRecentHosts()
	for n := range 4 {
		r.RecordReceived(entryHost(n), 0)
	}
	const later = 2 * returnpath.PreferredAge
	r.RecordReceived(entryHost(8), later)
	r.RecordReceived(entryHost(9), later)
	got := map[netip.AddrPort]bool{}
	for range 10 {
		entry, ok := r.Next(later)
		is.True(ok)
		got[entry] = true
	}
	is.Equal(got, map[netip.AddrPort]bool{entryHost(8): true, entryHost(9): true})
	_, ok := r.Next(later + 2*returnpath.PreferredAge) // none is within PreferredAge
	is.True(ok)
	_, ok = r.Next(later + 2*returnpath.MaxRecentAge)
	is.True(!ok)
}
