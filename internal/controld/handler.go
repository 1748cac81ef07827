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
	// RefusalSuperseded tells that a newer process of the target is known. The
	// older one goes on with its sessions and takes no new ones.
	RefusalSuperseded = "a newer process of this target is known"
	// RefusalIdentity tells that the record contradicts the registration or
	// the certificate of the agent.
	RefusalIdentity = "the record does not match the registration"
	// RefusalInvalid tells that the record breaks a bound.
	RefusalInvalid = "the record is improper"
	// RefusalFull tells that the directory is full.
	RefusalFull = "the directory is full"
)

// refusalReason is a value of the tag of the counter of refusals.
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
	refusedImproper   refusalReason = "improper_record"
	refusedFull       refusalReason = "directory_full"
	refusedTable      refusalReason = "slot_table"
	refusedStandsBy   refusalReason = "stands_by"
)

// handler answers the requests of peers.
type handler Daemon

// allowed has the roles that may send each kind of request.
func allowed(req *controlpb.Request) []keys.Role {
	switch req.GetBody().(type) {
	case *controlpb.Request_Raft, *controlpb.Request_Propose, *controlpb.Request_DirectorySync, *controlpb.Request_Replicas,
		*controlpb.Request_Join, *controlpb.Request_TakeOver, *controlpb.Request_Serving:
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
	roles := allowed(req)
	if roles == nil {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, "no such request")
	}
	if !slices.Contains(roles, peer.Role) {
		return h.fault(refusedRole, controlpb.FaultKind_FAULT_FORBIDDEN, "the role may not ask this")
	}
	if peer.Role != keys.RoleControl && (*Daemon)(h).standsBy() {
		return h.refuseStandingBy(ctx)
	}
	switch body := req.GetBody().(type) {
	case *controlpb.Request_Raft:
		return h.raft(peer, body.Raft)
	case *controlpb.Request_Propose:
		return h.propose(ctx, body.Propose)
	case *controlpb.Request_DirectorySync:
		reply := h.directory.hear(peer.Name, body.DirectorySync)
		return &controlpb.Response{Body: &controlpb.Response_DirectorySync{DirectorySync: reply}}
	case *controlpb.Request_Replicas:
		reply := (*Daemon)(h).replicaInfos()
		return &controlpb.Response{Body: &controlpb.Response_Replicas{Replicas: reply}}
	case *controlpb.Request_Join:
		return h.join(ctx, peer, body.Join)
	case *controlpb.Request_TakeOver:
		return h.takeOver(ctx, peer, body.TakeOver)
	case *controlpb.Request_Serving:
		(*Daemon)(h).noteServing(body.Serving.GetAddresses())
		return done()
	case *controlpb.Request_Register:
		return h.register(ctx, peer, body.Register)
	case *controlpb.Request_Announce:
		return h.announce(peer, body.Announce.GetRecord())
	case *controlpb.Request_Grant:
		return h.grant(ctx, peer, body.Grant)
	case *controlpb.Request_Unregister:
		return h.unregister(ctx, peer, body.Unregister)
	}
	return h.version(ctx)
}

func done() *controlpb.Response {
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

func (h *handler) raft(peer link.Peer, batch *controlpb.RaftBatch) *controlpb.Response {
	r := h.replicas[batch.GetGroup()]
	if r == nil {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, "no such group")
	}
	for _, m := range batch.GetMessages() {
		// A control host speaks for itself only.
		if m.GetFrom().GetName() != peer.Name {
			return h.fault(refusedSender, controlpb.FaultKind_FAULT_FORBIDDEN, "message of another host")
		}
	}
	h.peers.learn(peer.Name, batch.GetAddress())
	r.Receive(batch.GetMessages())
	return done()
}

// join adds the host that asks as a learner to the groups that this host
// leads. The answer says whether it is a member of all now.
func (h *handler) join(ctx context.Context, peer link.Peer, j *controlpb.Join) *controlpb.Response {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if answer := h.standByAnswer(j); answer != nil {
		return answer
	}
	name := cmp.Or(j.GetName(), peer.Name)
	// A host that leads no group cannot add one, and asking the host that joins who it is
	// would cost that one a link from each member.
	err := errors.Wrap(operator.ErrNotApplied, "this host leads no group")
	if h.leadsAny() {
		err = (*operatorHandler)(h).addLearner(ctx, j.GetAddress(), name)
	}
	if err != nil && h.appoints(peer, j) {
		return &controlpb.Response{Body: &controlpb.Response_Found{Found: &controlpb.Found{}}}
	}
	if err != nil && int(j.GetHops()) < joinHops {
		return h.passOnJoin(ctx, j, name)
	}
	if errors.Is(err, operator.ErrOutcomeUnknown) {
		return h.fault(refusedUnknown, controlpb.FaultKind_FAULT_UNKNOWN, err.Error())
	}
	if err != nil {
		return h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	}
	return done()
}

func (h *handler) leadsAny() bool {
	return slices.ContainsFunc(h.groups, (*Daemon)(h).leads)
}

// appoints reports whether a host that asks to join is to found the groups.
func (h *handler) appoints(peer link.Peer, j *controlpb.Join) bool {
	if j.GetTransient() || j.GetHops() > 0 || (*Daemon)(h).formed() {
		return false
	}
	return h.appointer.appoint(voter{name: peer.Name, address: j.GetAddress()})
}

// passOnJoin asks the leaders that this host knows of to add a host: one that
// joins may not know the address of any leader.
func (h *handler) passOnJoin(ctx context.Context, j *controlpb.Join, name string) *controlpb.Response {
	next := &controlpb.Join{
		Address:   j.GetAddress(),
		Transient: j.GetTransient(),
		StandBy:   j.GetStandBy(),
		Name:      name,
		Hops:      j.GetHops() + 1,
	}
	if far := h.standby.link(); far != nil {
		return h.callJoin(ctx, far, next)
	}
	answer := h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, "no leader is known")
	asked := map[string]bool{}
	for _, group := range h.groups {
		s := h.replicas[group].Status()
		if s.Leader == nil || s.Leading() {
			continue
		}
		address := h.peers.addressOf(h.replicas[group].MemberByID(s.Leader))
		far := h.peers.get(address)
		if far == nil || asked[address] {
			continue
		}
		asked[address] = true
		answer = h.callJoin(ctx, far.calls, next)
	}
	return answer
}

// callJoin asks another control host to add a host.
func (h *handler) callJoin(ctx context.Context, to *link.Client, j *controlpb.Join) *controlpb.Response {
	res, err := to.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Join{Join: j}})
	if err != nil {
		return h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	}
	return res
}

// propose replicates a command that a follower forwards.
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

// proposeStatus sorts an error of a replica.
func proposeStatus(err error) controlpb.ProposeStatus {
	return replica.NewProposeReply(nil, err).GetStatus()
}

// replicate runs a command of an agent and decodes its result. On failure it
// returns the fault to answer.
func (h *handler) replicate(ctx context.Context, group controlpb.Group, command, result proto.Message) *controlpb.Response {
	data, err := proto.Marshal(command)
	if err != nil {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := h.proposeSoon(ctx, group, data)
	switch proposeStatus(err) {
	case controlpb.ProposeStatus_PROPOSE_NO_LEADER:
		return h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	case controlpb.ProposeStatus_PROPOSE_BUSY:
		return h.fault(refusedBusy, controlpb.FaultKind_FAULT_NOT_DONE, err.Error())
	case controlpb.ProposeStatus_PROPOSE_UNKNOWN:
		return h.fault(refusedUnknown, controlpb.FaultKind_FAULT_UNKNOWN, err.Error())
	}
	if err := proto.Unmarshal(answer, result); err != nil {
		return h.fault(refusedUnknown, controlpb.FaultKind_FAULT_UNKNOWN, err.Error())
	}
	return nil
}

// unregister forgets a target whose backend server is gone for good.
func (h *handler) unregister(ctx context.Context, peer link.Peer, u *configpb.UnregisterTarget) *controlpb.Response {
	id := h.configs.target(u.GetNumber())
	if id != nil && id.GetService() != peer.Service {
		return h.fault(refusedService, controlpb.FaultKind_FAULT_FORBIDDEN, "the certificate is for another service")
	}
	command := &configpb.Command{Body: &configpb.Command_Unregister{Unregister: u}}
	if fault := h.replicate(ctx, controlpb.Group_GROUP_CONFIG, command, new(configpb.Result)); fault != nil {
		return fault
	}
	return done()
}

// proposeSoon replicates a command, and waits for a leader for a moment if none is
// known: agents that come while one is elected would all ask again later.
func (h *handler) proposeSoon(ctx context.Context, group controlpb.Group, command []byte) ([]byte, error) {
	r := h.replicas[group]
	return insist(ctx, r.WaitForLeader, func() ([]byte, error) { return r.Propose(ctx, command) })
}

// insist proposes until that is not refused for want of a leader, for as long as a caller
// waits. A host that has just learned who leads may have no link to it yet.
func insist(ctx context.Context, await func(context.Context) bool, propose func() ([]byte, error)) ([]byte, error) {
	waiting, cancel := context.WithTimeout(ctx, leaderPatience)
	defer cancel()
	for {
		answer, err := propose()
		if !errors.Is(err, replica.ErrNoLeader) {
			return answer, err
		}
		if !await(waiting) || sleep.For(waiting, leaderRetry) != nil {
			return nil, err
		}
	}
}

func (h *handler) register(ctx context.Context, peer link.Peer, r *configpb.RegisterTarget) *controlpb.Response {
	if r.GetService() != peer.Service {
		return h.fault(refusedService, controlpb.FaultKind_FAULT_FORBIDDEN, "the certificate is for another service")
	}
	if held := h.configs.registered(r); held != nil {
		// The same process gets the same numbers again, whether or not a quorum can
		// be asked.
		return &controlpb.Response{Body: &controlpb.Response_Registration{Registration: held}}
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
	return &controlpb.Response{Body: &controlpb.Response_Registration{Registration: registration}}
}

// grant has a command of an agent applied by the group that its key belongs to.
func (h *handler) grant(ctx context.Context, peer link.Peer, c *grantpb.Command) *controlpb.Response {
	service, key, proper := grant.CommandKey(c)
	if !proper {
		return h.fault(refusedRequest, controlpb.FaultKind_FAULT_FORBIDDEN, "an agent may not ask this")
	}
	if h.foreign(peer, service) {
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
	if stated := c.GetTable(); stated == 0 || stated == table.Digest() {
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

// foreign reports whether a service number is known to be that of another
// service than the agent's. A host that lags behind may not know the number.
func (h *handler) foreign(peer link.Peer, service uint32) bool {
	name := h.configs.serviceName(service)
	return name != "" && name != peer.Service
}

func (h *handler) announce(peer link.Peer, r *controlpb.TargetRecord) *controlpb.Response {
	reply := &controlpb.AnnounceReply{LeaseMs: uint32(h.directory.lease().Milliseconds())}
	if reason, text := h.admit(peer, r); text != "" {
		h.count(reason)
		reply.Refusal = text
	}
	return &controlpb.Response{Body: &controlpb.Response_Announce{Announce: reply}}
}

// admit merges the record of an agent or tells why not.
func (h *handler) admit(peer link.Peer, r *controlpb.TargetRecord) (refusalReason, string) {
	if h.foreign(peer, r.GetService()) || h.contradicts(r) {
		return refusedIdentity, RefusalIdentity
	}
	switch h.directory.announce(r) {
	case membership.Superseded:
		if r.GetState() == controlpb.TargetState_TARGET_STATE_DRAINING {
			// What the older process asks for is so already.
			return "", ""
		}
		return refusedSuperseded, RefusalSuperseded
	case membership.Invalid:
		return refusedImproper, RefusalInvalid
	case membership.AtCapacity:
		return refusedFull, RefusalFull
	}
	// An outdated record is an announcement that was overtaken by a later one
	// of the same process.
	return "", ""
}

// contradicts reports whether a record speaks for a target number of another
// service or name.
func (h *handler) contradicts(r *controlpb.TargetRecord) bool {
	id := h.configs.target(r.GetNumber())
	if id == nil {
		return false
	}
	return id.GetServiceNumber() != r.GetService() || id.GetTarget() != r.GetName()
}

func (h *handler) version(ctx context.Context) *controlpb.Response {
	err := h.confirm.wait(ctx)
	reply := &controlpb.VersionReply{Version: h.configs.version(), Confirmed: err == nil}
	return &controlpb.Response{Body: &controlpb.Response_Version{Version: reply}}
}
