package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/listen"
)

const (
	headerTimeout = 5 * time.Second
	// ioTimeout bounds reading a request and writing its response. It exceeds the
	// longest call.
	ioTimeout   = 30 * time.Second
	idleTimeout = time.Minute
)

// Server serves the API.
type Server struct {
	handler  Handler
	scope    tally.Scope
	listener net.Listener
	http     *http.Server
	wg       conc.WaitGroup
}

// Listen opens the TCP address (ip:port) and serves the API on it.
func Listen(addr string, creds *keys.Credentials, h Handler, log *zap.Logger, scope tally.Scope) (*Server, error) {
	plain, err := listen.TCP(addr)
	if err != nil {
		return nil, errors.Wrap(err, "open operator address")
	}
	s := &Server{handler: h, scope: scope.SubScope("operator")}
	config := creds.ServerTLS(keys.RoleOperator)
	config.NextProtos = []string{"http/1.1"}
	s.listener = tls.NewListener(plain, config)
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       ioTimeout,
		WriteTimeout:      ioTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          stdlog.New(newErrorLogWriter(s.scope, log), "", 0),
	}
	s.wg.Go(func() { _ = s.http.Serve(s.listener) })
	return s, nil
}

// Addr returns the listen address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Shutdown stops the server and waits for active calls until the context is done.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	s.wg.Wait()
	return err
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/patches", s.submit)
	mux.HandleFunc("GET /v1/patches/{id...}", s.outcome)
	mux.HandleFunc("GET /v1/config", s.config)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("POST /v1/evacuations", s.evacuate)
	mux.HandleFunc("POST /v1/members", s.addLearner)
	mux.HandleFunc("POST /v1/members/promote", s.promote)
	mux.HandleFunc("POST /v1/members/remove", s.remove)
	mux.HandleFunc("POST /v1/grants/retention", s.setRetention)
	return mux
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	var p configpb.Patch
	if !s.readProto(w, r, &p) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), SubmitTimeout)
	defer cancel()
	out, err := s.handler.Submit(ctx, &p)
	s.writeOutcome(w, out, err)
}

func (s *Server) outcome(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), ReadTimeout)
	defer cancel()
	out, err := s.handler.Outcome(ctx, r.PathValue("id"))
	s.writeOutcome(w, out, err)
}

func (s *Server) writeOutcome(w http.ResponseWriter, out *configpb.Outcome, err error) {
	if err != nil {
		s.writeError(w, err)
		return
	}
	data, err := protojson.Marshal(out)
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.scope.Tagged(map[string]string{"verdict": out.GetVerdict().String()}).Counter("outcomes").Inc(1)
	writeResponse(w, http.StatusOK, &outcomeResponse{Outcome: data})
}

func (s *Server) config(w http.ResponseWriter, r *http.Request) {
	version := uint64(0)
	if text := r.URL.Query().Get("version"); text != "" {
		var err error
		if version, err = strconv.ParseUint(text, 10, 64); err != nil {
			s.writeError(w, errors.Wrap(ErrNotApplied, "version is no number"))
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), ReadTimeout)
	defer cancel()
	cfg, confirmed, err := s.handler.Config(ctx, version)
	if err != nil {
		s.writeError(w, err)
		return
	}
	data, err := protojson.Marshal(cfg)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeResponse(w, http.StatusOK, &configResponse{Config: data, Confirmed: confirmed})
}

func (s *Server) evacuate(w http.ResponseWriter, r *http.Request) {
	var o configpb.EvacuationOrder
	if !s.readProto(w, r, &o) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), SubmitTimeout)
	defer cancel()
	out, err := s.handler.Evacuate(ctx, &o)
	if err != nil {
		s.writeError(w, err)
		return
	}
	data, err := protojson.Marshal(out)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeResponse(w, http.StatusOK, &outcomeResponse{Outcome: data})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, s.handler.Status())
}

func (s *Server) addLearner(w http.ResponseWriter, r *http.Request) {
	var req addLearnerRequest
	if !s.readJSON(w, r, &req) {
		return
	}
	s.applyChange(w, r, func(ctx context.Context) error { return s.handler.AddLearner(ctx, req.Address) })
}

func (s *Server) promote(w http.ResponseWriter, r *http.Request) {
	var m MemberRef
	if !s.readJSON(w, r, &m) {
		return
	}
	s.applyChange(w, r, func(ctx context.Context) error { return s.handler.Promote(ctx, m) })
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var m MemberRef
	if !s.readJSON(w, r, &m) {
		return
	}
	s.applyChange(w, r, func(ctx context.Context) error { return s.handler.Remove(ctx, m) })
}

func (s *Server) setRetention(w http.ResponseWriter, r *http.Request) {
	var retention Retention
	if !s.readJSON(w, r, &retention) {
		return
	}
	s.applyChange(w, r, func(ctx context.Context) error { return s.handler.SetRetention(ctx, retention) })
}

func (s *Server) applyChange(w http.ResponseWriter, r *http.Request, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(r.Context(), MembershipTimeout)
	defer cancel()
	if err := f(ctx); err != nil {
		s.writeError(w, err)
		return
	}
	writeResponse(w, http.StatusOK, s.handler.Status())
}

func (s *Server) readProto(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBody))
	if err == nil {
		err = protojson.Unmarshal(data, m)
	}
	return s.checkBody(w, err)
}

func (s *Server) readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBody))
	d.DisallowUnknownFields()
	return s.checkBody(w, d.Decode(v))
}

// checkBody responds with an error if the body could not be read, and reports whether
// it was.
func (s *Server) checkBody(w http.ResponseWriter, err error) bool {
	if err == nil {
		return true
	}
	s.writeError(w, errors.Wrapf(ErrNotApplied, "unreadable call: %v", err))
	return false
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	kind, code := classifyError(err)
	s.scope.Tagged(map[string]string{"reason": string(kind)}).Counter("faults").Inc(1)
	writeResponse(w, code, &errorResponse{Kind: kind, Reason: err.Error()})
}

func classifyError(err error) (errorKind, int) {
	switch {
	case errors.Is(err, ErrPartiallyApplied):
		return errorPartiallyApplied, http.StatusServiceUnavailable
	case errors.Is(err, ErrRefused):
		return errorRefused, http.StatusConflict
	case errors.Is(err, ErrNotApplied):
		return errorNotApplied, http.StatusServiceUnavailable
	case errors.Is(err, ErrNotFound):
		return errorNotFound, http.StatusNotFound
	}
	return errorOutcomeUnknown, http.StatusGatewayTimeout
}

func writeResponse(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The client notices a failed write as a truncated response.
	_ = json.NewEncoder(w).Encode(v)
}
