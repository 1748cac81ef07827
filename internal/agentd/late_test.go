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

// lateAnswer is the second answer to a request that was answered already.
const lateAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"

// startLateBackend serves a backend server that answers each request in full
// and has a second answer to it on its way, which leaves when the next request
// arrives on the same connection. It echoes no request ID.
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
			wg.Go(func() { answerLate(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return "http://" + listener.Addr().String()
}

func answerLate(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if n > 0 {
			_, _ = io.WriteString(conn, lateAnswer)
		}
		text := request.URL.Query().Get("text")
		head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n"
		_, _ = io.WriteString(conn, head+text)
	}
}

// A late second answer must not become the answer to another request, although
// nothing was wrong with the first one that a check could have seen.
func TestLateSecondAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.startAgent("t1", startLateBackend(t))
	w.entry.choose(a.FrameAddr(), "")
	for i := range 10 {
		text := "own" + strconv.Itoa(i)
		got := w.mustSend(t, "GET", "/echo?text="+text, "")
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, text)
	}
}
