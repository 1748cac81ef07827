package listen_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/listen"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

// Guards against connections above the limit that use file descriptors.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	l, err := listen.TCP("127.0.0.1:0")
	is.NoErr(err)
	accepted := make(chan net.Conn, 2*listen.MaxConnections)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	var dialed []net.Conn
	for range listen.MaxConnections + 10 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		dialed = append(dialed, c)
	}
	unittest.Eventually(t, "connections up to the limit", func() bool { return len(accepted) == listen.MaxConnections })
	is.NoErr((<-accepted).Close())
	unittest.Eventually(t, "next connection", func() bool { return len(accepted) == listen.MaxConnections })
	is.NoErr(l.Close())
	<-done
	close(accepted)
	for c := range accepted {
		c.Close()
	}
	for _, c := range dialed {
		c.Close()
	}
}
