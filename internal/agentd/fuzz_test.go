package agentd

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

// FuzzReadAnnouncement checks that an accepted announcement has all required fields.
func FuzzReadAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"lodgement","target":"l-1","url":"http://127.0.0.1:1","slots":4,"state":"serving"}`))
	f.Add([]byte(`{"service":"s","target":"t","url":"http://h","state":"draining","health_path":"/h","watch_paths":["/w"]}`))
	f.Add([]byte(`{"service":"s","target":"t","url":"http://h","state":"serving","load_path":"no slash"}`))
	f.Add([]byte(`{"service":"s","target":"t","url":"https://h","state":"serving"}`))
	f.Add([]byte(`{"slots":-1}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := readAnnouncement(bytes.NewReader(data))
		if err != nil {
			return
		}
		complete := a.Service != "" && a.Target != "" && a.base != nil && a.base.Host != ""
		known := a.State == backendServing || a.State == backendDraining
		if !complete || !known || len(a.WatchPaths) == 0 || len(a.WatchPaths) > maxWatchPaths {
			t.Fatalf("accepted %+v", a)
		}
		for _, path := range a.WatchPaths {
			if path != "" && !strings.HasPrefix(path, "/") {
				t.Fatalf("accepted the watch path %q", path)
			}
		}
	})
}

// FuzzReadLoad checks that accepted load reports are within range.
func FuzzReadLoad(f *testing.F) {
	f.Add([]byte(`{"running":3,"slots":4}`))
	f.Add([]byte(`{"running":-1}`))
	f.Add([]byte(`{"running":9223372036854775807}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		running, err := readLoad(data)
		if err == nil && (running < 0 || running > maxReportedRunning) {
			t.Fatalf("accepted %d running", running)
		}
	})
}

// FuzzProtocolHeaders checks the parsing of timeouts, idempotency keys and retry
// delays.
func FuzzProtocolHeaders(f *testing.F) {
	f.Add("250", "key", "1")
	f.Add("0", "", "-1")
	f.Add("-5", strings.Repeat("k", maxKeyBytes+1), "65536")
	f.Add("99999999999999999999", "\x00", "Fri, 01 Jan 2027 00:00:00 GMT")
	f.Add("1e3", " ", "0")
	f.Fuzz(func(t *testing.T, timeout, key, retryAfter string) {
		if wait := readRetryAfter(http.Header{headerRetryAfter: {retryAfter}}); wait < 0 || wait > 1<<16*time.Second {
			t.Fatalf("retry after %v", wait)
		}
		r := httptest.NewRequest(http.MethodPost, "/run", nil)
		r.Header[headerTimeout] = []string{timeout}
		r.Header[headerKey] = []string{key}
		began := time.Now()
		c, why := newCall(r, nil, time.Second)
		if (c == nil) != (why != reason.None) {
			t.Fatalf("call %v with reason %v", c, why)
		}
		if c == nil {
			return
		}
		defer c.end()
		if c.deadline.Before(began) || c.deadline.After(time.Now().Add(maxTimeout)) {
			t.Fatalf("deadline in %v", time.Until(c.deadline))
		}
		if c.key == "" || len(c.key) > maxKeyBytes || c.key != key {
			t.Fatalf("key %q became %q", key, c.key)
		}
	})
}
