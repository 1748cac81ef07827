package settings

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// checkCombinations reports valid keys that contradict each other.
func checkCombinations(m proto.Message, c *collector, lines keyLines) {
	switch role := m.(type) {
	case *settingspb.EntrySettings:
		checkKeysAuthenticated(role.GetKeys(), c, lines)
	case *settingspb.AgentSettings:
		checkKeysAuthenticated(role.GetKeys(), c, lines)
	}
	control, ok := m.(*settingspb.ControlSettings)
	if !ok {
		return
	}
	checkVoters(control, c, lines[keyName{"replica", "initial_voters"}])
}

// checkKeysAuthenticated reports unauthenticated entry hosts and agents: connection IDs and
// frames need shared secrets, which come from key files.
func checkKeysAuthenticated(k *settingspb.Keys, c *collector, lines keyLines) {
	if k.GetUnauthenticated() {
		c.add(lines[keyName{"keys", "unauthenticated"}], "keys.unauthenticated: only supported on control hosts; this role needs shared data secrets")
	}
}

// checkVoters requires that the voters are unique, not too many and include this host unless
// it joins an existing group.
func checkVoters(s *settingspb.ControlSettings, c *collector, line int) {
	voters := s.GetReplica().GetInitialVoters()
	if len(voters) == 0 || s.GetReplica().GetJoin() {
		return
	}
	seen := map[string]bool{}
	for _, voter := range voters {
		name, _, _ := strings.Cut(voter, "=")
		if seen[name] {
			c.add(line, "replica.initial_voters: duplicate voter %q", name)
		}
		seen[name] = true
	}
	if len(voters) > raft.MaxVoters {
		c.add(line, "replica.initial_voters: %d voters, at most %d are supported; add the others as learners", len(voters), raft.MaxVoters)
	}
	if self := s.GetHost().GetName(); self != "" && !seen[self] {
		c.add(line, "replica.initial_voters: this host, %q, is not a voter and replica.join is not set", self)
	}
}
