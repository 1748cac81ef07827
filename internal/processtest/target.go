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
	// registeredMessage is the log message of an agent that control hosts
	// have given its target's number.
	registeredMessage = "target registered"
	// takingMessage is the log message of an agent that takes new flows from
	// now on, or no more.
	takingMessage = "accepting new flows"

	// backendAge is the gauge of the backend server's age.
	backendAge = "backend_age"

	targetPollMS = 200
)

// Target is a backend server with the agent beside it.
type Target struct {
	// Name is unique in the deployment.
	Name string
	// Backend is the process of the backend server.
	Backend *Process
	// Agent is the newest process of the agent.
	Agent *Process
	// FrameAddr is the frame address of Agent.
	FrameAddr netip.AddrPort
	// FrameRelay is the relay that entry hosts send frames to, if one was asked for.
	FrameRelay *faultproxy.Relay

	service  *Service
	ip       netip.Addr
	url      string
	options  TargetOptions
	settings *settingspb.AgentSettings
}

// TargetOptions tell how a target differs from an ordinary one.
type TargetOptions struct {
	// Control are the control hosts that the agent dials, all if empty.
	Control []netip.AddrPort
	// FaultFlags are flags of the backend server.
	FaultFlags []string
	// Relayed puts a relay before the frame address of the first agent.
	Relayed bool
}

// StartTarget starts a backend server and its agent and waits until the
// target is registered. Without control addresses the agent dials the control
// hosts directly.
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

// LaunchTarget is StartTargetWith that does not wait, so that several targets
// may start together.
func (s *Service) LaunchTarget(name string, options TargetOptions) *Target {
	c := s.cluster
	c.t.Helper()
	name = s.Name + "-" + name
	t := &Target{Name: name, service: s, ip: loopback.Host(c.t), options: options}
	announce := loopback.Address(c.t, t.ip)
	t.settings = &settingspb.AgentSettings{
		Host:    hostSettings(name, name),
		Keys:    c.issue(keys.RoleAgent, name, s.Name).Settings(),
		Metrics: metricsSettings(t.ip),
		Control: &settingspb.ControlPeers{Addresses: c.linksOr(options.Control)},
		Agent: &settingspb.Agent{
			AnnounceListen:    announce.String(),
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

// LaunchBackend starts the process of the backend server, again after it ended.
// Its run log outlives it, as a witness for the test: the system never sees it.
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

// RestartBackend kills the backend server and starts it again with other
// faults.
func (t *Target) RestartBackend(faults ...string) {
	t.service.cluster.t.Helper()
	t.Backend.Kill()
	t.options.FaultFlags = faults
	t.LaunchBackend()
}

// LaunchAgent starts another process of the agent, beside an older one that
// may still be leaving. It takes another frame address.
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

// WaitRegistered waits until the newest agent takes flows.
func (t *Target) WaitRegistered() {
	t.service.cluster.t.Helper()
	t.Agent.WaitLog(registeredMessage)
}

// DrainAgent asks the agent to leave and waits until it takes no new flow.
func (t *Target) DrainAgent() {
	t.service.cluster.t.Helper()
	t.Agent.Terminate()
	t.WaitNoNewFlows()
}

// WaitNoNewFlows waits until the newest agent takes no new flow.
func (t *Target) WaitNoNewFlows() {
	c := t.service.cluster
	c.t.Helper()
	Eventually(c.t, t.Name+" takes no new flow", func() bool {
		lines := t.Agent.log.find(takingMessage)
		return len(lines) > 0 && !lines[len(lines)-1].Yes
	})
}

// Served tells whether the target gave the answer.
func (t *Target) Served(a *Response) bool {
	return IsTarget(a.Target, t)
}

// IsTarget tells whether the value of a Target header names the target.
func IsTarget(header string, t *Target) bool {
	return strings.HasPrefix(header, t.Name+"/")
}

// RunCount asks the backend server how often it ran a key, in its former lives as
// well.
func (t *Target) RunCount(key string) int {
	t.service.cluster.t.Helper()
	count, err := strconv.Atoi(string(t.get("/runs?key=" + url.QueryEscape(key))))
	t.service.cluster.must(err)
	return count
}

// Running asks the backend server how many requests it runs now.
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

// CountByReason returns what the newest agent counted under a reason.
func (t *Target) CountByReason(counter, reason string) float64 {
	return t.Agent.MetricValue(counter, "reason", reason)
}

// BackendAge returns the age of the backend server, in seconds, as the newest
// agent holds it.
func (t *Target) BackendAge() float64 {
	return t.Agent.MetricValue(backendAge, "", "")
}

// ResidentMemory returns the memory of the newest agent, in bytes.
func (t *Target) ResidentMemory() float64 {
	return t.Agent.MetricValue(residentMemory, "", "")
}

// BackendReady tells whether the backend server takes requests.
func (t *Target) BackendReady() bool {
	return t.Backend.Running() && t.Backend.log.count(readyMessage) > 0
}
