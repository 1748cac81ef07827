package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probePeriod = 500 * time.Millisecond
	maxMisses   = 2
)

// router is a stand-in for the routers of one zone. It hashes by "steady".
type router struct {
	port  uint16
	hosts []netip.Addr
	stop  chan struct{}

	mu     sync.Mutex
	misses map[netip.Addr]int
}

func newRouter(hosts []netip.Addr, packetPort, readyPort uint16) *router {
	r := &router{port: packetPort, hosts: hosts, stop: make(chan struct{}), misses: map[netip.Addr]int{}}
	for _, ip := range hosts {
		r.misses[ip] = maxMisses
		go r.probe(ip, fmt.Sprintf("http://%s/readiness", netip.AddrPortFrom(ip, readyPort)))
	}
	return r
}

func (r *router) close() { close(r.stop) }

func (r *router) probe(ip netip.Addr, url string) {
	client := &http.Client{Timeout: probePeriod}
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		res, err := client.Get(url)
		ready := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		r.mu.Lock()
		r.misses[ip]++
		if ready {
			r.misses[ip] = 0
		}
		r.mu.Unlock()
		select {
		case <-ticker.C:
		case <-r.stop:
			return
		}
	}
}

// rotation returns the hosts in rotation, all of the zone if fewer than half are.
func (r *router) rotation() []netip.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []netip.Addr
	for _, ip := range r.hosts {
		if r.misses[ip] < maxMisses {
			out = append(out, ip)
		}
	}
	if 2*len(out) < len(r.hosts) {
		return r.hosts
	}
	return out
}

// allReady reports whether all hosts have answered the last probe.
func (r *router) allReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, misses := range r.misses {
		if misses > 0 {
			return false
		}
	}
	return true
}

// pick returns the address that a flow's packets go to.
func (r *router) pick(key flowKey) netip.AddrPort {
	var best netip.Addr
	var most uint64
	for _, ip := range r.rotation() {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %s", ip, key)
		if n := h.Sum64(); !best.IsValid() || n > most {
			best, most = ip, n
		}
	}
	return netip.AddrPortFrom(best, r.port)
}
