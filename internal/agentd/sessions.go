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

// session is one caller's connection. Each has an HTTP/3 server of its own, so
// that it can be told to go elsewhere apart from the others and none is lost
// between the accept queue and the shutdown of a shared server.
type session struct {
	conn    *quic.Conn
	server  *http3.Server
	started chan struct{}
	ended   chan struct{}

	active   atomic.Int64
	leaving  atomic.Bool
	lastBusy atomic.Int64
}

// sessions holds the callers' connections.
type sessions struct {
	handler http.Handler
	clock   clock
	timing  timing

	// number is the length of open, for reads without the lock.
	number atomic.Int64

	mu   sync.Mutex
	open map[*session]struct{}
	// leaving is the share of the callers that are told to go elsewhere; from
	// 1 on, new ones are as well.
	leaving float64
	// told counts the callers that were told, those that are gone included.
	told int
	wait conc.WaitGroup
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
	one := &session{conn: conn, started: make(chan struct{}), ended: make(chan struct{})}
	one.lastBusy.Store(int64(s.clock.now()))
	one.server = &http3.Server{
		MaxHeaderBytes: maxHeaderBytes,
		Handler:        one.counting(s.handler, s.clock),
		ConnContext: func(ctx context.Context, _ *quic.Conn) context.Context {
			close(one.started)
			return context.WithValue(ctx, connectionKey{}, conn.Context())
		},
	}
	s.mu.Lock()
	s.open[one] = struct{}{}
	s.number.Store(int64(len(s.open)))
	leaving := s.leaving >= 1
	s.mu.Unlock()
	s.wait.Go(func() { s.serve(one) })
	if leaving {
		s.goAway(one)
	}
}

// serve runs until the connection and all its requests have ended.
func (s *sessions) serve(one *session) {
	_ = one.server.ServeQUICConn(one.conn)
	_ = one.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	close(one.ended)
	s.mu.Lock()
	delete(s.open, one)
	s.number.Store(int64(len(s.open)))
	s.mu.Unlock()
}

// counting wraps the handler so that the session knows its running requests.
func (one *session) counting(next http.Handler, clock clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		one.active.Add(1)
		defer func() {
			one.lastBusy.Store(int64(clock.now()))
			one.active.Add(-1)
		}()
		next.ServeHTTP(w, r)
	})
}

// setLeaving tells a share of the callers, from 0 to 1, to open new requests
// elsewhere. A share of 1 holds for new connections as well.
func (s *sessions) setLeaving(share float64) {
	for _, one := range s.next(share) {
		s.goAway(one)
	}
}

// next returns the callers that are to be told now.
func (s *sessions) next(share float64) []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = share
	if share <= 0 {
		s.told = 0
		return nil
	}
	var staying []*session
	for one := range s.open {
		if !one.leaving.Load() {
			staying = append(staying, one)
		}
	}
	more := int(math.Ceil(share*float64(s.told+len(staying)))) - s.told
	more = min(max(more, 0), len(staying))
	s.told += more
	return staying[:more]
}

// goAway sends GOAWAY on a connection. Requests under way go on, new ones are
// refused in a way that tells the caller that they were not run.
func (s *sessions) goAway(one *session) {
	if one.leaving.Swap(true) {
		return
	}
	one.lastBusy.Store(int64(s.clock.now()))
	s.wait.Go(func() {
		select {
		case <-one.started:
			// No time limit: the session ends when its caller ends it.
			_ = one.server.Shutdown(context.Background())
		case <-one.ended:
		}
	})
}

// closeIdle closes connections that were told to go elsewhere and have had no
// request since. A caller that follows the protocol closes them itself.
func (s *sessions) closeIdle() {
	now := s.clock.now()
	for _, one := range s.idle(now) {
		_ = one.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

func (s *sessions) idle(now time.Duration) []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []*session
	for one := range s.open {
		quiet := now-time.Duration(one.lastBusy.Load()) > s.timing.idleClose
		if one.leaving.Load() && one.active.Load() == 0 && quiet {
			idle = append(idle, one)
		}
	}
	return idle
}

// count returns the number of open connections.
func (s *sessions) count() int {
	return int(s.number.Load())
}

// closeAll ends every connection at once.
func (s *sessions) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one := range s.open {
		_ = one.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}
