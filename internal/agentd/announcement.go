package agentd

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxAnnouncement bounds the body of an announcement in bytes.
	maxAnnouncement = 64 << 10
	// maxWatchPaths bounds the watch paths of one announcement.
	maxWatchPaths = 64
	// maxAge bounds the age that a backend server may claim.
	maxAge = 365 * 24 * time.Hour
	// defaultWatchPath is used for an announcement without watch paths.
	defaultWatchPath = "/watch"
)

// ErrAnnouncement is returned for an invalid or conflicting announcement.
var ErrAnnouncement = errors.New("announcement refused")

// backendState is the state that a backend server announces.
type backendState string

// States of a backend server.
const (
	backendServing  backendState = "serving"
	backendDraining backendState = "draining"
)

// announcement is the JSON body with which the backend server announces itself.
type announcement struct {
	Service    string       `json:"service"`
	Target     string       `json:"target"`
	URL        string       `json:"url"`
	Slots      uint32       `json:"slots"`
	HealthPath string       `json:"health_path"`
	LoadPath   string       `json:"load_path"`
	WatchPaths []string     `json:"watch_paths"`
	State      backendState `json:"state"`
	// AgeMS is the time since the backend server started, nil if unknown.
	AgeMS *uint64 `json:"age_ms,omitempty"`

	base *url.URL
}

// announcementReply is the JSON response to an announcement.
type announcementReply struct {
	// LeaseMS is the time within which the announcement must be repeated.
	LeaseMS int64 `json:"lease_ms"`
	// Target is the registered identity, empty before registration.
	Target string `json:"target,omitempty"`
}

// readAnnouncement decodes and validates an announcement.
func readAnnouncement(r io.Reader) (*announcement, error) {
	a := &announcement{}
	if err := json.NewDecoder(io.LimitReader(r, maxAnnouncement)).Decode(a); err != nil {
		return nil, errors.Wrap(ErrAnnouncement, err.Error())
	}
	base, err := url.Parse(a.URL)
	if err != nil || base.Scheme != "http" || base.Host == "" {
		return nil, errors.Wrap(ErrAnnouncement, "url: want http://ip:port")
	}
	a.base = base
	if a.Service == "" || a.Target == "" {
		return nil, errors.Wrap(ErrAnnouncement, "service and target must be named")
	}
	if a.State != backendServing && a.State != backendDraining {
		return nil, errors.Wrap(ErrAnnouncement, "state: want serving or draining")
	}
	return a, a.checkPaths()
}

// age returns the claimed time since the start, negative if unknown.
func (a *announcement) age() time.Duration {
	if a.AgeMS == nil {
		return -1
	}
	return time.Duration(min(*a.AgeMS, uint64(maxAge.Milliseconds()))) * time.Millisecond
}

func (a *announcement) checkPaths() error {
	if len(a.WatchPaths) > maxWatchPaths {
		return errors.Wrap(ErrAnnouncement, "watch_paths: too many")
	}
	if len(a.WatchPaths) == 0 {
		a.WatchPaths = []string{defaultWatchPath}
	}
	for _, path := range append([]string{a.HealthPath, a.LoadPath}, a.WatchPaths...) {
		if path != "" && !strings.HasPrefix(path, "/") {
			return errors.Wrapf(ErrAnnouncement, "path %q does not start with a slash", path)
		}
	}
	return nil
}

// endpoint returns the URL of a path of the backend server, empty if the path is
// empty.
func (a *announcement) endpoint(path string) string {
	if path == "" {
		return ""
	}
	return strings.TrimSuffix(a.base.String(), "/") + path
}

// announceHandler serves the announcement address.
func (d *Daemon) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", d.handleAnnounce)
	return mux
}

func (d *Daemon) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	if !fromSameHost(r, d.announceIP) {
		http.Error(w, "announcements come from the own host only", http.StatusForbidden)
		return
	}
	a, err := readAnnouncement(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := d.acceptAnnouncement(a); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	reply := announcementReply{LeaseMS: d.timing.announceLease.Milliseconds()}
	if dataPlane := d.dataPlane.Load(); dataPlane != nil {
		reply.Target = dataPlane.self.String()
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// fromSameHost reports whether a request came from this host: from a loopback address or
// from the address that the server listens on.
func fromSameHost(r *http.Request, listen netip.Addr) bool {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	ip := remote.Addr().Unmap()
	return ip.IsLoopback() || ip == listen
}

// announceServer returns the HTTP server of the announcement address.
func (d *Daemon) announceServer() *http.Server {
	return &http.Server{
		Handler:           d.announceHandler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
	}
}
