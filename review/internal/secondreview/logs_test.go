//go:build review

package secondreview

import (
	"encoding/json"
	"net"
	"os"
	"strings"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

// logLine has the fields of a log line that the cases use to choose a machine.
type logLine struct {
	Msg       string `json:"msg"`
	Connected bool   `json:"connected"`
	Address   string `json:"address"`
	Leader    string `json:"leader"`
}

// lastLine returns the last line of a process with this message for which match returns true.
func lastLine(d *standin.Deployment, p *standin.Process, msg string, match func(logLine) bool) (last logLine) {
	data, err := os.ReadFile(d.LogFile(p))
	if err != nil {
		return logLine{}
	}
	for text := range strings.Lines(string(data)) {
		var line logLine
		if json.Unmarshal([]byte(text), &line) == nil && line.Msg == msg && match(line) {
			last = line
		}
	}
	return last
}

// subscribedTo returns the control host that an entry host gets its configuration from.
func subscribedTo(d *standin.Deployment, entry *standin.Process) string {
	line := lastLine(d, entry, "subscription state changed", func(l logLine) bool { return l.Connected })
	host, _, _ := net.SplitHostPort(line.Address)
	return host
}

// leader returns the control host that leads, as the first one sees it.
func leader(d *standin.Deployment) string {
	return lastLine(d, d.ControlHosts[0], "leader changed", func(l logLine) bool { return l.Leader != "" }).Leader
}
