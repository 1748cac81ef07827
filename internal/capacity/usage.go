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

// ErrProcFormat reports a file in /proc with an unexpected format.
var ErrProcFormat = errors.New("unexpected format of a file in /proc")

// usage is the resource usage of a process.
type usage struct {
	// private is the resident anonymous memory and file the resident mapped files,
	// which processes share, both in bytes.
	private, file float64
	cpu           time.Duration
}

func processUsage(pid int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return usage{}, errors.Wrap(err, "read process memory")
	}
	u := usage{}
	if u.private, err = parseMemory(string(status), "RssAnon:"); err != nil {
		return usage{}, err
	}
	if u.file, err = parseMemory(string(status), "RssFile:"); err != nil {
		return usage{}, err
	}
	u.cpu, err = cpuTime(filepath.Join(dir, "task"))
	return u, err
}

// parseMemory returns a field of a status file, in bytes.
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

// cpuTime returns the sum of the processor time of all threads, which is more
// precise than the ticks of the process. Exited threads do not count; Go rarely
// ends threads.
func cpuTime(tasks string) (time.Duration, error) {
	threads, err := os.ReadDir(tasks)
	if err != nil {
		return 0, errors.Wrap(err, "list process threads")
	}
	var sum time.Duration
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(tasks, thread.Name(), "schedstat"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, errors.Wrap(err, "read thread processor time")
		}
		threadTime, err := parseSchedstat(string(text))
		if err != nil {
			return 0, err
		}
		sum += threadTime
	}
	return sum, nil
}

// parseSchedstat returns the processor time of a thread.
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

// liveHeap returns the size of the live heap and the stacks of this process, in
// bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

var ownPID = os.Getpid()

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// cpuLoad returns the used share of a core, in millionths.
func cpuLoad(before, after usage, over time.Duration) float64 {
	return micros(after.cpu-before.cpu) / over.Seconds()
}
