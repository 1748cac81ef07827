package agentd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// lateResponse is a second response to a request.
const lateResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"

// startLateBackend starts a backend server that sends a second response to each request
// when the next request arrives on the same connection. It echoes no request ID.
func startLateBackend(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serveLateResponses(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return "http://" + listener.Addr().String()
}

func serveLateResponses(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if n > 0 {
			_, _ = io.WriteString(conn, lateResponse)
		}
		text := request.URL.Query().Get("text")
		header := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n"
		_, _ = io.WriteString(conn, header+text)
	}
}

// A late second response must not become the response to another request.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	a := tc.startAgent("t1", startLateBackend(t))
	tc.entry.setRoute(a.FrameAddr(), "")
	for i := range 10 {
		text := "own" + strconv.Itoa(i)
		got := tc.mustSend(t, "GET", "/echo?text="+text, "")
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, text)
	}
}
