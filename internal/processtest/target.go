package processtest

import (
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
)

const (
	// registeredMessage is the log message of an agent that control hosts
	// have given its target's number.
	registeredMessage = "target registered"
	// leavingMessage is the log message of an agent that takes no new flow.
	leavingMessage = "leaving"

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
	// Frames is the frame address of Agent.
	Frames netip.AddrPort

	service  *Service
	ip       netip.Addr
	url      string
	settings *settingspb.AgentSettings
}

// StartTarget starts a backend server and its agent and waits until the
// target is registered. Without control addresses the agent dials the control
// hosts directly.
func (s *Service) StartTarget(name string, control ...netip.AddrPort) *Target {
	c := s.cluster
	c.t.Helper()
	name = s.Name + "-" + name
	t := &Target{Name: name, service: s, ip: loopback.Host(c.t)}
	announce := loopback.Address(c.t, t.ip)
	t.settings = &settingspb.AgentSettings{
		Host:    hostSettings(name, name),
		Keys:    keySettings(c.issue(keys.RoleAgent, name, s.Name)),
		Metrics: metricsSettings(t.ip),
		Control: &settingspb.ControlPeers{Addresses: c.linksOr(control)},
		Agent: &settingspb.Agent{
			AnnounceListen:    announce.String(),
			CallerCertificate: s.caller.Certificate,
			CallerPrivateKey:  s.caller.PrivateKey,
			PollMs:            targetPollMS,
		},
	}
	listen := loopback.Address(c.t, t.ip)
	t.url = "http://" + listen.String()
	t.Backend = Start(c.t, "backend-"+name,
		"backend", "--service", s.Name, "--target", name,
		"--listen", listen.String(), "--announce", announce.String())
	t.LaunchAgent()
	t.WaitRegistered()
	return t
}

// LaunchAgent starts another process of the agent, beside an older one that
// may still be leaving. It takes another frame address.
func (t *Target) LaunchAgent() {
	c := t.service.cluster
	c.t.Helper()
	t.Frames = loopback.Address(c.t, t.ip)
	t.settings.Agent.FrameListen = t.Frames.String()
	path := c.path("agent-%s.ini", t.Name)
	writeSettings(c.t, path, t.settings)
	t.Agent = Start(c.t, "agent-"+t.Name, "agent", "--settings", path)
}

// WaitRegistered waits until the newest agent takes flows.
func (t *Target) WaitRegistered() {
	t.service.cluster.t.Helper()
	t.Agent.WaitLog(registeredMessage)
}

// StopAgent asks the agent to leave and waits until it takes no new flow.
func (t *Target) StopAgent() {
	t.service.cluster.t.Helper()
	t.Agent.Terminate()
	t.Agent.WaitLog(leavingMessage)
}

// Answered tells whether the target gave the answer.
func (t *Target) Answered(a *Answer) bool {
	return IsTarget(a.Target, t)
}

// IsTarget tells whether the value of a Target header names the target.
func IsTarget(header string, t *Target) bool {
	return strings.HasPrefix(header, t.Name+"/")
}

// Runs asks the backend server how often it ran a key.
func (t *Target) Runs(key string) int {
	c := t.service.cluster
	c.t.Helper()
	resp, err := http.Get(t.url + "/runs?key=" + url.QueryEscape(key))
	c.must(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.must(err)
	count, err := strconv.Atoi(string(body))
	c.must(err)
	return count
}
