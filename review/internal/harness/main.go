package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotRun    = 2
	exitSignalled = exitNotRun
)

// scenario runs a deployment, with the disruption or without, and returns how often the rule
// was broken.
type scenario struct {
	site     site
	services []service
	kind     kind
	run      func(d *deployment, q *requester, trouble bool) (broken int, err error)
	// alone replaces the first configuration and run for a scenario of the first start.
	alone func(d *deployment, trouble bool) (broken int, err error)
}

var scenarios = map[string]scenario{
	"leaving": {site: registry, services: registryServices, kind: instrumentLodge, run: leavingScenario},
	"restart": {site: registry, services: registryServices, kind: filingWatch, run: restartScenario},
	"foreign": {site: wien, services: wienServices, kind: loan, run: foreignScenario},
	"first":   {site: registry, services: registryServices, kind: filingWatch, alone: firstStartScenario},
}

func main() {
	path := flag.String("record", "record.txt", "write the events to this `file`")
	flag.Parse()
	s, known := scenarios[flag.Arg(0)]
	if !known {
		fmt.Fprintln(os.Stderr, "usage: harness -record FILE SCENARIO")
		os.Exit(exitNotRun)
	}
	os.Exit(play(s, *path, os.Getenv("TROUBLE") != "0"))
}

func play(s scenario, path string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	d, err := startDeployment(s.site, s.services, r)
	if d != nil {
		defer d.stop()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		if d != nil {
			d.stop()
		}
		os.Exit(exitSignalled)
	}()
	broken := 0
	if err == nil {
		broken, err = d.play(s, trouble)
	}
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		return exitNotRun
	case broken > 0:
		r.line("the rule was broken %d times", broken)
		return exitBroken
	}
	r.line("the rule held")
	return exitHeld
}

// play sends the first configuration, waits for the entry hosts and runs the scenario.
func (d *deployment) play(s scenario, trouble bool) (int, error) {
	if s.alone != nil {
		return s.alone(d, trouble)
	}
	if _, err := d.replace(config(1, &s.kind, s.services), startLimit); err != nil {
		return 0, err
	}
	if err := d.awaitReady(startLimit); err != nil {
		return 0, err
	}
	q, err := newRequester(d.nextIP(), d.port(portPackets), d.router, d.record)
	if err != nil {
		return 0, err
	}
	defer q.close()
	d.record.line("disruption: %t", trouble)
	broken, err := s.run(d, q, trouble)
	if q.altered > 0 {
		d.record.line("the requester got %d altered packets", q.altered)
	}
	return broken, err
}
