// Package explain puts the log lines of many processes that concern one flow, backend
// server or version together, in order.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/go-faster/errors"
)

// maxLine bounds a line that is read, in bytes.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	// Timestamp is the time by the clock of its host. Clocks of hosts may differ.
	Timestamp time.Time
	// Host, Role, Level and Message are what every line has.
	Host, Role, Level, Message string
	// Fields are all others, by name.
	Fields map[string]any
	// File is where it was read, Number its place there.
	File   string
	Number int
}

// Summary counts what was read.
type Summary struct {
	// Read lines, Skipped over because they are no JSON object, and Matched.
	Read, Skipped, Matched int
}

// Read returns the lines of a log that concern an identity. Lines that are torn or that
// another program wrote are passed over and counted; what stands before a JSON object
// in its line is ignored.
func Read(name string, r io.Reader, id string, sum *Summary) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var out []Line
	for number := 1; scanner.Scan(); number++ {
		sum.Read++
		line, ok := parse(scanner.Bytes())
		if !ok {
			sum.Skipped++
			continue
		}
		if !line.concerns(id) {
			continue
		}
		sum.Matched++
		line.File, line.Number = name, number
		out = append(out, line)
	}
	if err := scanner.Err(); err != nil {
		return out, errors.Wrap(err, name)
	}
	return out, nil
}

// parse reads a line.
func parse(b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(b[start:]))
	decoder.UseNumber()
	var fields map[string]any
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	for name, to := range map[string]*string{"host": &line.Host, "role": &line.Role, "level": &line.Level, "msg": &line.Message} {
		*to, _ = fields[name].(string)
		delete(fields, name)
	}
	if line.Message == "" {
		return Line{}, false
	}
	text, _ := fields["ts"].(string)
	delete(fields, "ts")
	at, err := time.Parse(time.RFC3339Nano, text)
	if err == nil {
		line.Timestamp = at
	}
	return line, true
}

// concerns reports whether a field has the identity as its value, or as one end of a
// flow.
func (l *Line) concerns(id string) bool {
	if l.Host == id {
		return true
	}
	for _, value := range l.Fields {
		text := fmt.Sprint(value)
		if text == id || slices.Contains(strings.Split(text, ">"), id) {
			return true
		}
	}
	return false
}

// Sort puts lines in the order of their time; lines of one file stay in theirs.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Timestamp.Compare(b.Timestamp) })
}

// Write prints the lines, each with the time since the first one.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s +%8.3fs  %-24s %-8s %-5s %s%s\n", l.Timestamp.Format("15:04:05.000"),
			l.Timestamp.Sub(lines[0].Timestamp).Seconds(), l.Host, l.Role, l.Level, l.Message, l.details()); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

func (l *Line) details() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, oneLine(fmt.Sprint(l.Fields[name])))
	}
	return b.String()
}

// oneLine quotes a text that would break the line: errors joined from several have
// line breaks.
func oneLine(text string) string {
	if strings.ContainsFunc(text, unicode.IsControl) {
		return strconv.Quote(text)
	}
	return text
}
