package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	healthPath = "/health"
	loadPath   = "/load"

	// Headers of the backend server protocol.
	headerOutcome        = "Request-Outcome"
	headerReason         = "Request-Reason"
	headerRequestTimeout = "Request-Timeout"
	headerKey            = "Idempotency-Key"
	outcomeNotRun        = "not-run"

	maxBody      = 16 << 20
	defaultWatch = time.Second
	// strayLinger is the time for which a connection stays open after a stray response.
	strayLinger   = 200 * time.Millisecond
	strayResponse = "an answer to another request"
	retryAfterSec = "1"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /echo", s.withAdmission(s.echo))
	mux.HandleFunc("POST /run", s.withAdmission(s.run))
	mux.HandleFunc("GET /watch", s.watch)
	mux.HandleFunc("GET /runs", s.handleRuns)
	mux.HandleFunc("GET "+healthPath, s.health)
	mux.HandleFunc("GET "+loadPath, s.load)
	return mux
}

// worker does the work of one request and returns the response body. It returns an
// error if ctx ends first.
type worker func(ctx context.Context, r *http.Request, body []byte) ([]byte, error)

// withAdmission wraps a worker with admission, deadline and response faults.
func (s *Server) withAdmission(w worker) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		faults := s.currentFaults()
		number := s.requestCount.Add(1)
		if reason := s.admit(faults); reason != "" {
			refuse(rw, reason)
			return
		}
		defer s.running.Add(-1)
		body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBody))
		if err != nil {
			refuse(rw, "body")
			return
		}
		ctx, cancel, err := deadline(r)
		if err != nil {
			refuse(rw, "timeout-header")
			return
		}
		defer cancel()
		response, err := w(ctx, r, body)
		if err == nil && selected(faults.LateEvery, number) {
			err = sleep.For(r.Context(), faults.LateBy)
		}
		if err != nil {
			http.Error(rw, "the deadline passed during the work", http.StatusGatewayTimeout)
			return
		}
		writeResponse(rw, response, selected(faults.TruncateEvery, number), selected(faults.CrossEvery, number))
	}
}

// admit acquires a slot or returns the reason why the request is refused.
func (s *Server) admit(f Faults) string {
	if from := s.drainStart.Load(); from != nil && time.Since(*from) > s.opts.DrainGrace {
		s.lateRequests.Add(1)
		return "draining"
	}
	if f.Broken {
		return "broken"
	}
	if s.running.Add(1) > int64(s.opts.Slots) {
		s.running.Add(-1)
		return "full"
	}
	return ""
}

// refuse responds to a request that was not run. A broken server responds with a
// plain 500.
func refuse(rw http.ResponseWriter, reason string) {
	if reason == "broken" {
		http.Error(rw, "broken", http.StatusInternalServerError)
		return
	}
	rw.Header().Set(headerOutcome, outcomeNotRun)
	rw.Header().Set(headerReason, reason)
	rw.Header().Set("Retry-After", retryAfterSec)
	http.Error(rw, "not run: "+reason, http.StatusServiceUnavailable)
}

// deadline returns the context of the request with the timeout in Request-Timeout.
func deadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(headerRequestTimeout)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}

func (s *Server) echo(ctx context.Context, r *http.Request, _ []byte) ([]byte, error) {
	err := sleep.For(ctx, s.workTime(r))
	return []byte(r.URL.Query().Get("text")), err
}

// workTime returns the current duration of the work of a request.
func (s *Server) workTime(r *http.Request) time.Duration {
	return s.opts.Cold.scale(milliseconds(r, 0), time.Since(s.startTime))
}

// run counts the run before it works, so that interrupted runs count too. A request
// without an idempotency key may be counted under the query parameter key.
func (s *Server) run(ctx context.Context, r *http.Request, body []byte) ([]byte, error) {
	key := r.Header.Get(headerKey)
	if key == "" {
		key = r.URL.Query().Get("key")
	}
	if key != "" {
		if err := s.runLog.add(key); err != nil {
			return nil, err
		}
	}
	err := sleep.For(ctx, s.workTime(r))
	return body, err
}

func (s *Server) watch(rw http.ResponseWriter, r *http.Request) {
	s.watching.Add(1)
	defer s.watching.Add(-1)
	period := max(milliseconds(r, defaultWatch), time.Millisecond)
	// Agents recognize an endless response by this type.
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	for i := 1; ; i++ {
		if _, err := fmt.Fprintf(rw, "event %d\n", i); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		if sleep.For(r.Context(), period) != nil {
			return
		}
	}
}

func (s *Server) handleRuns(rw http.ResponseWriter, r *http.Request) {
	fmt.Fprint(rw, s.runLog.Count(r.URL.Query().Get("key")))
}

func (s *Server) health(rw http.ResponseWriter, r *http.Request) {
	f := s.currentFaults()
	unhealthy := f.Broken
	switch f.Health {
	case HealthAlwaysUp:
		unhealthy = false
	case HealthAlwaysDown:
		unhealthy = true
	case HealthHang:
		<-r.Context().Done()
		return
	}
	if unhealthy {
		http.Error(rw, "ill", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(rw, "well")
}

// loadReport is the JSON body of the load endpoint.
type loadReport struct {
	Running int64  `json:"running"`
	Slots   uint32 `json:"slots"`
}

func (s *Server) load(rw http.ResponseWriter, _ *http.Request) {
	report := loadReport{Running: s.reportedLoad(), Slots: s.opts.Slots}
	rw.Header().Set("Content-Type", "application/json")
	// Fails only if the client has disconnected.
	_ = json.NewEncoder(rw).Encode(report)
}

func (s *Server) reportedLoad() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.running.Load()
	switch s.faults.Load {
	case LoadIdle:
		return 0
	case LoadFull:
		return int64(s.opts.Slots)
	case LoadStale:
		if s.staleRunning == nil {
			s.staleRunning = &running
		}
		return *s.staleRunning
	}
	return running
}

// writeResponse sends the response, truncated or followed by a stray one if
// requested. Both faults hijack the connection.
func writeResponse(rw http.ResponseWriter, body []byte, truncate, cross bool) {
	if !truncate && !cross {
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// Fails only if the client has disconnected.
		_, _ = rw.Write(body)
		return
	}
	conn, buffer, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		http.Error(rw, "the fault needs HTTP/1.1", http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	if truncate {
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)+1)
		_, _ = buffer.Write(body[:len(body)/2])
		_ = buffer.Flush()
		return
	}
	writeRaw(buffer, body)
	writeRaw(buffer, []byte(strayResponse))
	_ = buffer.Flush()
	// Keep the connection open briefly, so that the client can reuse it.
	_ = conn.SetReadDeadline(time.Now().Add(strayLinger))
	_, _ = conn.Read(make([]byte, 1))
}

func writeRaw(w io.Writer, body []byte) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// milliseconds returns the duration in the query parameter ms.
func milliseconds(r *http.Request, fallback time.Duration) time.Duration {
	n, err := strconv.ParseUint(r.URL.Query().Get("ms"), 10, 31)
	if err != nil {
		return fallback
	}
	return time.Duration(n) * time.Millisecond
}
