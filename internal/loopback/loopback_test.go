package loopback_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

func TestAddressesDifferAndAreFree(t *testing.T) {
	is := is.New(t)
	one, other := loopback.Host(t), loopback.Host(t)
	is.True(one != other)
	is.True(one.IsLoopback())
	first, second := loopback.Address(t, one), loopback.Address(t, one)
	is.True(first != second)
	is.True(first.Port() >= 10000 && first.Port() < 32768) // below the ephemeral range
	tcp, err := net.Listen("tcp", first.String())
	is.NoErr(err)
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", first.String())
	is.NoErr(err)
	defer udp.Close()
}
