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
	headerOutcome = "Request-Outcome"
	headerReason  = "Request-Reason"
	headerTimeOut = "Request-Timeout"
	headerKey     = "Idempotency-Key"
	outcomeNotRun = "not-run"

	maxBody       = 16 << 20
	defaultWatch  = time.Second
	crossLinger   = 200 * time.Millisecond
	strayAnswer   = "an answer to another request"
	retryAfterSec = "1"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /echo", s.working(s.echo))
	mux.HandleFunc("POST /run", s.working(s.run))
	mux.HandleFunc("GET /watch", s.watch)
	mux.HandleFunc("GET /runs", s.countRuns)
	mux.HandleFunc("GET "+healthPath, s.health)
	mux.HandleFunc("GET "+loadPath, s.load)
	return mux
}

// worker does the work of one request and returns its answer. It returns an
// error when ctx ended first.
type worker func(ctx context.Context, r *http.Request, body []byte) ([]byte, error)

// working wraps a worker with admission, deadline and answer faults.
func (s *Server) working(w worker) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		faults := s.currentFaults()
		number := s.work.Add(1)
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
		answer, err := w(ctx, r, body)
		if err == nil && hits(faults.LateEvery, number) {
			err = sleep.For(r.Context(), faults.LateBy)
		}
		if err != nil {
			http.Error(rw, "the deadline passed during the work", http.StatusGatewayTimeout)
			return
		}
		writeAnswer(rw, answer, hits(faults.TruncateEvery, number), hits(faults.CrossEvery, number))
	}
}

// admit takes a slot or returns the reason why the request is not run.
func (s *Server) admit(f Faults) string {
	if from := s.drainFrom.Load(); from != nil && time.Since(*from) > s.opts.DrainGrace {
		s.lateNew.Add(1)
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

// refuse answers a request that was not run. A broken server does not keep to
// the protocol: it answers a plain 500.
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

// deadline is the context of the request, ended by its Request-Timeout.
func deadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(headerTimeOut)
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

// workTime is how long the work of a request takes now.
func (s *Server) workTime(r *http.Request) time.Duration {
	return s.opts.Cold.stretch(milliseconds(r, 0), time.Since(s.began))
}

// run counts before it works: whoever asks later has to learn of a run that
// was cut off in the middle. A request that may be repeated is counted under
// the parameter key.
func (s *Server) run(ctx context.Context, r *http.Request, body []byte) ([]byte, error) {
	key := r.Header.Get(headerKey)
	if key == "" {
		key = r.URL.Query().Get("key")
	}
	if key != "" {
		if err := s.runs.add(key); err != nil {
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
	// By this type an agent knows an answer without an end.
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

func (s *Server) countRuns(rw http.ResponseWriter, r *http.Request) {
	fmt.Fprint(rw, s.runs.Count(r.URL.Query().Get("key")))
}

func (s *Server) health(rw http.ResponseWriter, r *http.Request) {
	f := s.currentFaults()
	ill := f.Broken
	switch f.Health {
	case HealthAlwaysUp:
		ill = false
	case HealthAlwaysDown:
		ill = true
	case HealthHang:
		<-r.Context().Done()
		return
	}
	if ill {
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
	// The poller is gone when this fails.
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
		if s.stale == nil {
			s.stale = &running
		}
		return *s.stale
	}
	return running
}

// writeAnswer sends the answer, cut short or followed by a stray one when a
// fault says so. Both need the bare connection.
func writeAnswer(rw http.ResponseWriter, answer []byte, truncate, cross bool) {
	if !truncate && !cross {
		rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		// The caller is gone when this fails.
		_, _ = rw.Write(answer)
		return
	}
	conn, buffer, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		http.Error(rw, "the fault needs HTTP/1.1", http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	if truncate {
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(answer)+1)
		_, _ = buffer.Write(answer[:len(answer)/2])
		_ = buffer.Flush()
		return
	}
	writeRaw(buffer, answer)
	writeRaw(buffer, []byte(strayAnswer))
	_ = buffer.Flush()
	// Left open for a moment, so that the client may reuse it.
	_ = conn.SetReadDeadline(time.Now().Add(crossLinger))
	_, _ = conn.Read(make([]byte, 1))
}

func writeRaw(w io.Writer, body []byte) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// milliseconds reads the parameter ms.
func milliseconds(r *http.Request, fallback time.Duration) time.Duration {
	n, err := strconv.ParseUint(r.URL.Query().Get("ms"), 10, 31)
	if err != nil {
		return fallback
	}
	return time.Duration(n) * time.Millisecond
}
