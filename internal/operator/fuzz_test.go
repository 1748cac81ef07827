package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// recordingHandler records the submitted patch.
type recordingHandler struct {
	Handler
	patch *configpb.Patch
}

func (h *recordingHandler) Submit(_ context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	h.patch = p
	return &configpb.Outcome{}, nil
}

func (h *recordingHandler) AddLearner(context.Context, string) error { return nil }
func (h *recordingHandler) Promote(context.Context, MemberRef) error { return nil }
func (h *recordingHandler) Remove(context.Context, MemberRef) error  { return ErrNotApplied }

func (h *recordingHandler) Status() *Status { return &Status{} }

// Every body gets a valid JSON response, and an invalid patch does not reach the
// handler.
func FuzzRequestBody(f *testing.F) {
	paths := []string{"/v1/patches", "/v1/members", "/v1/members/promote", "/v1/members/remove"}
	f.Add(0, `{"base":"1","id":"p","operations":[{"putService":{"name":"lodgement","addresses":["127.0.0.1:1"],"slots":4}}]}`)
	f.Add(0, `{"base":-1}`)
	f.Add(0, `{"id":"`+"\xff"+`"}`)
	f.Add(1, `{"address":"127.0.0.1:1"}`)
	f.Add(2, `{"name":"c1","incarnation":"7"}`)
	f.Add(3, `{"name":"c1","unknown":1}`)
	f.Add(3, `[`)
	f.Fuzz(func(t *testing.T, which int, body string) {
		h := &recordingHandler{}
		s := &Server{handler: h, scope: tally.NoopScope}
		path := paths[uint(which)%uint(len(paths))]
		w := httptest.NewRecorder()
		s.routes().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		if !json.Valid(w.Body.Bytes()) {
			t.Fatalf("%s: response %d %q", path, w.Code, w.Body)
		}
		if path != paths[0] {
			return
		}
		var patch configpb.Patch
		readable := protojson.Unmarshal([]byte(body), &patch) == nil
		if readable != (h.patch != nil) || readable && !proto.Equal(&patch, h.patch) {
			t.Fatalf("readable %t, received %v", readable, h.patch)
		}
	})
}

// The outcome of a call is unknown unless the response has a known kind of error.
func FuzzErrorResponse(f *testing.F) {
	f.Add([]byte(`{"kind":"not-done","reason":"no leader"}`))
	f.Add([]byte(`{"kind":"not-found"}`))
	f.Add([]byte(`{"kind":7}`))
	f.Add([]byte(`not done`))
	f.Fuzz(func(t *testing.T, data []byte) {
		err := responseError("127.0.0.1:1", data)
		var response errorResponse
		readable := json.Unmarshal(data, &response) == nil
		if errors.Is(err, ErrNotApplied) && (!readable || response.Kind != errorNotApplied) {
			t.Fatalf("%q must not be ErrNotApplied", data)
		}
		if !errors.Is(err, ErrNotApplied) && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("unexpected error: %v", err)
		}
	})
}
