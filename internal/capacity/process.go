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
	// readyMessage is the log message of a daemon that is ready to serve.
	readyMessage = "ready"
	fileMode     = 0o600
	// maxLogLine limits a log line in bytes. An entry host logs all its addresses
	// in one line.
	maxLogLine = 4 << 20
	// maxLastLogLines is the number of log lines in errDaemonExited.
	maxLastLogLines = 5
)

// errDaemonExited reports a daemon that exited before it was ready.
var errDaemonExited = errors.New("daemon exited before it was ready")

// process is a running daemon.
type process struct {
	name string
	cmd  *exec.Cmd
	// ready has the fields of the ready line. Set before readyCh is closed.
	ready        map[string]any
	readyCh      chan struct{}
	exited       chan struct{}
	wg           conc.WaitGroup
	killOnce     sync.Once
	lastLogLines []string
}

// launch starts a daemon with these settings and waits until it is ready.
func (tb *testbed) launch(ctx context.Context, role, name string, m proto.Message) (*process, error) {
	path := filepath.Join(tb.dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings.Format(m)), fileMode); err != nil {
		return nil, errors.Wrap(err, "write settings file")
	}
	cmd := exec.Command(tb.binary, role, "--settings", path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open daemon log")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start daemon")
	}
	p := &process{name: name, cmd: cmd, readyCh: make(chan struct{}), exited: make(chan struct{})}
	tb.processes = append(tb.processes, p)
	p.wg.Go(func() {
		defer close(p.exited)
		p.readLog(bufio.NewScanner(stderr))
		_ = cmd.Wait()
	})
	select {
	case <-p.readyCh:
		return p, nil
	case <-p.exited:
		return nil, errors.Wrapf(errDaemonExited, "%s: %s", name, strings.Join(p.lastLogLines, "\n"))
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// readLog reads until the daemon exits, so that the daemon never blocks on its
// log.
func (p *process) readLog(lines *bufio.Scanner) {
	lines.Buffer(nil, maxLogLine)
	isReady := false
	for lines.Scan() {
		p.lastLogLines = append(p.lastLogLines, lines.Text())
		p.lastLogLines = p.lastLogLines[max(len(p.lastLogLines)-maxLastLogLines, 0):]
		var line map[string]any
		if isReady || json.Unmarshal(lines.Bytes(), &line) != nil || line["msg"] != readyMessage {
			continue
		}
		isReady = true
		p.ready = line
		close(p.readyCh)
	}
}

// field returns a field of the ready line as text.
func (p *process) field(name string) string { return fmt.Sprint(p.ready[name]) }

func (p *process) usage() (usage, error) { return processUsage(p.cmd.Process.Pid) }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.killOnce.Do(func() { _ = p.cmd.Process.Kill() })
	p.wg.Wait()
}
