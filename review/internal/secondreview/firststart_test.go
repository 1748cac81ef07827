//go:build review

package secondreview

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// lostAfter is when the machine is lost after the start of all.
	lostAfter = 100 * time.Millisecond
	// firstStartTime is how long the operator sends the first configuration.
	firstStartTime = 75 * time.Second
	// callersTime is how long callers try after that.
	callersTime = 10 * time.Second
)

// firstStart loses one of four core machines for good right after the first start of the whole
// system, which tolerates the loss of one. The operator sends the first configuration until it is
// accepted, and callers send requests. The rule is broken if no request is served.
func firstStart(r *run) (broken bool, err error) {
	ips, err := freeAddresses(10)
	if err != nil {
		return false, err
	}
	d, err := standin.Start(standin.Options{
		Binary: r.wrapper, Dir: r.dir, IPs: ips, ControlHosts: 4, ToleratedLosses: 1, Zones: 4,
		Services: []standin.Service{{Name: "lodgement", Targets: 3}},
	})
	if err != nil {
		return false, err
	}
	defer d.Stop()
	urls := d.OperatorURLs()
	if r.trouble {
		time.Sleep(lostAfter)
		d.ControlHosts[0].Kill()
		d.EntryHosts[0].Kill()
		urls = urls[1:]
		r.note("machine %s is lost", d.ControlHosts[0].Host)
	}
	public := netip.AddrPortFrom(ips[9], 443)
	config := standin.Config{Version: 7, Services: []string{"lodgement"}, Routes: []standin.Route{{
		Address: public, Service: "lodgement", Objective: 150 * time.Millisecond, Timeout: requestTime,
	}}}
	r.sendFirst(urls, config.Document())
	defer func() { r.noteRuns(d.Targets) }()
	served, err := r.callUntilServed(d, public)
	return !served, err
}

// sendFirst sends the first configuration to the hosts in turn until it is acknowledged, and
// records the answers by status, 0 for none within a second.
func (r *run) sendFirst(urls []string, document []byte) {
	client := &http.Client{Timeout: time.Second}
	statuses := map[int]int{}
	for i, deadline := 0, time.Now().Add(firstStartTime); time.Now().Before(deadline); i++ {
		status := 0
		res, err := client.Post(urls[i%len(urls)]+"/config/replace", "application/json", bytes.NewReader(document))
		if err == nil {
			status = res.StatusCode
			_ = res.Body.Close()
		}
		statuses[status]++
		if status == http.StatusOK {
			r.note("the first configuration is acknowledged; answers by status: %v", statuses)
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	r.note("the first configuration has no confirmation after %s; answers by status: %v", firstStartTime, statuses)
}

// callUntilServed opens flows and sends requests until one is answered or the time is over.
func (r *run) callUntilServed(d *standin.Deployment, public netip.AddrPort) (served bool, err error) {
	c, err := newCaller(r, d.Router, d.CallerIPs()[0])
	if err != nil {
		return false, err
	}
	defer c.close()
	tries := 0
	for deadline := time.Now().Add(callersTime); time.Now().Before(deadline); {
		tries++
		f, err := c.open(fmt.Sprint(tries), public)
		if err == nil && f.request(fmt.Sprintf("request-%d", tries), requestTime) == nil {
			r.note("a request is served at try %d", tries)
			return true, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.note("no request is served in %d tries", tries)
	return false, nil
}
