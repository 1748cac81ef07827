package processtest

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// logLine holds the fields of a JSON log line that tests check.
type logLine struct {
	Message string `json:"msg"`
	Version uint64 `json:"version"`
	Yes     bool   `json:"yes"`
}

// processLog collects the output of a process. It is safe for concurrent use.
type processLog struct {
	mu      sync.Mutex
	partial []byte
	lines   []string
}

// Write appends output of the process and splits it into lines.
func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, p...)
	for {
		line, rest, found := bytes.Cut(l.partial, []byte{'\n'})
		if !found {
			return len(p), nil
		}
		l.lines = append(l.lines, string(line))
		l.partial = rest
	}
}

// count returns the number of lines with the message.
func (l *processLog) count(message string) int { return len(l.linesWith(message)) }

// linesWith returns the lines with the message.
func (l *processLog) linesWith(message string) []logLine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []logLine
	for _, text := range l.lines {
		var line logLine
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == message {
			found = append(found, line)
		}
	}
	return found
}

// lastField returns a string field of the last line with the message, or "".
func (l *processLog) lastField(message, name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := ""
	for _, text := range l.lines {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) != nil || line["msg"] != message {
			continue
		}
		found, _ = line[name].(string)
	}
	return found
}

// output returns the complete output.
func (l *processLog) output() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n") + "\n" + string(l.partial)
}
