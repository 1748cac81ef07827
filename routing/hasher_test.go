package routing_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

func hasher(tb testing.TB, fill byte) *routing.Hasher {
	tb.Helper()
	h, err := routing.NewHasher(connid.Secret{Key: [connid.SecretLength]byte{fill}})
	if err != nil {
		tb.Fatal(err)
	}
	return h
}

func TestSameSecretSameHash(t *testing.T) {
	is := is.New(t)
	caller := netip.MustParseAddrPort("192.0.2.7:50000")
	id := []byte("made-up-connection-id")
	is.Equal(hasher(t, 1).Hash(caller, id), hasher(t, 1).Hash(caller, id))
	is.True(hasher(t, 1).Hash(caller, id) != hasher(t, 2).Hash(caller, id))
}

func TestHashDependsOnAllInputs(t *testing.T) {
	is := is.New(t)
	h := hasher(t, 1)
	caller := netip.MustParseAddrPort("192.0.2.7:50000")
	seen := make(map[uint64]bool)
	for _, hash := range []uint64{
		h.Hash(caller, nil),
		h.Hash(caller, []byte{0}),
		h.Hash(caller, []byte{0, 0}),
		h.Hash(caller, make([]byte, 16)),
		h.Hash(caller, make([]byte, 17)),
		h.Hash(caller, append(make([]byte, 16), 1)),
		h.Hash(netip.MustParseAddrPort("192.0.2.7:50001"), nil),
		h.Hash(netip.MustParseAddrPort("192.0.2.8:50000"), nil),
	} {
		is.True(!seen[hash])
		seen[hash] = true
	}
}

func TestHashNoAllocations(t *testing.T) {
	is := is.New(t)
	h := hasher(t, 1)
	caller := netip.MustParseAddrPort("192.0.2.7:50000")
	id := make([]byte, 8)
	is.Equal(testing.AllocsPerRun(1000, func() { h.Hash(caller, id) }), 0.0)
}
