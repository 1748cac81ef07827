package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/explain"
)

const entryLog = `  36.3594 frontend-1 {"level":"info","ts":"2026-04-10T23:29:04.500Z","msg":"flow placed","host":"frontend-1","role":"entry","flow":"100.64.0.7:40001>198.18.0.1:443","reason":"placed","to":"10.1.0.11:8172","revision":13}
panic: not a log line
{"level":"info","ts":"2026-04-10T23:29:04.900Z","msg":"flow reset","host":"frontend-1","role":"entry","flow":"100.64.0.9:40001>198.18.0.1:443","reason":"no_target"}
{"level":"info","ts":"2026-04-10T23:29:05.000Z","msg":"flow res`

const agentLog = `{"level":"info","ts":"2026-04-10T23:29:04.400Z","msg":"backend server","host":"side-1","role":"agent","server":"i-1"}
{"level":"info","ts":"2026-04-10T23:29:04.501Z","msg":"flow placed","host":"side-1","role":"agent","flow":"100.64.0.7:40001>198.18.0.1:443","reason":"placed","load_permille":250}
`

func readLogs(t *testing.T, id string) (string, explain.Summary) {
	t.Helper()
	is := is.New(t)
	var sum explain.Summary
	var all []explain.Line
	for name, text := range map[string]string{"agent.log": agentLog, "entry.log": entryLog} {
		lines, err := explain.Read(name, strings.NewReader(text), id, &sum)
		is.NoErr(err)
		all = append(all, lines...)
	}
	explain.Sort(all)
	var out bytes.Buffer
	is.NoErr(explain.Write(&out, all))
	return out.String(), sum
}

func TestLinesOfAFlow(t *testing.T) {
	is := is.New(t)
	text, sum := readLogs(t, "100.64.0.7:40001")
	lines := strings.Split(strings.TrimSpace(text), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "frontend-1"))
	is.True(strings.Contains(lines[0], "to=10.1.0.11:8172"))
	is.True(strings.Contains(lines[1], "side-1"))
	is.Equal(sum, explain.Summary{Read: 6, Skipped: 2, Matched: 2}) // skipped: a truncated line and another program's
}

func TestLinesOfAVersion(t *testing.T) {
	is := is.New(t)
	text, _ := readLogs(t, "13")
	is.True(strings.Contains(text, "revision=13"))
	_, sum := readLogs(t, "1")
	is.Equal(sum.Matched, 0) // a part of a value does not match
}

// An error text of several lines is written on one line.
func TestControlCharactersAreQuoted(t *testing.T) {
	is := is.New(t)
	const log = `{"level":"info","ts":"2026-04-10T23:29:04.500Z","msg":"configuration change not confirmed","host":"c","role":"control","revision":26,"error":"unknown\nlost"}`
	var sum explain.Summary
	lines, err := explain.Read("c.log", strings.NewReader(log), "26", &sum)
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(explain.Write(&out, lines))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `error="unknown\nlost"`))
}
