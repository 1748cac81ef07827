package controld

import (
	"cmp"
	"context"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// Refusals of an announcement.
const (
	// RefusalSuperseded means that a newer process of the target is known. The older one
	// keeps its sessions and takes no new ones.
	RefusalSuperseded = "a newer process of this target is known"
	// RefusalIdentity means that the record does not match the registration or the
	// certificate of the agent.
	RefusalIdentity = "the record does not match the registration"
	// RefusalInvalid means that the record violates a bound.
	RefusalInvalid = "the record is improper"
	// RefusalFull means that the directory is full.
	RefusalFull = "the directory is full"
)

// refusalReason is the reason tag of the refusals counter.
type refusalReason string

const (
	refusedRole       refusalReason = "role"
	refusedService    refusalReason = "service"
	refusedSender     refusalReason = "sender"
	refusedRequest    refusalReason = "request"
	refusedNoLeader   refusalReason = "no_leader"
	refusedBusy       refusalReason = "busy"
	refusedUnknown    refusalReason = "unknown_outcome"
	refusedSuperseded refusalReason = "superseded"
	refusedIdentity   refusalReason = "identity"
	refusedInvalid    refusalReason = "improper_record"
	refusedFull       refusalReason = "directory_full"
	refusedOutdated   refusalReason = "outdated_record"
	refusedTable      refusalReason = "slot_table"
	refusedStandby    refusalReason = "stands_by"
)

// handler serves the requests of peers.
type handler Daemon

// allowedRoles returns the roles that may send a request.
func allowedRoles(req *controlpb.Request) []keys.Role {
	switch req.GetBody().(type) {
	case *controlpb.Request_Raft, *controlpb.Request_Propose, *controlpb.Request_DirectorySync, *controlpb.Request_Replicas,
		*controlpb.Request_Join, *controlpb.Request_TakeOver, *controlpb.Request_Serving, *controlpb.Request_Founding:
		return []keys.Role{keys.RoleControl}
	case *controlpb.Request_Register, *controlpb.Request_Announce, *controlpb.Request_Grant, *controlpb.Request_Unregister:
		return []keys.Role{keys.RoleAgent}
	case *controlpb.Request_Version:
		return []keys.Role{keys.RoleControl, keys.RoleEntry, keys.RoleAgent}
	}
	return nil
}

// Call implements link.Handler.
func (h *handler) Call(ctx context.Context, peer link.Peer, req *controlpb.Request) *controlpb.Response {
	roles := allowedRoles(req)
	if roles == nil {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, "no such request")
	}
	if !slices.Contains(roles, peer.Role) {
		return h.fault(refusedRole, controlpb.FaultKind_FAULT_FORBIDDEN, "the role may not ask this")
	}
	if peer.Role != keys.RoleControl && (*Daemon)(h).isStandby() {
		return h.refuseAsStandby(ctx)
	}
	switch body := req.GetBody().(type) {
	case *controlpb.Request_Raft:
		return h.raft(peer, body.Raft)
	case *controlpb.Request_Propose:
		return h.propose(ctx, body.Propose)
	case *controlpb.Request_DirectorySync:
		reply := h.directory.applySync(peer.Name, body.DirectorySync)
		return &controlpb.Response{Body: &controlpb.Response_DirectorySync{DirectorySync: reply}}
	case *controlpb.Request_Replicas:
		reply := (*Daemon)(h).replicaInfos()
		return &controlpb.Response{Body: &controlpb.Response_Replicas{Replicas: reply}}
	case *controlpb.Request_Join:
		return h.join(ctx, peer, body.Join)
	case *controlpb.Request_TakeOver:
		return h.handleTakeOver(ctx, peer, body.TakeOver)
	case *controlpb.Request_Serving:
		(*Daemon)(h).setServingHosts(body.Serving.GetAddresses())
		return doneResponse()
	case *controlpb.Request_Founding:
		reply, err := (*Daemon)(h).handleFounding(body.Founding)
		if err != nil {
			return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
		}
		return &controlpb.Response{Body: &controlpb.Response_Founding{Founding: reply}}
	case *controlpb.Request_Register:
		return h.register(ctx, peer, body.Register)
	case *controlpb.Request_Announce:
		return h.announce(peer, body.Announce)
	case *controlpb.Request_Grant:
		return h.grant(ctx, peer, body.Grant)
	case *controlpb.Request_Unregister:
		return h.unregister(ctx, peer, body.Unregister)
	}
	return h.version(ctx)
}

func doneResponse() *controlpb.Response {
	return &controlpb.Response{Body: &controlpb.Response_Done{Done: &controlpb.Done{}}}
}

func (h *handler) count(reason refusalReason) {
	h.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals").Inc(1)
}

func (h *handler) fault(reason refusalReason, kind controlpb.FaultKind, text string) *controlpb.Response {
	h.count(reason)
	f := &controlpb.Fault{Kind: kind, Text: text}
	if kind != controlpb.FaultKind_FAULT_FORBIDDEN {
		f.RetryAfterMs = uint32(retryAfterBusy.Milliseconds())
	}
	return &controlpb.Response{Body: &controlpb.Response_Fault{Fault: f}}
}

// refuseAsIsolated refuses a request on an isolated host and names the others.
func (h *handler) refuseAsIsolated() *controlpb.Response {
	return h.redirect(refusedNoLeader, "this host is isolated", (*Daemon)(h).otherServingHosts())
}

// redirect returns a fault that names other hosts to go to.
func (h *handler) redirect(reason refusalReason, text string, hosts []string) *controlpb.Response {
	res := h.fault(reason, controlpb.FaultKind_FAULT_NOT_DONE, text)
	if len(hosts) > 0 {
		res.GetFault().Hosts = &controlpb.ControlHosts{Addresses: hosts}
		res.GetFault().RetryAfterMs = 0
	}
	return res
}

func (h *handler) raft(peer link.Peer, batch *controlpb.RaftBatch) *controlpb.Response {
	r := h.replicas[batch.GetGroup()]
	if r == nil {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, "no such group")
	}
	for _, m := range batch.GetMessages() {
		// A control host sends messages only for itself.
		if m.GetFrom().GetName() != peer.Name {
			return h.fault(refusedSender, controlpb.FaultKind_FAULT_FORBIDDEN, "message of another host")
		}
	}
	h.peers.setAddress(peer.Name, batch.GetAddress())
	r.Receive(batch.GetMessages())
	return doneResponse()
}

// join adds the requesting host as a learner to the groups that this host leads. It
// succeeds if the host is a member of all groups.
func (h *handler) join(ctx context.Context, peer link.Peer, j *controlpb.Join) *controlpb.Response {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	name := cmp.Or(j.GetName(), peer.Name)
	if j.GetStandBy() {
		if response := h.decideStandby(ctx, j, name); response != nil {
			return response
		}
	}
	// Checked first, so that only leaders dial the joining host.
	err := errors.Wrap(operator.ErrNotApplied, "this host leads no group")
	if h.leadsAnyGroup() {
		h.scope.Counter("dialled_joins").Inc(1)
		err = (*operatorHandler)(h).addLearner(ctx, j.GetAddress(), name)
	}
	if err != nil && h.shouldBootstrap(peer, j) {
		return &controlpb.Response{Body: &controlpb.Response_Found{Found: &controlpb.Found{}}}
	}
	if err != nil && int(j.GetHops()) < maxJoinHops {
		return h.forwardJoin(ctx, j, name, h.groups)
	}
	if errors.Is(err, operator.ErrOutcomeUnknown) {
		return h.fault(refusedUnknown, controlpb.FaultKind_FAULT_UNKNOWN, err.Error())
	}
	if err != nil {
		return h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	}
	return doneResponse()
}

func (h *handler) leadsAnyGroup() bool {
	return slices.ContainsFunc(h.groups, (*Daemon)(h).isLeader)
}

// shouldBootstrap reports whether a joining host has to bootstrap the groups.
func (h *handler) shouldBootstrap(peer link.Peer, j *controlpb.Join) bool {
	if j.GetTransient() || j.GetHops() > 0 || (*Daemon)(h).bootstrapped() {
		return false
	}
	return h.founderSelector.isFounder(seedHost{name: peer.Name, address: j.GetAddress()})
}

// forwardJoin forwards a request to join to the known leaders of groups, since the joining host
// may not know their addresses.
func (h *handler) forwardJoin(ctx context.Context, j *controlpb.Join, name string, groups []controlpb.Group) *controlpb.Response {
	next := &controlpb.Join{
		Address:   j.GetAddress(),
		Transient: j.GetTransient(),
		StandBy:   j.GetStandBy(),
		Name:      name,
		Hops:      j.GetHops() + 1,

		Incarnation: j.GetIncarnation(),
	}
	if remote := h.standby.link(); remote != nil {
		return h.sendJoin(ctx, remote, next)
	}
	response := h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, "no leader is known")
	contacted := map[string]bool{}
	for _, group := range groups {
		s := h.replicas[group].Status()
		if s.Leader == nil || s.Leading() {
			continue
		}
		address := h.peers.addressOf(h.replicas[group].MemberByID(s.Leader))
		remote := h.peers.get(address)
		if remote == nil || contacted[address] {
			continue
		}
		contacted[address] = true
		response = h.sendJoin(ctx, remote.calls, next)
	}
	return response
}

// sendJoin sends a request to join to another control host.
func (h *handler) sendJoin(ctx context.Context, to *link.Client, j *controlpb.Join) *controlpb.Response {
	res, err := to.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Join{Join: j}})
	if err != nil {
		return h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	}
	return res
}

// propose replicates a command that a follower forwarded.
func (h *handler) propose(ctx context.Context, p *controlpb.Propose) *controlpb.Response {
	r := h.replicas[p.GetGroup()]
	if r == nil {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, "no such group")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := r.ProposeLocal(ctx, p.GetCommand())
	reply := replica.NewProposeReply(result, err)
	return &controlpb.Response{Body: &controlpb.Response_Propose{Propose: reply}}
}

// proposeStatus returns the status for an error of a replica.
func proposeStatus(err error) controlpb.ProposeStatus {
	return replica.NewProposeReply(nil, err).GetStatus()
}

// replicate proposes a command of an agent and decodes its result. On failure it returns
// the fault to reply with. An isolated host fails at once and names the others: an agent that
// starts knows few hosts, and would wait for this one again and again.
func (h *handler) replicate(ctx context.Context, group controlpb.Group, command, result proto.Message) *controlpb.Response {
	if group == controlpb.Group_GROUP_CONFIG && (*Daemon)(h).hasBecomeIsolated() {
		return h.refuseAsIsolated()
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := h.proposeAwaitingLeader(ctx, group, data)
	switch proposeStatus(err) {
	case controlpb.ProposeStatus_PROPOSE_NO_LEADER:
		if (*Daemon)(h).hasBecomeIsolated() {
			return h.refuseAsIsolated() // while the command waited
		}
		return h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	case controlpb.ProposeStatus_PROPOSE_BUSY:
		return h.fault(refusedBusy, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	case controlpb.ProposeStatus_PROPOSE_UNKNOWN:
		return h.fault(refusedUnknown, controlpb.FaultKind_FAULT_UNKNOWN, err.Error())
	}
	if err := proto.Unmarshal(reply, result); err != nil {
		return h.fault(refusedUnknown, controlpb.FaultKind_FAULT_UNKNOWN, err.Error())
	}
	return nil
}

// unregister removes a target whose backend server is gone for good.
func (h *handler) unregister(ctx context.Context, peer link.Peer, u *configpb.UnregisterTarget) *controlpb.Response {
	id := h.configs.target(u.GetNumber())
	if id != nil && id.GetService() != peer.Service {
		return h.fault(refusedService, controlpb.FaultKind_FAULT_FORBIDDEN, "the certificate is for another service")
	}
	command := &configpb.Command{Body: &configpb.Command_Unregister{Unregister: u}}
	if fault := h.replicate(ctx, controlpb.Group_GROUP_CONFIG, command, new(configpb.Result)); fault != nil {
		return fault
	}
	return doneResponse()
}

// proposeAwaitingLeader replicates a command. If no leader is known, it waits for one
// briefly, so that agents need not retry during an election.
func (h *handler) proposeAwaitingLeader(ctx context.Context, group controlpb.Group, command []byte) ([]byte, error) {
	r := h.replicas[group]
	return proposeWithRetry(ctx, r.WaitForLeader, func() ([]byte, error) { return r.Propose(ctx, command) })
}

// proposeWithRetry retries propose while there is no leader, up to leaderWaitTimeout. A
// host that has just learned of a leader may have no link to it yet.
func proposeWithRetry(ctx context.Context, await func(context.Context) bool, propose func() ([]byte, error)) ([]byte, error) {
	waitCtx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	for {
		reply, err := propose()
		if !errors.Is(err, replica.ErrNoLeader) {
			return reply, err
		}
		if !await(waitCtx) || sleep.For(waitCtx, leaderRetry) != nil {
			return nil, err
		}
	}
}

func (h *handler) register(ctx context.Context, peer link.Peer, r *configpb.RegisterTarget) *controlpb.Response {
	if r.GetService() != peer.Service {
		return h.fault(refusedService, controlpb.FaultKind_FAULT_FORBIDDEN, "the certificate is for another service")
	}
	if existing := h.configs.registered(r); existing != nil {
		// The same process gets the same numbers again, even without a quorum.
		return &controlpb.Response{Body: &controlpb.Response_Registration{Registration: existing}}
	}
	command := &configpb.Command{Body: &configpb.Command_Register{Register: r}}
	result := new(configpb.Result)
	if fault := h.replicate(ctx, controlpb.Group_GROUP_CONFIG, command, result); fault != nil {
		return fault
	}
	registration := result.GetRegistration()
	if registration == nil {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, "the registration was not understood")
	}
	return &controlpb.Response{
		Body:                &controlpb.Response_Registration{Registration: registration},
		RegistrationCreated: result.GetCreated(),
	}
}

// grant applies a command of an agent in the group that owns its key.
func (h *handler) grant(ctx context.Context, peer link.Peer, c *grantpb.Command) *controlpb.Response {
	service, key, hasKey := grant.CommandKey(c)
	if !hasKey {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_FORBIDDEN, "an agent may not ask this")
	}
	if h.belongsToOtherService(peer, service) {
		return h.fault(refusedService, controlpb.FaultKind_FAULT_FORBIDDEN, "the certificate is for another service")
	}
	if h.grants.count() == 0 {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, "this deployment has no grants")
	}
	table := h.grants.table()
	if table == nil || table.Groups() != h.grants.count() {
		return h.fault(refusedTable, controlpb.FaultKind_FAULT_NOT_DONE, "this host does not know the agreed slot table")
	}
	result := &grantpb.Result{Decision: grantpb.Decision_DECISION_TABLE}
	if requested := c.GetTable(); requested == 0 || requested == table.Digest() {
		c.Table = table.Digest()
		if fault := h.replicate(ctx, grantGroup(table.GroupOf(service, key)), c, result); fault != nil {
			return fault
		}
	}
	if result.GetDecision() == grantpb.Decision_DECISION_TABLE {
		h.count(refusedTable)
	}
	result.Table, result.Groups = table.Digest(), uint32(table.Groups())
	return &controlpb.Response{Body: &controlpb.Response_Grant{Grant: result}}
}

// belongsToOtherService reports whether a service number is known to belong to another
// service than the agent's. A host that lags behind may not know the number.
func (h *handler) belongsToOtherService(peer link.Peer, service uint32) bool {
	name := h.configs.serviceName(service)
	return name != "" && name != peer.Service
}

func (h *handler) announce(peer link.Peer, a *controlpb.Announce) *controlpb.Response {
	reply := &controlpb.AnnounceReply{LeaseMs: uint32(h.directory.lease().Milliseconds())}
	if reason := h.admitAnnouncement(peer, a, reply); reason != "" {
		h.count(reason)
	}
	return &controlpb.Response{Body: &controlpb.Response_Announce{Announce: reply}}
}

// admitAnnouncement merges the record of an agent. If the record is not taken, it sets the
// cause in the reply and returns the reason to count.
func (h *handler) admitAnnouncement(peer link.Peer, a *controlpb.Announce, reply *controlpb.AnnounceReply) refusalReason {
	r := a.GetRecord()
	if h.belongsToOtherService(peer, r.GetService()) || h.conflictsWithRegistration(r) {
		reply.Refusal = RefusalIdentity
		return refusedIdentity
	}
	switch h.directory.announce(r) {
	case membership.Superseded:
		if r.GetState() == controlpb.TargetState_TARGET_STATE_DRAINING {
			// The older process is draining already.
			return ""
		}
		reply.Refusal = RefusalSuperseded
		return refusedSuperseded
	case membership.Invalid:
		reply.Refusal = RefusalInvalid
		return refusedInvalid
	case membership.AtCapacity:
		reply.Refusal = RefusalFull
		return refusedFull
	case membership.Outdated:
		// The agent has restarted, or a later announcement has overtaken this one.
		reply.NewerSequence = h.directory.latestSequence(r.GetNumber(), r.GetIncarnation())
		return refusedOutdated
	}
	h.directory.capacity.record(h.directory.now(), r, a.GetCapacity())
	(*Daemon)(h).recordLeaving(r)
	return ""
}

// conflictsWithRegistration reports whether the target number of a record is registered for
// another service or name.
func (h *handler) conflictsWithRegistration(r *controlpb.TargetRecord) bool {
	id := h.configs.target(r.GetNumber())
	if id == nil {
		return false
	}
	return id.GetServiceNumber() != r.GetService() || id.GetTarget() != r.GetName()
}

func (h *handler) version(ctx context.Context) *controlpb.Response {
	err := h.readBarrier.wait(ctx)
	reply := &controlpb.VersionReply{Version: h.configs.version(), Confirmed: err == nil}
	return &controlpb.Response{Body: &controlpb.Response_Version{Version: reply}}
}
