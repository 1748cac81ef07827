package connid_test

import (
	"net/netip"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

var secret = unittest.Secret

func codec(tb testing.TB, secrets ...connid.Secret) *connid.Codec {
	tb.Helper()
	c, err := connid.NewCodec(secrets)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

var sample = connid.Target{
	Address:     netip.MustParseAddrPort("10.1.2.3:4567"),
	Number:      12_000,
	Incarnation: 840,
}

func drawTarget(t *rapid.T) connid.Target {
	ip := rapid.Uint32Range(1, 1<<32-1).Draw(t, "ip")
	addr := netip.AddrFrom4([4]byte{byte(ip >> 24), byte(ip >> 16), byte(ip >> 8), byte(ip)})
	return connid.Target{
		Address:     netip.AddrPortFrom(addr, rapid.Uint16Range(1, 1<<16-1).Draw(t, "port")),
		Number:      rapid.Uint32Range(0, connid.MaxNumber).Draw(t, "number"),
		Incarnation: rapid.Uint32Range(0, connid.MaxNumber).Draw(t, "incarnation"),
	}
}

func TestDecodeRoundTrip(t *testing.T) {
	c := codec(t, secret(3, 1))
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		want := drawTarget(t)
		is.NoErr(want.Validate())

		id := c.Encode(want, rapid.Uint32().Draw(t, "counter"), rapid.Byte().Draw(t, "random"))
		got, verdict := c.Decode(id[:])
		is.Equal(verdict, connid.OK)
		is.Equal(got, want)
	})
}

func TestModifiedIDIsRefused(t *testing.T) {
	c := codec(t, secret(0, 1), secret(5, 2))
	for counter := range uint32(50) {
		for bit := 8; bit < 8*connid.Length; bit++ {
			id := c.Encode(sample, counter, 0)
			id[bit/8] ^= 1 << (bit % 8)
			if _, verdict := c.Decode(id[:]); verdict != connid.WrongTag {
				t.Fatalf("counter %d, bit %d flipped: %v", counter, bit, verdict)
			}
		}
	}
}

func TestRandomBitsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := codec(t, secret(2, 1))
	for random := range 256 {
		id := c.Encode(sample, 7, byte(random))
		got, verdict := c.Decode(id[:])
		is.Equal(verdict, connid.OK)
		is.Equal(got, sample)
		is.Equal(id[0]>>3, byte(random)>>3) // the high bits are the random ones
	}
}

func TestSecretRotation(t *testing.T) {
	is := is.New(t)
	before := codec(t, secret(0, 1))
	both := codec(t, secret(1, 2), secret(0, 1))
	after := codec(t, secret(1, 2))

	old := before.Encode(sample, 1, 0)
	_, verdict := both.Decode(old[:])
	is.Equal(verdict, connid.OK) // a flow of the old secret continues
	_, verdict = after.Decode(old[:])
	is.Equal(verdict, connid.UnknownSecret)

	fresh := both.Encode(sample, 1, 0)
	_, verdict = after.Decode(fresh[:])
	is.Equal(verdict, connid.OK) // new flows use the first secret
}

func TestSameSecretIDWithOtherKeyIsRefused(t *testing.T) {
	is := is.New(t)
	id := codec(t, secret(0, 1)).Encode(sample, 1, 0)
	_, verdict := codec(t, secret(0, 2)).Decode(id[:])
	is.Equal(verdict, connid.WrongTag)
}

func TestDecodeRefusesWrongLength(t *testing.T) {
	is := is.New(t)
	c := codec(t, secret(0, 1))
	id := c.Encode(sample, 1, 0)
	for _, cut := range [][]byte{nil, {}, id[:1], id[:connid.Length-1], append(id[:], 0)} {
		_, verdict := c.Decode(cut)
		is.Equal(verdict, connid.WrongLength)
	}
}

func TestInvalidTargetIsRefused(t *testing.T) {
	is := is.New(t)
	c := codec(t, secret(0, 1))
	for _, address := range []string{"[2001:db8::1]:443", "0.0.0.0:443", "10.0.0.1:0"} {
		target := connid.Target{Address: netip.MustParseAddrPort(address)}
		is.True(errors.Is(target.Validate(), connid.ErrInvalidTarget))
		id := c.Encode(target, 1, 0)
		_, verdict := c.Decode(id[:])
		is.Equal(verdict, connid.NoAddress)
	}
}

func TestValidateChecksNumbers(t *testing.T) {
	is := is.New(t)
	number, incarnation := sample, sample
	number.Number = connid.MaxNumber + 1
	incarnation.Incarnation = connid.MaxNumber + 1
	is.True(errors.Is(number.Validate(), connid.ErrInvalidTarget))
	is.True(errors.Is(incarnation.Validate(), connid.ErrInvalidTarget))
}

func TestNewCodecValidatesSecrets(t *testing.T) {
	is := is.New(t)
	_, err := connid.NewCodec(nil)
	is.True(errors.Is(err, connid.ErrNoSecrets))
	_, err = connid.NewCodec([]connid.Secret{secret(8, 1)})
	is.True(errors.Is(err, connid.ErrInvalidSecretID))
	_, err = connid.NewCodec([]connid.Secret{secret(1, 1), secret(1, 2)})
	is.True(errors.Is(err, connid.ErrDuplicateSecret))
}

func TestNoAllocations(t *testing.T) {
	is := is.New(t)
	c := codec(t, secret(0, 1))
	id := c.Encode(sample, 1, 0)
	is.Equal(testing.AllocsPerRun(1000, func() { c.Decode(id[:]) }), 0.0)
	is.Equal(testing.AllocsPerRun(1000, func() { c.Encode(sample, 1, 0) }), 0.0)
}

func FuzzDecode(f *testing.F) {
	c := codec(f, secret(0, 1), secret(5, 2))
	for counter := range uint32(4) {
		id := c.Encode(sample, counter, byte(counter)<<3)
		f.Add(id[:])
		id[connid.Length-1] ^= 1
		f.Add(id[:])
	}
	f.Add([]byte{})
	f.Add(make([]byte, connid.Length))

	f.Fuzz(func(t *testing.T, id []byte) {
		target, verdict := c.Decode(id)
		if verdict != connid.OK {
			if target != (connid.Target{}) {
				t.Fatalf("verdict %v with target %v", verdict, target)
			}
			return
		}
		if err := target.Validate(); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	c := codec(b, secret(0, 1))
	id := c.Encode(sample, 1, 0)
	b.ReportAllocs()
	for b.Loop() {
		c.Decode(id[:])
	}
}

func BenchmarkEncode(b *testing.B) {
	c := codec(b, secret(0, 1))
	b.ReportAllocs()
	for b.Loop() {
		c.Encode(sample, 1, 0)
	}
}
