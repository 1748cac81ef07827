package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

const (
	// readyMessage is the log line by which a daemon says that it serves.
	readyMessage = "ready"
	fileMode     = 0o600
	// longestLine bounds a line of a daemon's log: that of an entry host names
	// all its addresses.
	longestLine = 4 << 20
	// lastLines is how much of its log an early end is explained by.
	lastLines = 5
)

// errEnded tells that a daemon ended by itself.
var errEnded = errors.New("daemon ended")

// process is a running daemon.
type process struct {
	name string
	cmd  *exec.Cmd
	// ready has the fields of the ready line, once readied is closed.
	ready   map[string]any
	readied chan struct{}
	ended   chan struct{}
	wg      conc.WaitGroup
	once    sync.Once
	last    []string
}

// launch starts a daemon with these settings and waits until it is ready.
func (l *lab) launch(ctx context.Context, role, name string, m proto.Message) (*process, error) {
	path := filepath.Join(l.folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings.Format(m)), fileMode); err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	cmd := exec.Command(l.binary, role, "--settings", path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, errors.Wrap(err, "log of daemon")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start daemon")
	}
	p := &process{name: name, cmd: cmd, readied: make(chan struct{}), ended: make(chan struct{})}
	l.processes = append(l.processes, p)
	p.wg.Go(func() {
		defer close(p.ended)
		p.readLog(bufio.NewScanner(stderr))
		_ = cmd.Wait()
	})
	select {
	case <-p.readied:
		return p, nil
	case <-p.ended:
		return nil, errors.Wrapf(errEnded, "%s: %s", name, strings.Join(p.last, "\n"))
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// readLog reads to the end, so that the daemon never waits for its reader.
func (p *process) readLog(lines *bufio.Scanner) {
	lines.Buffer(nil, longestLine)
	isReady := false
	for lines.Scan() {
		p.last = append(p.last, lines.Text())
		p.last = p.last[max(len(p.last)-lastLines, 0):]
		var line map[string]any
		if isReady || json.Unmarshal(lines.Bytes(), &line) != nil || line["msg"] != readyMessage {
			continue
		}
		isReady = true
		p.ready = line
		close(p.readied)
	}
}

// field returns a text of the ready line.
func (p *process) field(name string) string { return fmt.Sprint(p.ready[name]) }

func (p *process) usage() (usage, error) { return usageOf(p.cmd.Process.Pid) }

// kill ends the process without notice, as the loss of its host would.
func (p *process) kill() {
	p.once.Do(func() { _ = p.cmd.Process.Kill() })
	p.wg.Wait()
}
