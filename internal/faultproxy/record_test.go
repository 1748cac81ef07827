package faultproxy

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func TestRecordKeepsFirstDatagrams(t *testing.T) {
	is := is.New(t)
	caller, host := socket(t), socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(host)}})
	r.Record(2)
	for _, text := range []string{"one", "two", "three"} {
		send(t, caller, r.Addr(), text)
		_, from := receive(t, host)
		send(t, host, from, "re "+text)
		receive(t, caller)
	}
	is.Equal(r.Recorded(ToHost), [][]byte{[]byte("one"), []byte("two")})
	is.Equal(r.Recorded(ToCaller), [][]byte{[]byte("re one"), []byte("re two")})
	r.Record(1)
	is.Equal(len(r.Recorded(ToHost)), 0)
}

func TestCutFlowAffectsOneCaller(t *testing.T) {
	is := is.New(t)
	cut, other, host := socket(t), socket(t), socket(t)
	r := relay(t, Options{Hosts: []netip.AddrPort{addrOf(host)}})
	send(t, cut, r.Addr(), "before")
	_, from := receive(t, host)
	r.CutFlow(addrOf(cut), ToCaller)
	send(t, host, from, "lost")
	send(t, cut, r.Addr(), "still received")
	text, _ := receive(t, host)
	is.Equal(text, "still received")
	send(t, other, r.Addr(), "other")
	text, _ = receive(t, host)
	is.Equal(text, "other")
	waitFor(t, func() bool { return r.Counts(addrOf(host), ToCaller).Lost == 1 })
}
