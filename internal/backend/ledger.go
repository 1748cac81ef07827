package backend

import (
	"bufio"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// ErrRunLog reports a run log that cannot be read or opened.
var ErrRunLog = errors.New("run log")

const runLogMode = 0o600

// RunLog counts how often each idempotency key began to run. It keeps every
// key: the server is for development and tests. It may be used concurrently.
type RunLog struct {
	mu   sync.Mutex
	runs map[string]int
	log  *os.File
}

// OpenRunLog returns a ledger that writes each run to a file before the run
// begins, and starts with the runs that the file has. The file is not synced:
// it outlives the process, not the host.
func OpenRunLog(path string) (*RunLog, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, runLogMode)
	if err != nil {
		return nil, errors.Wrap(ErrRunLog, err.Error())
	}
	l := &RunLog{runs: map[string]int{}, log: file}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		key, err := strconv.Unquote(lines.Text())
		if err != nil {
			return nil, errors.Wrapf(ErrRunLog, "%s: line %q", path, lines.Text())
		}
		l.runs[key]++
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(ErrRunLog, err.Error())
	}
	return l, nil
}

// add records a run. It fails only if the run could not be written.
func (l *RunLog) add(key string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.log != nil {
		if _, err := l.log.WriteString(strconv.Quote(key) + "\n"); err != nil {
			return errors.Wrap(ErrRunLog, err.Error())
		}
	}
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[key]++
	return nil
}

// Count returns how often the key began to run.
func (l *RunLog) Count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}
