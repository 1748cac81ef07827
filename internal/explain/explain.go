// Package explain reads the logs of many processes: it merges the lines that mention one flow,
// backend server, host or version, and tells how long configurations took to be in use.
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

const maxLine = 1 << 20 // bytes

// Line is one log line.
type Line struct {
	// Timestamp is the time by the host's clock; clocks of hosts may differ.
	Timestamp time.Time
	// Host, Role, Level and Message are the fields that every line has.
	Host, Role, Level, Message string
	// Fields are all other fields by name.
	Fields map[string]any
	// File and Number are the log file and the line number, counted from 1.
	File   string
	Number int
}

// Summary counts the lines of all logs.
type Summary struct {
	// Read counts all lines, Skipped those that are not log lines, Matched those that
	// mention the identity.
	Read, Skipped, Matched int
}

// Read returns the lines of a log that mention an identity. Truncated lines and those of
// other programs are skipped and counted. Text before the JSON object of a line is
// ignored.
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
		if !line.mentions(id) {
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
	for name, field := range map[string]*string{"host": &line.Host, "role": &line.Role, "level": &line.Level, "msg": &line.Message} {
		*field, _ = fields[name].(string)
		delete(fields, name)
	}
	if line.Message == "" {
		return Line{}, false
	}
	text, _ := fields["ts"].(string)
	delete(fields, "ts")
	timestamp, err := time.Parse(time.RFC3339Nano, text)
	if err == nil {
		line.Timestamp = timestamp
	}
	return line, true
}

// mentions reports whether the identity is the host, the value of a field, or one end of
// a flow, with or without its port.
func (l *Line) mentions(id string) bool {
	if l.Host == id {
		return true
	}
	for _, value := range l.Fields {
		text := fmt.Sprint(value)
		if text == id || slices.Contains(strings.Split(text, ">"), id) {
			return true
		}
	}
	return slices.ContainsFunc(strings.Split(l.field("flow"), ">"), func(end string) bool { return isAddressOf(end, id) })
}

// isAddressOf reports whether an end of a flow (ip:port) has an address.
func isAddressOf(end, address string) bool {
	ip, port, found := strings.Cut(end, ":")
	if !found || ip != address {
		return false
	}
	_, err := strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Sort sorts lines by time. Lines of equal time keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Timestamp.Compare(b.Timestamp) })
}

// Write writes the lines, each with the time since the first one.
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
		fmt.Fprintf(&b, " %s=%s", name, quoteControl(fmt.Sprint(l.Fields[name])))
	}
	return b.String()
}

// quoteControl quotes a text with control characters, such as the line breaks of joined
// errors.
func quoteControl(text string) string {
	if strings.ContainsFunc(text, unicode.IsControl) {
		return strconv.Quote(text)
	}
	return text
}
