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
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// States of a group in the status.
const (
	stateLeads           = "leads"
	stateFollows         = "follows"
	stateNoLeader        = "no leader"
	stateNotBootstrapped = "not founded"
	stateStandby         = "stands by"
)

// operatorHandler serves the operators' API.
type operatorHandler Daemon

// Submit implements operator.Handler.
func (h *operatorHandler) Submit(ctx context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Patch{Patch: p}})
	if err != nil {
		return nil, errors.Wrap(operator.ErrNotApplied, err.Error())
	}
	data, err := h.replicas[controlpb.Group_GROUP_CONFIG].Propose(ctx, command)
	if err != nil {
		return nil, operatorError(err)
	}
	var result configpb.Result
	if err := proto.Unmarshal(data, &result); err != nil || result.GetOutcome() == nil {
		return nil, errors.Wrap(operator.ErrOutcomeUnknown, "the result cannot be read")
	}
	return result.GetOutcome(), nil
}

// operatorError maps an error of a replica to one of the operators' API.
func operatorError(err error) error {
	if errors.Is(err, raft.ErrTooManyVoters) {
		return errors.Wrap(operator.ErrRefused, err.Error())
	}
	if proposeStatus(err) == controlpb.ProposeStatus_PROPOSE_UNKNOWN && !errors.Is(err, replica.ErrMembership) {
		return errors.Wrap(operator.ErrOutcomeUnknown, err.Error())
	}
	return errors.Wrap(operator.ErrNotApplied, err.Error())
}

// Outcome implements operator.Handler.
func (h *operatorHandler) Outcome(ctx context.Context, id string) (*configpb.Outcome, error) {
	if err := h.readBarrier.wait(ctx); err != nil {
		return nil, errors.Wrapf(operator.ErrNotApplied, "no quorum confirms the state: %v", err)
	}
	if out := h.configs.outcome(id); out != nil {
		return out, nil
	}
	return nil, errors.Wrapf(operator.ErrNotFound, "patch %q", id)
}

// Config implements operator.Handler.
func (h *operatorHandler) Config(ctx context.Context, version uint64) (*configpb.Configuration, bool, error) {
	confirmed := h.readBarrier.wait(ctx) == nil
	current, _ := h.configs.current()
	if version == 0 {
		return current, confirmed, nil
	}
	if found := h.configs.versionAt(version); found != nil {
		return found, confirmed, nil
	}
	return nil, false, errors.Wrapf(operator.ErrNotFound, "version %d, current is %d", version, current.GetVersion())
}

// Status implements operator.Handler.
func (h *operatorHandler) Status() *operator.Status {
	current, patch := h.configs.current()
	s := &operator.Status{
		Host:         h.name,
		Version:      current.GetVersion(),
		VersionPatch: patch,
		Targets:      h.directory.count(),
		Damped:       h.directory.damped(),
		Evacuations:  evacuationStatus(current),
		Capacity:     (*Daemon)(h).ServiceCapacity(),
	}
	for _, group := range h.groups {
		s.Groups = append(s.Groups, h.groupStatus(group))
	}
	s.Subscribers, s.LaggingSubscribers = h.subscribers.list(current.GetVersion())
	for _, group := range s.Groups {
		if group.Grants != nil {
			s.GrantsHeld += group.Grants.Held
			s.GrantsAnswered += group.Grants.Answered
		}
	}
	return s
}

func (h *operatorHandler) groupStatus(group controlpb.Group) operator.GroupStatus {
	s := h.replicas[group].Status()
	out := operator.GroupStatus{
		Group:   groupName(group),
		State:   stateOf(s),
		Leader:  s.Leader.GetName(),
		Term:    s.Term,
		Commit:  s.Commit,
		Applied: s.Applied,
		Members: []operator.MemberStatus{},
	}
	if (*Daemon)(h).isStandby() {
		out.State = stateStandby
	}
	if group != controlpb.Group_GROUP_CONFIG {
		out.Grants = h.grantStatus(grantIndex(group))
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
		return stateNotBootstrapped
	case s.Leader == nil:
		return stateNoLeader
	case proto.Equal(s.Leader, s.Self):
		return stateLeads
	}
	return stateFollows
}

// AddLearner implements operator.Handler.
func (h *operatorHandler) AddLearner(ctx context.Context, address string) error {
	return h.addLearner(ctx, address, "")
}

// addLearner adds the host at a link address. A non-empty name must be that of the host.
func (h *operatorHandler) addLearner(ctx context.Context, address, name string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.Wrapf(operator.ErrNotApplied, "%q is not of the form ip:port", address)
	}
	reply, err := (*Daemon)(h).queryReplicas(address)
	if err != nil {
		return errors.Wrapf(operator.ErrNotApplied, "the host at %s does not answer: %v", address, err)
	}
	var first error
	for _, info := range reply.GetReplicas() {
		if name != "" && info.GetId().GetName() != name {
			return errors.Wrapf(operator.ErrNotApplied, "the host at %s is not %s", address, name)
		}
		r := h.replicas[info.GetGroup()]
		if r == nil || isMember(r.Status(), info.GetId()) {
			continue
		}
		member := &raftpb.Member{
			Id: info.GetId(), Address: address, Learner: true, Transient: info.GetTransient(), FailureDomain: info.GetFailureDomain(),
		}
		first = firstError(first, r.AddLearner(ctx, member))
	}
	return partialError(first)
}

// partialError marks a change that was not made in every group.
func partialError(err error) error {
	if errors.Is(err, operator.ErrNotApplied) && !errors.Is(err, operator.ErrRefused) {
		return errors.Wrap(operator.ErrPartiallyApplied, err.Error())
	}
	return err
}

// firstError returns the first error of a change that is made in each group, except that
// the refusal of a leader takes precedence. Groups may have different leaders: the client
// calls the next host for the remaining groups.
func firstError(first, next error) error {
	if next == nil {
		return first
	}
	next = operatorError(next)
	if first == nil || errors.Is(next, operator.ErrRefused) {
		return next
	}
	return first
}

func isMember(s replica.Status, id *raftpb.ReplicaID) bool {
	for _, m := range s.Members {
		if proto.Equal(m.Member.GetId(), id) {
			return true
		}
	}
	return false
}

// Promote implements operator.Handler.
func (h *operatorHandler) Promote(ctx context.Context, m operator.MemberRef) error {
	return h.eachMember(ctx, m, func(r *replica.Replica, member *raftpb.Member) error {
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

// caughtUp reports whether a learner can be promoted without delaying commits. Only the
// leader knows; on other hosts the replica itself refuses the change.
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

// Remove implements operator.Handler.
func (h *operatorHandler) Remove(ctx context.Context, m operator.MemberRef) error {
	return h.eachMember(ctx, m, func(r *replica.Replica, member *raftpb.Member) error {
		if member == nil {
			return nil
		}
		return r.Remove(ctx, member.GetId())
	})
}

// eachMember calls f for the member's replica in each group, with nil where the group has
// no such member. No change is made in a group whose members cannot be confirmed by a read
// barrier.
func (h *operatorHandler) eachMember(ctx context.Context, ref operator.MemberRef, f func(*replica.Replica, *raftpb.Member) error) error {
	found, confirmed := false, true
	var first error
	for _, group := range h.groups {
		r := h.replicas[group]
		if err := r.ReadBarrier(ctx); err != nil {
			confirmed = false
			first = firstError(first, errors.Wrapf(replica.ErrMembership, "members of %s: %v", groupName(group), err))
			continue
		}
		matches := matchingMembers(r.Status(), ref)
		if len(matches) > 1 {
			return errors.Wrapf(operator.ErrNotApplied, "several members are named %q: name the incarnation too", ref.Name)
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
		return partialError(first)
	case confirmed:
		return errors.Wrapf(operator.ErrNotFound, "no member is named %q", ref.Name)
	}
	return first
}

func matchingMembers(s replica.Status, ref operator.MemberRef) []*raftpb.Member {
	var out []*raftpb.Member
	for _, m := range s.Members {
		id := m.Member.GetId()
		if id.GetName() == ref.Name && (ref.Incarnation == 0 || ref.Incarnation == id.GetIncarnation()) {
			out = append(out, m.Member)
		}
	}
	return out
}
