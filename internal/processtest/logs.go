package processtest

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// logLine is what tests read of a JSON log line.
type logLine struct {
	Message string `json:"msg"`
	Version uint64 `json:"version"`
	Yes     bool   `json:"yes"`
}

// processLog collects what a process writes. It is safe for concurrent use.
type processLog struct {
	mu      sync.Mutex
	partial []byte
	lines   []string
}

// Write takes output of the process and splits it into lines.
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

// count returns how many lines have the message.
func (l *processLog) count(message string) int { return len(l.find(message)) }

// find returns the lines that have the message.
func (l *processLog) find(message string) []logLine {
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

// field returns a field of the last line with the message, if it has it.
func (l *processLog) field(message, name string) string {
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

// text returns all that was written.
func (l *processLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n") + "\n" + string(l.partial)
}
