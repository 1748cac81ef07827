package agentd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// controlMode is the behavior of the fake control hosts.
type controlMode int32

const (
	controlUp controlMode = iota
	// controlDown fails each call before it is sent.
	controlDown
	// controlLosesReplies applies commands without replying.
	controlLosesReplies
)

// fakeControl implements the control hosts.
type fakeControl struct {
	mode atomic.Int32

	mu           sync.Mutex
	numbers      map[string]uint32
	incarnations map[string]uint32
	records      map[string]*grantpb.Record
	commands     []*grantpb.Command
	// table is the digest of the slot table, 0 if replies do not contain one.
	table         uint64
	groups        uint32
	beforeCommand func(*grantpb.Command) // called before a command is applied
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		numbers:       map[string]uint32{},
		incarnations:  map[string]uint32{},
		records:       map[string]*grantpb.Record{},
		beforeCommand: func(*grantpb.Command) {},
	}
}

func (f *fakeControl) set(mode controlMode) { f.mode.Store(int32(mode)) }

// connected reports whether the agent has a connection.
func (f *fakeControl) connected() bool { return controlMode(f.mode.Load()) != controlDown }

// Call implements controlClient.
func (f *fakeControl) Call(ctx context.Context, req *controlpb.Request) (*controlpb.Response, error) {
	mode := controlMode(f.mode.Load())
	f.mu.Lock()
	f.commands = append(f.commands, req.GetGrant())
	beforeCommand := f.beforeCommand
	f.mu.Unlock()
	beforeCommand(req.GetGrant())
	if mode == controlDown {
		return nil, link.ErrNotSent
	}
	res := f.apply(req)
	if mode == controlLosesReplies {
		<-ctx.Done()
		return nil, link.ErrOutcomeUnknown
	}
	return res, nil
}

func (f *fakeControl) apply(req *controlpb.Request) *controlpb.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &controlpb.Response{Body: &controlpb.Response_Grant{Grant: f.grant(req.GetGrant())}}
}

func (f *fakeControl) register(request *configpb.RegisterTarget) *configpb.Registration {
	if f.numbers[request.GetTarget()] == 0 {
		f.numbers[request.GetTarget()] = uint32(len(f.numbers) + 1)
	}
	f.incarnations[request.GetTarget()]++
	return &configpb.Registration{
		ServiceNumber: 1,
		TargetNumber:  f.numbers[request.GetTarget()],
		Incarnation:   f.incarnations[request.GetTarget()],
	}
}

func (f *fakeControl) grant(command *grantpb.Command) *grantpb.Result {
	result := &grantpb.Result{Decision: grantpb.Decision_DECISION_TABLE}
	if command.GetTable() == 0 || command.GetTable() == f.table {
		result = f.decide(command)
	}
	result.Table, result.Groups = f.table, f.groups
	return result
}

func (f *fakeControl) decide(command *grantpb.Command) *grantpb.Result {
	switch body := command.GetBody().(type) {
	case *grantpb.Command_Acquire:
		return f.acquire(body.Acquire)
	case *grantpb.Command_Complete:
		record := f.records[body.Complete.GetKey()]
		if record == nil || !bytes.Equal(record.GetAttempt(), body.Complete.GetAttempt()) {
			return &grantpb.Result{}
		}
		record.Answer = body.Complete.GetAnswer()
		return &grantpb.Result{Taken: true}
	case *grantpb.Command_Release:
		record := f.records[body.Release.GetKey()]
		if record == nil || !bytes.Equal(record.GetAttempt(), body.Release.GetAttempt()) {
			return &grantpb.Result{}
		}
		delete(f.records, body.Release.GetKey())
		return &grantpb.Result{Taken: true}
	}
	return &grantpb.Result{}
}

func (f *fakeControl) acquire(request *grantpb.Acquire) *grantpb.Result {
	record := f.records[request.GetKey()]
	switch {
	case record == nil:
		f.records[request.GetKey()] = &grantpb.Record{Key: request.GetKey(), Attempt: request.GetAttempt(), Digest: request.GetDigest()}
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_GRANTED}
	case !bytes.Equal(record.GetDigest(), request.GetDigest()):
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_MISMATCH}
	case record.GetAnswer() != nil:
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_ANSWERED, Answer: record.GetAnswer()}
	case bytes.Equal(record.GetAttempt(), request.GetAttempt()):
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_GRANTED}
	default:
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_HELD}
	}
}

// acquireCount returns the number of calls to acquire the grant of a key.
func (f *fakeControl) acquireCount(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, command := range f.commands {
		if command.GetAcquire().GetKey() == key {
			n++
		}
	}
	return n
}

func (f *fakeControl) record(key string) *grantpb.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.records[key]
	if record == nil {
		return nil
	}
	return proto.CloneOf(record)
}

// fakeAnnouncer is the announcer of one agent.
type fakeAnnouncer struct {
	mu           sync.Mutex
	registered   chan struct{}
	registration *configpb.Registration
	record       *controlpb.TargetRecord
	restarts     int
}

// startAnnouncer returns the function that a daemon calls to announce its target.
func (f *fakeAnnouncer) startAnnouncer(control *fakeControl) func(announcerOptions) announcer {
	return func(e announcerOptions) announcer {
		control.mu.Lock()
		got := control.register(&configpb.RegisterTarget{Service: e.service, Target: e.target, Process: e.process})
		control.mu.Unlock()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.registered = make(chan struct{})
		close(f.registered)
		f.registration = got
		f.record = &controlpb.TargetRecord{
			Service: got.GetServiceNumber(), Number: got.GetTargetNumber(), Incarnation: got.GetIncarnation(),
			Name: e.target, Address: e.address, FailureDomain: e.failureDomain,
		}
		f.apply(e.status)
		return f
	}
}

func (f *fakeAnnouncer) apply(status subscriber.Status) {
	f.record = proto.CloneOf(f.record)
	f.record.Sequence++
	f.record.State = status.State
	f.record.Ill = status.Ill
	f.record.Slots = status.Slots
}

func (f *fakeAnnouncer) Registered() <-chan struct{} { return f.registered }

func (f *fakeAnnouncer) Registration() *configpb.Registration { return f.registration }

func (f *fakeAnnouncer) Update(status subscriber.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(status)
}

func (f *fakeAnnouncer) Restarted(time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restarts++
}

func (f *fakeAnnouncer) WaitAnnounced(context.Context) error { return nil }

func (f *fakeAnnouncer) Close() {}

// last returns the last announced record, nil before the first one.
func (f *fakeAnnouncer) last() *controlpb.TargetRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record
}

// fakeBackend is a backend server with faults that a test selects by path.
type fakeBackend struct {
	server         *httptest.Server
	mu             sync.Mutex
	runs           map[string]int
	requestHeaders []http.Header
	cancelled      atomic.Int64
	running        atomic.Int64
	refuseNext     atomic.Int64
	events         chan string
	unblock        chan struct{}
}

func newFakeBackend(t *testing.T) *fakeBackend {
	t.Helper()
	b := &fakeBackend{runs: map[string]int{}, events: make(chan string, 16), unblock: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/echo", b.echo)
	mux.HandleFunc("/run", b.run)
	mux.HandleFunc("/watch", b.watch)
	mux.HandleFunc("/hold", b.blockUntilReleased)
	mux.HandleFunc("/large", b.large)
	mux.HandleFunc("/cut", b.truncated)
	mux.HandleFunc("/crossed", b.mismatched)
	mux.HandleFunc("/twice", b.duplicated)
	mux.HandleFunc("/undelimited", b.undelimited)
	mux.HandleFunc("/reset", b.reset)
	mux.HandleFunc("/status", b.status)
	b.server = httptest.NewServer(mux)
	t.Cleanup(b.server.Close)
	return b
}

// newBenchBackend returns the URL of a backend server that responds immediately.
func newBenchBackend(b *testing.B) string {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "x")
	}))
	b.Cleanup(server.Close)
	return server.URL
}

func (b *fakeBackend) recordRequest(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestHeaders = append(b.requestHeaders, r.Header.Clone())
	b.runs[r.Header.Get(headerKey)]++
}

func (b *fakeBackend) runCount(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

func (b *fakeBackend) lastHeader() http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requestHeaders[len(b.requestHeaders)-1]
}

func (b *fakeBackend) echo(w http.ResponseWriter, r *http.Request) {
	if b.refuseNext.Add(-1) >= 0 {
		w.Header().Set(headerOutcome, notRun)
		w.Header().Set(headerRetryAfter, "3")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.recordRequest(r)
	w.Header().Set("Content-Type", "text/x-echo")
	w.Header().Set(headerOutcome, "forged")
	_, _ = io.Copy(w, r.Body)
	_, _ = io.WriteString(w, r.URL.Query().Get("text"))
}

func (b *fakeBackend) run(w http.ResponseWriter, r *http.Request) {
	b.recordRequest(r)
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Content-Type", "text/x-run")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "ran %s", body)
}

func (b *fakeBackend) watch(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	for {
		select {
		case event := <-b.events:
			_, _ = io.WriteString(w, event+"\n")
			_ = control.Flush()
		case <-r.Context().Done():
			b.cancelled.Add(1)
			return
		}
	}
}

// blockUntilReleased responds once the test closes unblock.
func (b *fakeBackend) blockUntilReleased(w http.ResponseWriter, r *http.Request) {
	b.recordRequest(r)
	b.running.Add(1)
	defer b.running.Add(-1)
	select {
	case <-b.unblock:
		_, _ = io.WriteString(w, "held")
	case <-r.Context().Done():
		b.cancelled.Add(1)
	}
}

func (b *fakeBackend) large(w http.ResponseWriter, r *http.Request) {
	b.recordRequest(r)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	_, _ = w.Write(bytes.Repeat([]byte("x"), size))
}

// truncated responds with fewer bytes than declared, or with a truncated chunk.
func (b *fakeBackend) truncated(w http.ResponseWriter, r *http.Request) {
	b.recordRequest(r)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	head := fmt.Sprintf("Content-Length: %d\r\n\r\n", size+1)
	if r.URL.Query().Get("chunked") != "" {
		head = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size+1)
	}
	writeRaw(w, "HTTP/1.1 200 OK\r\n"+head+string(bytes.Repeat([]byte("y"), size)))
}

func (b *fakeBackend) mismatched(w http.ResponseWriter, r *http.Request) {
	b.recordRequest(r)
	writeRaw(w, "HTTP/1.1 200 OK\r\nRequest-ID: of-another\r\nContent-Length: 5\r\n\r\nother")
}

// duplicated sends a second, unsolicited response after its response.
func (b *fakeBackend) duplicated(w http.ResponseWriter, r *http.Request) {
	b.recordRequest(r)
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" +
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
	_ = buffer.Flush()
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
}

func (b *fakeBackend) undelimited(w http.ResponseWriter, r *http.Request) {
	b.recordRequest(r)
	writeRaw(w, "HTTP/1.1 200 OK\r\n\r\nsome of it")
}

func (b *fakeBackend) reset(w http.ResponseWriter, r *http.Request) {
	b.recordRequest(r)
	writeRaw(w, "")
}

func (b *fakeBackend) status(w http.ResponseWriter, r *http.Request) {
	b.recordRequest(r)
	code, _ := strconv.Atoi(r.URL.Query().Get("code"))
	w.WriteHeader(code)
}

func writeRaw(w http.ResponseWriter, text string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	_ = conn.Close()
}

// announceState posts an announcement like a backend server.
func (a *agent) announceState(t *testing.T, target, url, state string) {
	t.Helper()
	if code := a.announceRaw(t, announcement{
		Service: testService, Target: target, URL: url, Slots: 4, State: backendState(state),
	}); code != http.StatusOK {
		t.Fatalf("announcement status %d", code)
	}
}

func (a *agent) announceRaw(t *testing.T, ann announcement) int {
	t.Helper()
	body, err := json.Marshal(ann)
	must(t, err)
	res, err := http.Post("http://"+a.AnnounceAddr()+"/announce", "application/json", bytes.NewReader(body))
	must(t, err)
	_ = res.Body.Close()
	return res.StatusCode
}

// callerResponse is a complete response as received by a caller.
type callerResponse struct {
	status int
	header http.Header
	body   string
}

// send sends a request and reads the complete response.
func send(client *http.Client, method, url string, body string, headers ...string) (callerResponse, error) {
	return sendWith(context.Background(), client, method, url, body, headers...)
}

// inFlight is a request without a response yet.
type inFlight struct {
	response chan callerResponse
	errs     chan error
}

// start sends a request in the background.
func start(ctx context.Context, client *http.Client, method, url string, headers ...string) inFlight {
	f := inFlight{response: make(chan callerResponse, 1), errs: make(chan error, 1)}
	go func() {
		response, err := sendWith(ctx, client, method, url, "", headers...)
		f.response <- response
		f.errs <- err
	}()
	return f
}

// startHeldRequest starts a request of the first caller that blocks at the backend
// server, and waits until it is the only one running there.
func (b *fakeBackend) startHeldRequest(ctx context.Context, t *testing.T, tc *testCluster, method string, headers ...string) inFlight {
	t.Helper()
	f := start(ctx, tc.client, method, tc.url("/hold"), headers...)
	eventually(t, "running request", func() bool { return b.running.Load() == 1 })
	return f
}

func sendWith(ctx context.Context, client *http.Client, method, url string, body string, headers ...string) (callerResponse, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return callerResponse{}, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := client.Do(req)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return callerResponse{status: res.StatusCode, header: res.Header, body: string(data)}, err
}

func mustSend(t *testing.T, client *http.Client, method, url string, body string, headers ...string) callerResponse {
	t.Helper()
	got, err := send(client, method, url, body, headers...)
	must(t, err)
	return got
}
