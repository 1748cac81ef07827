package backend

import (
	"bufio"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// ErrRunLog reports a run log that cannot be opened, read or written.
var ErrRunLog = errors.New("run log")

const runLogFileMode = 0o600

// RunLog counts the runs of each idempotency key. It keeps every key, since the
// server is for development and tests. It is safe for concurrent use.
type RunLog struct {
	mu     sync.Mutex
	counts map[string]int
	log    *os.File
}

// OpenRunLog returns a run log that is appended to a file before each run,
// initialized from the file. Writes are not synced: the log survives a restart of the
// process, not of the host.
func OpenRunLog(path string) (*RunLog, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, runLogFileMode)
	if err != nil {
		return nil, errors.Wrap(ErrRunLog, err.Error())
	}
	l := &RunLog{counts: map[string]int{}, log: file}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		key, err := strconv.Unquote(lines.Text())
		if err != nil {
			return nil, errors.Wrapf(ErrRunLog, "%s: line %q", path, lines.Text())
		}
		l.counts[key]++
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(ErrRunLog, err.Error())
	}
	return l, nil
}

// add records a run. It returns an error if the run could not be written.
func (l *RunLog) add(key string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.log != nil {
		if _, err := l.log.WriteString(strconv.Quote(key) + "\n"); err != nil {
			return errors.Wrap(ErrRunLog, err.Error())
		}
	}
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[key]++
	return nil
}

// Count returns the number of runs of the key.
func (l *RunLog) Count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[key]
}
