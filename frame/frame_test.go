package frame_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

var secret = unittest.Secret

func codec(tb testing.TB, secrets ...connid.Secret) *frame.Codec {
	tb.Helper()
	c, err := frame.NewCodec(secrets)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

func sample() frame.Header {
	return frame.Header{
		Kind:        frame.First,
		Hops:        2,
		Service:     1<<32 - 1,
		Caller:      netip.MustParseAddrPort("[2001:db8::9]:50000"),
		Public:      netip.MustParseAddrPort("192.0.2.1:443"),
		Alternate:   netip.MustParseAddrPort("10.0.0.8:7000"),
		Target:      frame.MaxNumber,
		Incarnation: 17,
		Load:        1250,
		Draining:    true,
	}
}

// put returns a frame with that header and no datagram.
func put(c *frame.Codec, h frame.Header) []byte {
	buf := make([]byte, frame.HeaderLength)
	c.Put(buf, &h)
	return buf
}

func drawIPv4(t *rapid.T, label string) netip.AddrPort {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label))
	port := rapid.Uint16Range(1, 1<<16-1).Draw(t, label+" port")
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}

func drawAddress(t *rapid.T, label string) netip.AddrPort {
	if rapid.Bool().Draw(t, label+" is IPv4") {
		return drawIPv4(t, label)
	}
	ip := [16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label))
	port := rapid.Uint16Range(1, 1<<16-1).Draw(t, label+" port")
	return netip.AddrPortFrom(netip.AddrFrom16(ip).Unmap(), port)
}

func TestParseRoundTrip(t *testing.T) {
	c := codec(t, secret(6, 1))
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		want := frame.Header{
			Kind:        rapid.SampledFrom([]frame.Kind{frame.Forward, frame.First, frame.Reply}).Draw(t, "kind"),
			Hops:        rapid.Uint8Range(0, frame.MaxHops).Draw(t, "hops"),
			Service:     rapid.Uint32().Draw(t, "service"),
			Caller:      drawAddress(t, "caller"),
			Public:      drawAddress(t, "public"),
			Target:      rapid.Uint32Range(0, frame.MaxNumber).Draw(t, "target"),
			Incarnation: rapid.Uint32Range(0, frame.MaxNumber).Draw(t, "incarnation"),
			Load:        rapid.Uint16().Draw(t, "load"),
			Draining:    rapid.Bool().Draw(t, "draining"),
			Unhealthy:   rapid.Bool().Draw(t, "unhealthy"),
		}
		if rapid.Bool().Draw(t, "has alternate") {
			want.Alternate = drawIPv4(t, "alternate")
		}
		datagram := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "datagram")

		buf := append(make([]byte, frame.HeaderLength), datagram...)
		c.Put(buf, &want)
		var got frame.Header
		is.Equal(c.Parse(buf, &got), frame.OK)
		is.Equal(got, want)
		is.True(bytes.Equal(buf[frame.HeaderLength:], datagram)) // the datagram is unchanged
	})
}

func TestZeroAddressesRoundTrip(t *testing.T) {
	is := is.New(t)
	c := codec(t, secret(0, 1))
	buf := bytes.Repeat([]byte{0xff}, frame.HeaderLength)
	want := frame.Header{Kind: frame.Reply}
	c.Put(buf, &want)
	got := sample()
	is.Equal(c.Parse(buf, &got), frame.OK)
	is.Equal(got, want) // stale contents of the buffer and the header are overwritten
}

func TestMappedAddressesAreUnmapped(t *testing.T) {
	is := is.New(t)
	c := codec(t, secret(0, 1))
	mapped := netip.MustParseAddrPort("[::ffff:192.0.2.1]:443")
	buf := put(c, frame.Header{Kind: frame.Forward, Caller: mapped, Alternate: mapped})
	var got frame.Header
	is.Equal(c.Parse(buf, &got), frame.OK)
	is.Equal(got.Caller, netip.MustParseAddrPort("192.0.2.1:443"))
	is.Equal(got.Alternate, got.Caller)
}

func TestModifiedHeaderIsRefused(t *testing.T) {
	c := codec(t, secret(2, 1))
	for bit := range 8 * frame.HeaderLength {
		buf := put(c, sample())
		buf[bit/8] ^= 1 << (bit % 8)
		var got frame.Header
		verdict := c.Parse(buf, &got)
		if verdict == frame.OK || got != (frame.Header{}) {
			t.Fatalf("bit %d flipped: %v, %v", bit, verdict, got)
		}
	}
}

func TestVerdicts(t *testing.T) {
	c := codec(t, secret(2, 1))
	good := put(c, sample())
	change := func(offset int, xor byte) []byte {
		buf := bytes.Clone(good)
		buf[offset] ^= xor
		return buf
	}
	for _, tt := range []struct {
		name string
		src  []byte
		want frame.Verdict
	}{
		{"good", good, frame.OK},
		{"empty", nil, frame.TooShort},
		{"truncated", good[:frame.HeaderLength-1], frame.TooShort},
		{"version", change(0, 0x80), frame.WrongVersion},
		{"secret", change(1, 0x01), frame.UnknownSecret},
		{"tag", change(frame.HeaderLength-1, 0x01), frame.WrongTag},
		{"kind", put(c, frame.Header{Kind: frame.Reply + 1}), frame.WrongKind},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var h frame.Header
			is.Equal(c.Parse(tt.src, &h), tt.want)
		})
	}
}

func TestSecretRotation(t *testing.T) {
	is := is.New(t)
	before := codec(t, secret(0, 1))
	both := codec(t, secret(1, 2), secret(0, 1))
	after := codec(t, secret(1, 2))
	var got frame.Header

	old := put(before, sample())
	is.Equal(both.Parse(old, &got), frame.OK)
	is.Equal(after.Parse(old, &got), frame.UnknownSecret)
	is.Equal(after.Parse(put(both, sample()), &got), frame.OK)
}

func TestNewCodecValidatesSecrets(t *testing.T) {
	is := is.New(t)
	_, err := frame.NewCodec(nil)
	is.True(errors.Is(err, connid.ErrNoSecrets))
}

func TestNoAllocations(t *testing.T) {
	is := is.New(t)
	c := codec(t, secret(0, 1))
	want := sample()
	buf := make([]byte, frame.HeaderLength)
	var got frame.Header
	is.Equal(testing.AllocsPerRun(1000, func() { c.Put(buf, &want) }), 0.0)
	is.Equal(testing.AllocsPerRun(1000, func() { c.Parse(buf, &got) }), 0.0)
}

func FuzzParse(f *testing.F) {
	c := codec(f, secret(0, 1))
	for _, kind := range []frame.Kind{frame.Forward, frame.First, frame.Reply, frame.Reply + 1} {
		h := sample()
		h.Kind = kind
		buf := make([]byte, frame.HeaderLength+3)
		c.Put(buf, &h)
		f.Add(buf)
		f.Add(buf[:frame.HeaderLength-1])
	}
	f.Add([]byte{})

	f.Fuzz(func(t *testing.T, src []byte) {
		var h frame.Header
		if c.Parse(src, &h) != frame.OK {
			if h != (frame.Header{}) {
				t.Fatalf("refused frame changed the header: %v", h)
			}
			return
		}
		// A parsed header is the same after another round trip.
		var again frame.Header
		if verdict := c.Parse(put(c, h), &again); verdict != frame.OK || again != h {
			t.Fatalf("%v: %v, then %v", verdict, h, again)
		}
	})
}

func BenchmarkPut(b *testing.B) {
	c := codec(b, secret(0, 1))
	h := sample()
	buf := make([]byte, frame.HeaderLength)
	b.ReportAllocs()
	for b.Loop() {
		c.Put(buf, &h)
	}
}

func BenchmarkParse(b *testing.B) {
	c := codec(b, secret(0, 1))
	h, buf := sample(), put(c, sample())
	b.ReportAllocs()
	for b.Loop() {
		c.Parse(buf, &h)
	}
}
