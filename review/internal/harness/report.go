package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// reportTimeout is how long a target waits for the response to a status report.
const reportTimeout = time.Second

// reportLoop sends a status report each period, the first one at once.
func (t *target) reportLoop(period time.Duration) {
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			t.report()
			select {
			case <-ticker.C:
			case <-t.stop:
				return
			}
		}
	}()
}

// report sends one status report and returns whether it was acknowledged.
func (t *target) report() bool {
	t.mu.Lock()
	t.seq++
	body := map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": 4,
		"state": "ready", "warmup_left_ms": 0, "seq": t.seq,
	}
	if t.draining {
		body["state"] = "draining"
	}
	if t.withBorn {
		body["born"] = t.born.UnixMilli()
	}
	t.mu.Unlock()
	status := post(t.control+"/instances/"+t.id+"/heartbeat", body)
	t.record.line("target %s reports seq %d, %s: %d", t.id, body["seq"], body["state"], status)
	return status/100 == 2
}

// drain says that the target leaves, until that is acknowledged. It returns when it was.
func (t *target) drain(limit time.Duration) (time.Time, bool) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(firstRetry) {
		if t.report() {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// post sends a JSON body and returns the status of the response, 0 without one.
func post(url string, body any) int {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	client := &http.Client{Timeout: reportTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
