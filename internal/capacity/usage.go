package capacity

import (
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ErrProcFormat tells that a file of /proc doesn't look as expected.
var ErrProcFormat = errors.New("unexpected contents of /proc")

// usage is what a process has used so far.
type usage struct {
	// private is its resident memory now, in bytes, without file, the pages of
	// its binary, which processes on one host share.
	private, file float64
	cpu           time.Duration
}

func usageOf(pid int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return usage{}, errors.Wrap(err, "memory of process")
	}
	u := usage{}
	if u.private, err = parseMemory(string(status), "RssAnon:"); err != nil {
		return usage{}, err
	}
	if u.file, err = parseMemory(string(status), "RssFile:"); err != nil {
		return usage{}, err
	}
	u.cpu, err = cpuOf(filepath.Join(dir, "task"))
	return u, err
}

// parseMemory reads a figure of a status file, in bytes.
func parseMemory(status, field string) (float64, error) {
	for line := range strings.Lines(status) {
		rest, ok := strings.CutPrefix(line, field)
		if !ok {
			continue
		}
		kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
		if err != nil {
			return 0, errors.Wrap(ErrProcFormat, line)
		}
		return kb * 1024, nil
	}
	return 0, errors.Wrap(ErrProcFormat, "no "+field)
}

// cpuOf adds up the processor time of all threads, whose clock is finer than
// the ticks that the process as a whole is shown with. Go hardly ever ends a
// thread, so none is lost.
func cpuOf(tasks string) (time.Duration, error) {
	threads, err := os.ReadDir(tasks)
	if err != nil {
		return 0, errors.Wrap(err, "threads of process")
	}
	var sum time.Duration
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(tasks, thread.Name(), "schedstat"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, errors.Wrap(err, "processor time of thread")
		}
		spent, err := parseSchedstat(string(text))
		if err != nil {
			return 0, err
		}
		sum += spent
	}
	return sum, nil
}

// parseSchedstat reads the time that a thread has run.
func parseSchedstat(text string) (time.Duration, error) {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0, errors.Wrap(ErrProcFormat, "empty schedstat")
	}
	ns, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0, errors.Wrap(ErrProcFormat, text)
	}
	return time.Duration(ns), nil
}

// heap returns the live heap and stacks of this process, in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

var ownPID = os.Getpid()

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// load returns the part of a core that was kept busy, in millionths.
func load(before, after usage, over time.Duration) float64 {
	return micros(after.cpu-before.cpu) / over.Seconds()
}
