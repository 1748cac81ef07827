package controld

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
)

// States of a group in the status.
const (
	stateLeads      = "leads"
	stateFollows    = "follows"
	stateNoLeader   = "no leader"
	stateNotFounded = "not founded"
)

// backend serves the operators' API.
type backend Daemon

// Submit implements operator.Backend.
func (b *backend) Submit(ctx context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Patch{Patch: p}})
	if err != nil {
		return nil, errors.Wrap(operator.ErrNotDone, err.Error())
	}
	data, err := b.replicas[controlpb.Group_GROUP_CONFIG].Propose(ctx, command)
	if err != nil {
		return nil, operatorError(err)
	}
	var result configpb.Result
	if err := proto.Unmarshal(data, &result); err != nil || result.GetOutcome() == nil {
		return nil, errors.Wrap(operator.ErrUnknown, "the result cannot be read")
	}
	return result.GetOutcome(), nil
}

// operatorError sorts an error of a replica.
func operatorError(err error) error {
	if proposeStatus(err) == controlpb.ProposeStatus_PROPOSE_UNKNOWN && !errors.Is(err, replica.ErrMembership) {
		return errors.Wrap(operator.ErrUnknown, err.Error())
	}
	return errors.Wrap(operator.ErrNotDone, err.Error())
}

// Outcome implements operator.Backend.
func (b *backend) Outcome(ctx context.Context, id string) (*configpb.Outcome, error) {
	if err := b.confirm.wait(ctx); err != nil {
		return nil, errors.Wrapf(operator.ErrNotDone, "no quorum confirms the state: %v", err)
	}
	if out := b.configs.outcome(id); out != nil {
		return out, nil
	}
	return nil, errors.Wrapf(operator.ErrNotFound, "patch %q", id)
}

// Config implements operator.Backend.
func (b *backend) Config(ctx context.Context, version uint64) (*configpb.Configuration, bool, error) {
	confirmed := b.confirm.wait(ctx) == nil
	current, _ := b.configs.current()
	if version == 0 {
		return current, confirmed, nil
	}
	if held := b.configs.at(version); held != nil {
		return held, confirmed, nil
	}
	return nil, false, errors.Wrapf(operator.ErrNotFound, "version %d, current is %d", version, current.GetVersion())
}

// Status implements operator.Backend.
func (b *backend) Status() *operator.Status {
	current, patch := b.configs.current()
	s := &operator.Status{
		Host:         b.name,
		Version:      current.GetVersion(),
		VersionPatch: patch,
		Targets:      b.directory.count(),
		Damped:       b.directory.damped(),
	}
	for _, group := range b.groups {
		s.Groups = append(s.Groups, b.groupStatus(group))
	}
	s.Subscribers, s.Laggards = b.subscribers.list(current.GetVersion())
	for _, group := range s.Groups {
		if group.Grants != nil {
			s.GrantsHeld += group.Grants.Held
			s.GrantsAnswered += group.Grants.Answered
		}
	}
	return s
}

func (b *backend) groupStatus(group controlpb.Group) operator.GroupStatus {
	s := b.replicas[group].Status()
	out := operator.GroupStatus{
		Group:   groupName(group),
		State:   stateOf(s),
		Leader:  s.Leader.GetName(),
		Term:    s.Term,
		Commit:  s.Commit,
		Applied: s.Applied,
		Members: []operator.MemberStatus{},
	}
	if group != controlpb.Group_GROUP_CONFIG {
		out.Grants = b.grantStatus(grantIndex(group))
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, operator.MemberStatus{
			MemberRef: operator.MemberRef{
				Name:        m.Member.GetId().GetName(),
				Incarnation: m.Member.GetId().GetIncarnation(),
			},
			Address: m.Member.GetAddress(),
			Learner: m.Member.GetLearner(),
			Match:   m.Match,
			Active:  m.Active,
		})
	}
	return out
}

func stateOf(s replica.Status) string {
	switch {
	case !s.Formed:
		return stateNotFounded
	case s.Leader == nil:
		return stateNoLeader
	case proto.Equal(s.Leader, s.Self):
		return stateLeads
	}
	return stateFollows
}

// AddLearner implements operator.Backend.
func (b *backend) AddLearner(ctx context.Context, address string) error {
	return b.addLearner(ctx, address, "")
}

// addLearner adds the host at a link address. If a name is given, the host
// must have it.
func (b *backend) addLearner(ctx context.Context, address, name string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.Wrapf(operator.ErrNotDone, "%q is not of the form ip:port", address)
	}
	reply, err := (*Daemon)(b).askReplicas(address)
	if err != nil {
		return errors.Wrapf(operator.ErrNotDone, "the host at %s does not answer: %v", address, err)
	}
	var first error
	for _, info := range reply.GetReplicas() {
		if name != "" && info.GetId().GetName() != name {
			return errors.Wrapf(operator.ErrNotDone, "the host at %s is not %s", address, name)
		}
		r := b.replicas[info.GetGroup()]
		if r == nil || isMember(r.Status(), info.GetId()) {
			continue
		}
		member := &raftpb.Member{Id: info.GetId(), Address: address, Learner: true}
		first = firstError(first, r.AddLearner(ctx, member))
	}
	return notEverywhere(first)
}

// notEverywhere marks a change that could not be made in each group.
func notEverywhere(err error) error {
	if errors.Is(err, operator.ErrNotDone) {
		return errors.Wrap(operator.ErrNotEverywhere, err.Error())
	}
	return err
}

// firstError keeps the first error of a change that is made in each group. The
// groups may have different leaders: a host makes what it can, the next one
// that is asked makes the rest.
func firstError(first, next error) error {
	if first != nil || next == nil {
		return first
	}
	return operatorError(next)
}

func isMember(s replica.Status, id *raftpb.ReplicaID) bool {
	for _, m := range s.Members {
		if proto.Equal(m.Member.GetId(), id) {
			return true
		}
	}
	return false
}

// Promote implements operator.Backend.
func (b *backend) Promote(ctx context.Context, m operator.MemberRef) error {
	return b.eachMember(ctx, m, func(r *replica.Replica, member *raftpb.Member) error {
		if member == nil {
			return errors.Wrapf(replica.ErrMembership, "no member is named %q", m.Name)
		}
		if !member.GetLearner() {
			return nil
		}
		if !caughtUp(r.Status(), member.GetId()) {
			return errors.Wrap(replica.ErrMembership, "the learner has not caught up")
		}
		return r.Promote(ctx, member.GetId())
	})
}

// caughtUp reports whether a vote of the learner would not hold up the group.
// Only the leader knows; elsewhere the replica itself refuses the change.
func caughtUp(s replica.Status, id *raftpb.ReplicaID) bool {
	if !proto.Equal(s.Leader, s.Self) {
		return true
	}
	for _, m := range s.Members {
		if proto.Equal(m.Member.GetId(), id) {
			return m.Match+promoteLag >= s.Commit
		}
	}
	return false
}

// Remove implements operator.Backend.
func (b *backend) Remove(ctx context.Context, m operator.MemberRef) error {
	return b.eachMember(ctx, m, func(r *replica.Replica, member *raftpb.Member) error {
		if member == nil {
			return nil
		}
		return r.Remove(ctx, member.GetId())
	})
}

// eachMember calls f for the member's replica in each group, with nil where the
// group has no such member. A host that may not know the members of a group,
// because it lags behind or has not joined yet, can't tell that one is absent:
// the change is not made there.
func (b *backend) eachMember(ctx context.Context, ref operator.MemberRef, f func(*replica.Replica, *raftpb.Member) error) error {
	found, confirmed := false, true
	var first error
	for _, group := range b.groups {
		r := b.replicas[group]
		if err := r.ReadBarrier(ctx); err != nil {
			confirmed = false
			first = firstError(first, errors.Wrapf(replica.ErrMembership, "members of %s: %v", groupName(group), err))
			continue
		}
		matches := matching(r.Status(), ref)
		if len(matches) > 1 {
			return errors.Wrapf(operator.ErrNotDone, "several members are named %q: name the incarnation too", ref.Name)
		}
		if len(matches) == 0 {
			first = firstError(first, f(r, nil))
			continue
		}
		found = true
		first = firstError(first, f(r, matches[0]))
	}
	switch {
	case found:
		return notEverywhere(first)
	case confirmed:
		return errors.Wrapf(operator.ErrNotFound, "no member is named %q", ref.Name)
	}
	return first
}

func matching(s replica.Status, ref operator.MemberRef) []*raftpb.Member {
	var out []*raftpb.Member
	for _, m := range s.Members {
		id := m.Member.GetId()
		if id.GetName() == ref.Name && (ref.Incarnation == 0 || ref.Incarnation == id.GetIncarnation()) {
			out = append(out, m.Member)
		}
	}
	return out
}
