package processtest

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
)

const (
	metricPrefix   = "eelgrasswharf_"
	residentMemory = "process_resident_memory_bytes"
)

// Metrics returns the text of the metrics listener.
func (p *Process) Metrics() string {
	p.t.Helper()
	resp, err := http.Get("http://" + p.metricsAddress().String() + "/metrics")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		p.t.Fatalf("metrics of %s: %s, %v", p.Name, resp.Status, err)
	}
	return string(text)
}

// metricsAddress returns the address of the metrics listener, from the ready
// line.
func (p *Process) metricsAddress() netip.AddrPort {
	return netip.MustParseAddrPort(p.log.lastField(readyMessage, "metrics"))
}

// CounterSum returns the sum of all counters with this name suffix, over all
// tags.
func (p *Process) CounterSum(name string) float64 {
	p.t.Helper()
	sum := 0.0
	for line := range strings.Lines(p.Metrics()) {
		series, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		series, _, _ = strings.Cut(series, "{")
		if !strings.HasSuffix(series, name) {
			continue
		}
		n, err := strconv.ParseFloat(value[strings.LastIndex(value, " ")+1:], 64)
		if err != nil {
			p.t.Fatalf("metrics of %s: %q: %v", p.Name, line, err)
		}
		sum += n
	}
	return sum
}

// MetricValue returns a counter or gauge. If value is set, it is the one with
// that value of the tag. A missing metric is 0. Values are up to a second old.
func (p *Process) MetricValue(name, tag, value string) float64 {
	p.t.Helper()
	if name != residentMemory {
		name = metricPrefix + name
	}
	if value != "" {
		name += fmt.Sprintf("{%s=%q}", tag, value)
	}
	for line := range strings.Lines(p.Metrics()) {
		text, found := strings.CutPrefix(strings.TrimSpace(line), name+" ")
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			p.t.Fatalf("metrics of %s: %q: %v", p.Name, line, err)
		}
		return value
	}
	return 0
}
