package quicheader_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/quicheader"
)

const idLength = 20

// longHeader returns the invariant part of a long-header packet.
func longHeader(first byte, version uint32, destination, source []byte) []byte {
	b := []byte{first, byte(version >> 24), byte(version >> 16), byte(version >> 8), byte(version)}
	b = append(b, byte(len(destination)))
	b = append(b, destination...)
	b = append(b, byte(len(source)))
	return append(b, source...)
}

func TestTypes(t *testing.T) {
	const (
		version1 = 1
		version2 = 0x6b3343cf
		unknown  = 0x1a2a3a4a
	)
	for _, tt := range []struct {
		name    string
		first   byte
		version uint32
		want    quicheader.Type
		mayOpen bool
	}{
		{"initial", 0xc3, version1, quicheader.Initial, true},
		{"0-RTT", 0xd3, version1, quicheader.ZeroRTT, true},
		{"handshake", 0xe3, version1, quicheader.Handshake, false},
		{"retry", 0xf3, version1, quicheader.Retry, false},
		{"retry of version 2", 0xc3, version2, quicheader.Retry, false},
		{"initial of version 2", 0xd3, version2, quicheader.Initial, true},
		{"0-RTT of version 2", 0xe3, version2, quicheader.ZeroRTT, true},
		{"handshake of version 2", 0xf3, version2, quicheader.Handshake, false},
		{"unknown version", 0xf3, unknown, quicheader.UnknownVersion, true},
		{"version negotiation", 0x80, 0, quicheader.VersionNegotiation, false},
		{"fixed bit not set", 0x83, version1, quicheader.Initial, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, ok := quicheader.Parse(longHeader(tt.first, tt.version, []byte("destination"), []byte("source")), idLength)
			is.True(ok)
			is.Equal(h.Type, tt.want)
			is.Equal(h.Type.MayOpenConnection(), tt.mayOpen)
			is.Equal(h.Version, tt.version)
			is.Equal(string(h.Destination), "destination")
			is.Equal(string(h.Source), "source")
		})
	}
}

func TestShortHeader(t *testing.T) {
	is := is.New(t)
	id := bytes.Repeat([]byte{7}, idLength)
	datagram := append([]byte{0x40}, id...)

	h, ok := quicheader.Parse(append(datagram, "payload"...), idLength)
	is.True(ok)
	is.Equal(h.Type, quicheader.Short)
	is.True(!h.Type.MayOpenConnection())
	is.Equal(h.Destination, id)

	_, ok = quicheader.Parse(datagram[:idLength], idLength)
	is.True(!ok) // the ID is truncated
}

func TestTruncatedLongHeaderIsRefused(t *testing.T) {
	is := is.New(t)
	complete := longHeader(0xc0, 1, bytes.Repeat([]byte{1}, 255), []byte("source"))
	_, ok := quicheader.Parse(complete, idLength)
	is.True(ok) // RFC 8999 allows IDs of up to 255 bytes
	for length := range complete {
		_, ok := quicheader.Parse(complete[:length], idLength)
		is.True(!ok) // truncated
	}
}

func TestParseFindsIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		destination := rapid.SliceOfN(rapid.Byte(), 0, 255).Draw(t, "destination")
		source := rapid.SliceOfN(rapid.Byte(), 0, 255).Draw(t, "source")
		version := rapid.Uint32().Draw(t, "version")
		first := rapid.Byte().Draw(t, "first") | 0x80
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")

		h, ok := quicheader.Parse(append(longHeader(first, version, destination, source), payload...), idLength)
		is.True(ok)
		is.True(bytes.Equal(h.Destination, destination))
		is.True(bytes.Equal(h.Source, source))
		is.Equal(h.Version, version)
	})
}

func TestNoAllocations(t *testing.T) {
	is := is.New(t)
	datagram := longHeader(0xc0, 1, make([]byte, 8), nil)
	is.Equal(testing.AllocsPerRun(1000, func() { quicheader.Parse(datagram, idLength) }), 0.0)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x40})
	f.Add(append([]byte{0x40}, make([]byte, idLength)...))
	f.Add(longHeader(0xc0, 1, []byte("12345678"), nil))
	f.Add(longHeader(0xc0, 1, make([]byte, idLength), make([]byte, idLength)))
	f.Add(longHeader(0xd0, 0x6b3343cf, make([]byte, 255), []byte("source")))
	f.Add([]byte{0xc0, 0, 0, 0, 1, 255, 0})

	f.Fuzz(func(t *testing.T, datagram []byte) {
		h, ok := quicheader.Parse(datagram, idLength)
		if !ok {
			return
		}
		if h.Type == quicheader.Short && len(h.Destination) != idLength {
			t.Fatalf("short header with an ID of %d bytes", len(h.Destination))
		}
		if !bytes.Contains(datagram, h.Destination) || !bytes.Contains(datagram, h.Source) {
			t.Fatal("IDs are not part of the datagram")
		}
	})
}

func BenchmarkParse(b *testing.B) {
	datagram := longHeader(0xc0, 1, make([]byte, 8), make([]byte, 8))
	b.ReportAllocs()
	for b.Loop() {
		quicheader.Parse(datagram, idLength)
	}
}
