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

// taker keeps what reaches it of a call.
type taker struct {
	Handler
	patch *configpb.Patch
}

func (h *taker) Submit(_ context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	h.patch = p
	return &configpb.Outcome{}, nil
}

func (h *taker) AddLearner(context.Context, string) error { return nil }
func (h *taker) Promote(context.Context, MemberRef) error { return nil }
func (h *taker) Remove(context.Context, MemberRef) error  { return ErrNotApplied }

func (h *taker) Status() *Status { return &Status{} }

// FuzzCall sends bodies to every call that takes one: each gets an answer in
// the documented form, and an unreadable patch reaches nobody.
func FuzzCall(f *testing.F) {
	paths := []string{"/v1/patches", "/v1/members", "/v1/members/promote", "/v1/members/remove"}
	f.Add(0, `{"base":"1","id":"p","operations":[{"putService":{"name":"lodgement","addresses":["127.0.0.1:1"],"slots":4}}]}`)
	f.Add(0, `{"base":-1}`)
	f.Add(0, `{"id":"`+"\xff"+`"}`)
	f.Add(1, `{"address":"127.0.0.1:1"}`)
	f.Add(2, `{"name":"c1","incarnation":"7"}`)
	f.Add(3, `{"name":"c1","unknown":1}`)
	f.Add(3, `[`)
	f.Fuzz(func(t *testing.T, which int, body string) {
		b := &taker{}
		s := &Server{handler: b, scope: tally.NoopScope}
		path := paths[uint(which)%uint(len(paths))]
		w := httptest.NewRecorder()
		s.routes().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		if !json.Valid(w.Body.Bytes()) {
			t.Fatalf("%s: answered %d %q", path, w.Code, w.Body)
		}
		if path != paths[0] {
			return
		}
		var patch configpb.Patch
		readable := protojson.Unmarshal([]byte(body), &patch) == nil
		if readable != (b.patch != nil) || readable && !proto.Equal(&patch, b.patch) {
			t.Fatalf("readable %t, taken %v", readable, b.patch)
		}
	})
}

// FuzzRefusal reads refusals of a control host: without a readable one it is
// not known what became of the call.
func FuzzRefusal(f *testing.F) {
	f.Add([]byte(`{"kind":"not-done","reason":"no leader"}`))
	f.Add([]byte(`{"kind":"not-found"}`))
	f.Add([]byte(`{"kind":7}`))
	f.Add([]byte(`not done`))
	f.Fuzz(func(t *testing.T, data []byte) {
		err := faultError("127.0.0.1:1", data)
		var told faultAnswer
		readable := json.Unmarshal(data, &told) == nil
		if errors.Is(err, ErrNotApplied) && (!readable || told.Kind != faultNotDone) {
			t.Fatalf("%q is taken for a call that changed nothing", data)
		}
		if !errors.Is(err, ErrNotApplied) && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("error of another kind: %v", err)
		}
	})
}
