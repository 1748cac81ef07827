package settings

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// checkTogether reports keys that are good by themselves and contradict each
// other.
func checkTogether(m proto.Message, c *collector, lines keyLines) {
	switch role := m.(type) {
	case *settingspb.EntrySettings:
		checkKeysTaken(role.GetKeys(), c, lines)
	case *settingspb.AgentSettings:
		checkKeysTaken(role.GetKeys(), c, lines)
	}
	control, ok := m.(*settingspb.ControlSettings)
	if !ok {
		return
	}
	checkVoters(control, c, lines[keyName{"replica", "initial_voters"}])
}

// checkKeysTaken wants entry hosts and agents that serve callers over QUIC to take keys
// from files: connection IDs and frames need secrets that all of them share.
func checkKeysTaken(k *settingspb.Keys, c *collector, lines keyLines) {
	if k.GetUnauthenticated() {
		c.add(lines[keyName{"keys", "unauthenticated"}], "keys.unauthenticated: only a control host may set it, here data secrets are shared")
	}
}

// checkVoters wants each voter once, no more than may vote, and this host among
// them, unless it joins a group that exists.
func checkVoters(s *settingspb.ControlSettings, c *collector, line int) {
	voters := s.GetReplica().GetInitialVoters()
	if len(voters) == 0 || s.GetReplica().GetJoin() {
		return
	}
	seen := map[string]bool{}
	for _, voter := range voters {
		name, _, _ := strings.Cut(voter, "=")
		if seen[name] {
			c.add(line, "replica.initial_voters: %q is named twice", name)
		}
		seen[name] = true
	}
	if len(voters) > raft.MaxVoters {
		c.add(line, "replica.initial_voters: %d are named, at most %d may vote; let the others join as learners", len(voters), raft.MaxVoters)
	}
	if self := s.GetHost().GetName(); self != "" && !seen[self] {
		c.add(line, "replica.initial_voters: this host, %q, is not among them and replica.join is not set", self)
	}
}
