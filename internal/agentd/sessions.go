package agentd

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"
)

// session is the connection of one caller. Each has its own HTTP/3 server, so that it
// can get GOAWAY separately and no connection is lost between the accept queue and
// the shutdown of a shared server.
type session struct {
	conn    *quic.Conn
	server  *http3.Server
	started chan struct{}
	ended   chan struct{}

	active     atomic.Int64
	draining   atomic.Bool
	lastActive atomic.Int64
}

// sessions holds the callers' connections.
type sessions struct {
	handler http.Handler
	clock   clock
	timing  timing

	// number is len(open), for reads without the lock.
	number atomic.Int64

	mu   sync.Mutex
	open map[*session]struct{}
	// draining is the share of callers that get GOAWAY. At 1, new connections get it
	// too.
	draining float64
	// goAwayCount is the number of callers that got GOAWAY, including closed
	// connections.
	goAwayCount int
	wait        conc.WaitGroup
}

func newSessions(handler http.Handler, clock clock, timing timing) *sessions {
	return &sessions{handler: handler, clock: clock, timing: timing, open: make(map[*session]struct{})}
}

// accept serves every connection of the listener until it is closed.
func (s *sessions) accept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return
		}
		s.start(conn)
	}
}

func (s *sessions) start(conn *quic.Conn) {
	sess := &session{conn: conn, started: make(chan struct{}), ended: make(chan struct{})}
	sess.lastActive.Store(int64(s.clock.now()))
	sess.server = &http3.Server{
		MaxHeaderBytes: maxHeaderBytes,
		Handler:        sess.counting(s.handler, s.clock),
		ConnContext: func(ctx context.Context, _ *quic.Conn) context.Context {
			close(sess.started)
			return context.WithValue(ctx, connContextKey{}, conn.Context())
		},
	}
	s.mu.Lock()
	s.open[sess] = struct{}{}
	s.number.Store(int64(len(s.open)))
	draining := s.draining >= 1
	s.mu.Unlock()
	s.wait.Go(func() { s.serve(sess) })
	if draining {
		s.sendGoAway(sess)
	}
}

// serve runs until the connection and all its requests have ended.
func (s *sessions) serve(sess *session) {
	_ = sess.server.ServeQUICConn(sess.conn)
	_ = sess.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	close(sess.ended)
	s.mu.Lock()
	delete(s.open, sess)
	s.number.Store(int64(len(s.open)))
	s.mu.Unlock()
}

// counting wraps the handler to count the running requests of the session.
func (sess *session) counting(next http.Handler, clock clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sess.active.Add(1)
		defer func() {
			sess.lastActive.Store(int64(clock.now()))
			sess.active.Add(-1)
		}()
		next.ServeHTTP(w, r)
	})
}

// updateDrain sends GOAWAY to a share, from 0 to 1, of the callers. At 1, new
// connections get it too.
func (s *sessions) updateDrain(share float64) {
	for _, sess := range s.selectForGoAway(share) {
		s.sendGoAway(sess)
	}
}

// selectForGoAway returns the sessions to send GOAWAY to now.
func (s *sessions) selectForGoAway(share float64) []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = share
	if share <= 0 {
		s.goAwayCount = 0
		return nil
	}
	var staying []*session
	for sess := range s.open {
		if !sess.draining.Load() {
			staying = append(staying, sess)
		}
	}
	more := int(math.Ceil(share*float64(s.goAwayCount+len(staying)))) - s.goAwayCount
	more = min(max(more, 0), len(staying))
	s.goAwayCount += more
	return staying[:more]
}

// sendGoAway sends GOAWAY on a connection. Requests in progress continue. New ones
// are rejected with the HTTP/3 error that marks them as not processed.
func (s *sessions) sendGoAway(sess *session) {
	if sess.draining.Swap(true) {
		return
	}
	sess.lastActive.Store(int64(s.clock.now()))
	s.wait.Go(func() {
		select {
		case <-sess.started:
			// No time limit: the session ends when the caller ends it.
			_ = sess.server.Shutdown(context.Background())
		case <-sess.ended:
		}
	})
}

// closeIdle closes connections that got GOAWAY and have had no request since. Callers
// normally close them themselves.
func (s *sessions) closeIdle() {
	now := s.clock.now()
	for _, sess := range s.idle(now) {
		_ = sess.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

func (s *sessions) idle(now time.Duration) []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []*session
	for sess := range s.open {
		inactive := now-time.Duration(sess.lastActive.Load()) > s.timing.idleCloseTimeout
		if sess.draining.Load() && sess.active.Load() == 0 && inactive {
			idle = append(idle, sess)
		}
	}
	return idle
}

// count returns the number of open connections.
func (s *sessions) count() int {
	return int(s.number.Load())
}

// closeAll closes every connection.
func (s *sessions) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.open {
		_ = sess.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}
