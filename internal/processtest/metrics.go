package processtest

import (
	"bufio"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

const (
	metricPrefix   = "eelgrasswharf_"
	residentMemory = "process_resident_memory_bytes"
)

// metricsPage is the /metrics page of one process. Its figures are up to a
// second old.
type metricsPage struct {
	t    testing.TB
	addr netip.AddrPort
}

func (c *Cluster) newMetricsPage(ip netip.Addr) metricsPage {
	c.t.Helper()
	return metricsPage{t: c.t, addr: loopback.Address(c.t, ip)}
}

func (m metricsPage) settings() *settingspb.Metrics {
	return &settingspb.Metrics{Listen: m.addr.String()}
}

// read returns a counter or gauge; with a reason, the one of that reason. One
// that was never counted is 0.
func (m metricsPage) read(name, reason string) float64 {
	m.t.Helper()
	line := metricPrefix + name
	if reason != "" {
		line += fmt.Sprintf("{reason=%q}", reason)
	}
	return m.find(line)
}

func (m metricsPage) resident() float64 {
	m.t.Helper()
	return m.find(residentMemory)
}

func (m metricsPage) find(name string) float64 {
	m.t.Helper()
	resp, err := http.Get("http://" + m.addr.String() + "/metrics")
	if err != nil {
		m.t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), name+" ")
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			m.t.Fatalf("%s: %v", lines.Text(), err)
		}
		return value
	}
	return 0
}
