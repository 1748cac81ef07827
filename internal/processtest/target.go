package processtest

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

const (
	// registeredMessage is the log message of an agent whose target has a number.
	registeredMessage = "target registered"
	// acceptingFlowsMessage is the log message of an agent that starts or stops
	// accepting new flows.
	acceptingFlowsMessage = "accepting new flows"

	// backendAge is the gauge of the backend server's age, in seconds.
	backendAge = "backend_age"

	targetPollMS = 200
)

// Target is a backend server and its agent.
type Target struct {
	// Name is unique in the cluster.
	Name string
	// Backend is the process of the backend server.
	Backend *Process
	// Agent is the latest process of the agent.
	Agent *Process
	// FrameAddr is the frame address of Agent.
	FrameAddr netip.AddrPort
	// FrameRelay relays the frames of entry hosts. Only set with
	// TargetOptions.Relayed.
	FrameRelay *faultproxy.Relay

	service  *Service
	ip       netip.Addr
	url      string
	options  TargetOptions
	settings *settingspb.AgentSettings
}

// TargetOptions configure a target.
type TargetOptions struct {
	// Control lists the addresses that the agent dials; all control hosts if empty.
	Control []netip.AddrPort
	// FaultFlags are additional flags of the backend server.
	FaultFlags []string
	// Relayed starts a relay in front of the frame address of the first agent.
	Relayed bool
}

// StartTarget starts a backend server and its agent and waits until the target
// is registered. Without control addresses the agent dials all control hosts
// directly.
func (s *Service) StartTarget(name string, control ...netip.AddrPort) *Target {
	s.cluster.t.Helper()
	return s.StartTargetWith(name, TargetOptions{Control: control})
}

// StartTargetWith is StartTarget with options.
func (s *Service) StartTargetWith(name string, options TargetOptions) *Target {
	s.cluster.t.Helper()
	t := s.LaunchTarget(name, options)
	t.WaitRegistered()
	return t
}

// LaunchTarget is StartTargetWith without waiting for the registration.
func (s *Service) LaunchTarget(name string, options TargetOptions) *Target {
	c := s.cluster
	c.t.Helper()
	name = s.Name + "-" + name
	t := &Target{Name: name, service: s, ip: loopback.Host(c.t), options: options}
	announceAddr := loopback.Address(c.t, t.ip)
	t.settings = &settingspb.AgentSettings{
		Host:    hostSettings(name, name),
		Keys:    c.issue(keys.RoleAgent, name, s.Name).Settings(),
		Metrics: metricsSettings(t.ip),
		Control: &settingspb.ControlPeers{Addresses: c.linkAddresses(options.Control)},
		Agent: &settingspb.Agent{
			AnnounceListen:    announceAddr.String(),
			CallerCertificate: s.caller.Certificate,
			CallerPrivateKey:  s.caller.PrivateKey,
			PollMs:            targetPollMS,
		},
	}
	t.url = "http://" + loopback.Address(c.t, t.ip).String()
	t.LaunchBackend()
	t.LaunchAgent()
	return t
}

// LaunchBackend starts the process of the backend server. Tests read run counts
// from its run log, which is kept across restarts.
func (t *Target) LaunchBackend() {
	c := t.service.cluster
	c.t.Helper()
	args := []string{
		"backend", "--service", t.service.Name, "--target", t.Name,
		"--listen", strings.TrimPrefix(t.url, "http://"), "--announce", t.settings.Agent.AnnounceListen,
		"--run-log", c.path("runs-%s", t.Name),
	}
	t.Backend = Start(c.t, "backend-"+t.Name, append(args, t.options.FaultFlags...)...)
}

// RestartBackend kills the backend server and starts it with other fault flags.
func (t *Target) RestartBackend(faults ...string) {
	t.service.cluster.t.Helper()
	t.Backend.Kill()
	t.options.FaultFlags = faults
	t.LaunchBackend()
}

// LaunchAgent starts a new process of the agent with a new frame address. The
// previous process may still be draining.
func (t *Target) LaunchAgent() {
	c := t.service.cluster
	c.t.Helper()
	t.FrameAddr = loopback.Address(c.t, t.ip)
	t.settings.Agent.FrameListen = t.FrameAddr.String()
	if t.options.Relayed && t.FrameRelay == nil {
		t.FrameRelay = c.newRelay(t.FrameAddr)
	}
	if t.FrameRelay != nil {
		t.settings.Agent.FrameAddress = t.FrameRelay.Addr().String()
	}
	path := c.path("agent-%s.ini", t.Name)
	writeSettings(c.t, path, t.settings)
	t.Agent = Start(c.t, "agent-"+t.Name, "agent", "--settings", path)
}

// WaitRegistered waits until the target of the latest agent is registered.
func (t *Target) WaitRegistered() {
	t.service.cluster.t.Helper()
	t.Agent.WaitLog(registeredMessage)
}

// DrainAgent starts a graceful shutdown of the agent and waits until it accepts
// no new flows.
func (t *Target) DrainAgent() {
	t.service.cluster.t.Helper()
	t.Agent.Terminate()
	t.WaitNoNewFlows()
}

// WaitNoNewFlows waits until the latest agent accepts no new flows.
func (t *Target) WaitNoNewFlows() {
	c := t.service.cluster
	c.t.Helper()
	Eventually(c.t, t.Name+" accepts no new flows", func() bool {
		lines := t.Agent.log.linesWith(acceptingFlowsMessage)
		return len(lines) > 0 && !lines[len(lines)-1].Yes
	})
}

// Served reports whether the response comes from the target.
func (t *Target) Served(response *Response) bool {
	return IsTarget(response.Target, t)
}

// IsTarget reports whether the value of a Target header names the target.
func IsTarget(header string, t *Target) bool {
	return strings.HasPrefix(header, t.Name+"/")
}

// RunCount returns how often the backend server ran a key, including previous
// instances.
func (t *Target) RunCount(key string) int {
	t.service.cluster.t.Helper()
	count, err := strconv.Atoi(string(t.get("/runs?key=" + url.QueryEscape(key))))
	t.service.cluster.must(err)
	return count
}

// Running returns the number of requests that the backend server is running.
func (t *Target) Running() int {
	t.service.cluster.t.Helper()
	var load struct{ Running int }
	t.service.cluster.must(json.Unmarshal(t.get("/load"), &load))
	return load.Running
}

func (t *Target) get(path string) []byte {
	c := t.service.cluster
	c.t.Helper()
	resp, err := http.Get(t.url + path)
	c.must(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.must(err)
	return body
}

// CountByReason returns a counter of the latest agent for a reason.
func (t *Target) CountByReason(counter, reason string) float64 {
	return t.Agent.MetricValue(counter, "reason", reason)
}

// BackendAge returns the age of the backend server in seconds, as reported by the
// latest agent.
func (t *Target) BackendAge() float64 {
	return t.Agent.MetricValue(backendAge, "", "")
}

// ResidentMemory returns the resident memory of the latest agent, in bytes.
func (t *Target) ResidentMemory() float64 {
	return t.Agent.MetricValue(residentMemory, "", "")
}

// BackendReady reports whether the backend server accepts requests.
func (t *Target) BackendReady() bool {
	return t.Backend.Running() && t.Backend.log.count(readyMessage) > 0
}
