package explain_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/explain"
)

const controlLogs = `{"ts":"2026-04-10T23:29:05.000Z","msg":"configuration accepted","host":"c-1","role":"control","revision":7,"active_revision":7}
{"ts":"2026-04-10T23:29:05.100Z","msg":"configuration accepted","host":"c-2","role":"control","revision":7,"active_revision":7}
{"ts":"2026-04-10T23:29:06.000Z","msg":"configuration accepted","host":"c-1","role":"control","revision":6,"active_revision":9}
not a log line
`

const entryLogs = `{"ts":"2026-04-10T23:29:00.000Z","msg":"start","host":"e-1","role":"entry"}
{"ts":"2026-04-10T23:29:05.020Z","msg":"routes applied","host":"e-1","role":"entry","revision":7}
{"ts":"2026-04-10T23:29:06.010Z","msg":"routes applied","host":"e-1","role":"entry","revision":9}
{"ts":"2026-04-10T23:29:00.000Z","msg":"start","host":"late","role":"entry"}
{"ts":"2026-04-10T23:29:08.500Z","msg":"routes applied","host":"late","role":"entry","revision":9}
{"ts":"2026-04-10T23:29:00.000Z","msg":"start","host":"old","role":"entry"}
{"ts":"2026-04-10T23:29:04.900Z","msg":"routes applied","host":"old","role":"entry","revision":8}
{"ts":"2026-04-10T23:29:00.000Z","msg":"start","host":"restarted","role":"entry"}
{"ts":"2026-04-10T23:29:07.000Z","msg":"start","host":"restarted","role":"entry"}
{"ts":"2026-04-10T23:29:09.000Z","msg":"routes applied","host":"restarted","role":"entry","revision":9}
{"ts":"2026-04-10T23:29:05.500Z","msg":"start","host":"new","role":"entry"}
{"ts":"2026-04-10T23:29:06.100Z","msg":"routes applied","host":"new","role":"entry","revision":9}
{"ts":"2026-04-10T23:29:05.001Z","msg":"configuration version in use","host":"side-1","role":"agent","version":3}
`

func activations(t *testing.T) ([]explain.Activation, explain.Summary) {
	t.Helper()
	is := is.New(t)
	var a explain.Activations
	var sum explain.Summary
	is.NoErr(a.Read("control.log", strings.NewReader(controlLogs), &sum))
	is.NoErr(a.Read("entry.log", strings.NewReader(entryLogs), &sum))
	return a.List(), sum
}

func TestActivations(t *testing.T) {
	is := is.New(t)
	all, sum := activations(t)
	is.Equal(len(all), 2)
	is.Equal(sum, explain.Summary{Read: 17, Skipped: 1, Matched: 15})

	// A later revision counts as well; the restarted host and the new one do not count.
	is.Equal(all[0].Revision, uint64(7))
	is.Equal(all[0].AcceptedBy, "c-1")
	is.Equal(all[0].Hosts, 3)
	is.Equal(all[0].LastHost, "late")
	is.Equal(all[0].Lag, 3500*time.Millisecond)
	is.Equal(len(all[0].Missing), 0)

	// The acknowledgement of an older one names the revision in force.
	is.Equal(all[1].Revision, uint64(9))
	is.Equal(all[1].Hosts, 4)
	is.Equal(all[1].Lag, 2500*time.Millisecond)
	is.Equal(all[1].Missing, []string{"old"})
}

func TestWriteActivations(t *testing.T) {
	is := is.New(t)
	all, _ := activations(t)
	var out bytes.Buffer
	is.NoErr(explain.WriteActivations(&out, all))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.HasSuffix(lines[1], "late  not used by old"))
	is.Equal(lines[2], "longest: 3.500s, revision 7 at late")

	out.Reset()
	is.NoErr(explain.WriteActivations(&out, nil))
	is.Equal(out.String(), "")
}
