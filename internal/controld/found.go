package controld

import (
	"cmp"
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// voter is an initial voter as the settings name it.
type voter struct{ name, address string }

// parseVoters reads the initial voters, by name. A host that neither joins nor
// names any founds a group of its own; one that joins asks them to add it.
func parseVoters(s *settingspb.Replica, self string) ([]voter, error) {
	if len(s.GetInitialVoters()) == 0 && !s.GetJoin() {
		return []voter{{name: self, address: s.GetListen()}}, nil
	}
	var out []voter
	for _, text := range s.GetInitialVoters() {
		name, address, _ := strings.Cut(text, "=")
		if _, _, err := net.SplitHostPort(address); err != nil || name == "" {
			return nil, errors.Wrapf(ErrInvalidVoters, "%q is not of the form name=ip:port", text)
		}
		out = append(out, voter{name: strings.TrimSpace(name), address: strings.TrimSpace(address)})
	}
	if !s.GetJoin() && len(out) > raft.MaxVoters {
		return nil, errors.Wrapf(ErrInvalidVoters, "%d of them, at most %d: let the others join as learners", len(out), raft.MaxVoters)
	}
	slices.SortFunc(out, func(a, b voter) int { return cmp.Compare(a.name, b.name) })
	for i := 1; i < len(out); i++ {
		if out[i].name == out[i-1].name {
			return nil, errors.Wrapf(ErrInvalidVoters, "%q is named twice", out[i].name)
		}
	}
	if !s.GetJoin() && !slices.ContainsFunc(out, func(v voter) bool { return v.name == self }) {
		return nil, errors.Wrapf(ErrInvalidVoters, "%q is not among them", self)
	}
	return out, nil
}

// foundLoop brings the replicas of an empty data folder into their groups.
//
// One host alone founds: of the initial voters that keep their log the one whose
// name sorts first, once it knows the replicas of all of them. Where none keeps it, the
// first of all names a host that asks to join (see appointer). The others take over what
// it founded. A host whose group exists without its replica, because it lost its disk,
// must not vote under its old name; it waits to be added as a learner.
func (d *Daemon) foundLoop() {
	if d.joins() {
		d.joinLoop()
		return
	}
	stranger := false
	for !d.formed() {
		replies := d.askVoters()
		if d.mayStandBy() && someStandsBy(replies) {
			stranger = true
		}
		if stranger && d.settings.GetReplica().GetAutomaticMembers() {
			d.joinLoop()
			return
		}
		for _, group := range d.groups {
			if !d.replicas[group].Status().Formed && d.found(group, replies) && !stranger {
				stranger = true
				d.scope.Counter("stranger_to_its_group").Inc(1)
				d.log.Warn("the group exists without this replica: add this host as a learner",
					zap.String("group", groupName(group)))
			}
		}
		if !d.pause(foundRetry) {
			return
		}
	}
}

// joins reports whether this host asks to be added to a group. Where members follow
// the hosts, one that was started as an initial voter, and was started again before
// the group was founded, goes on as one: its settings may say by then that the
// deployment exists. The note of it is gone with the data folder, so a host that has
// lost its disk never founds.
func (d *Daemon) joins() bool {
	r := d.settings.GetReplica()
	if !r.GetAutomaticMembers() || r.GetTransient() {
		return r.GetJoin()
	}
	note := filepath.Join(r.GetDataFolder(), foundingNote)
	if r.GetJoin() {
		_, err := os.Stat(note)
		return err != nil
	}
	if err := writeNote(note); err != nil {
		d.log.Warn("founding not noted: a restart before the group exists ends it", zap.Error(err))
	}
	return false
}

// foundingNote is a file in the data folder of a host that was started as an initial
// voter.
const foundingNote = "founding"

func writeNote(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return err
	}
	return wal.OSFS{}.SyncDir(filepath.Dir(path))
}

// joinLoop asks the initial voters to add this host as a learner until it is
// a member of all groups. It asks all of them, since the groups may have
// different leaders. To be promoted is up to the operators.
func (d *Daemon) joinLoop() {
	if d.mayStandBy() {
		d.standByLoop()
		return
	}
	address := d.memberAddress(voter{name: d.name, address: d.settings.GetReplica().GetListen()})
	asks := newAsks(func(at string) { d.askToJoin(at, address) })
	defer asks.calls.Wait()
	for !d.formed() {
		for _, v := range d.initial() {
			if v.name != d.name {
				asks.start(v.address)
			}
		}
		if !d.pause(d.joinRetry()) {
			return
		}
	}
}

// initial returns the initial voters, or the hosts that were named in place of them, and
// the founder if this host has named one.
func (d *Daemon) initial() []voter {
	hosts := d.voters
	if named := d.named.Load(); named != nil {
		hosts = *named
	}
	if founder := d.appointer.named(); founder != nil {
		hosts = append(slices.Clone(hosts), *founder)
	}
	return hosts
}

// SetSeedHosts names other control hosts, each "name=ip:port" (link address), that a host
// asks to add it to their groups. It changes no group. Errors: ErrVoters.
func (d *Daemon) SetSeedHosts(hosts []string) error {
	parsed, err := parseVoters(&settingspb.Replica{InitialVoters: hosts, Join: true}, d.name)
	if err != nil {
		return err
	}
	d.named.Store(&parsed)
	return nil
}

func (d *Daemon) askToJoin(at, address string) {
	p := d.peers.get(at)
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.joinTimeout())
	defer cancel()
	req := &controlpb.Request{Body: &controlpb.Request_Join{Join: &controlpb.Join{
		Address:   address,
		Transient: d.settings.GetReplica().GetTransient(),
	}}}
	// Whether it took shows by the replicas' becoming members.
	res, err := p.calls.Call(ctx, req)
	if err != nil {
		d.scope.Counter("failed_joins").Inc(1)
		return
	}
	if res.GetFound() != nil && !d.settings.GetReplica().GetTransient() {
		d.foundAlone()
	}
}

// joinTimeout bounds a request to join. Without an operator who looks after it a
// host is to be back within seconds, so it asks again sooner.
func (d *Daemon) joinTimeout() time.Duration {
	if d.settings.GetReplica().GetAutomaticMembers() {
		return automaticJoinTimeout
	}
	return joinTimeout
}

// joinRetry is the pause between requests to join. Without an operator who looks
// after it a host asks soon again: until it is a member it knows no leader, and the
// processes that it serves have no routes.
func (d *Daemon) joinRetry() time.Duration {
	if d.settings.GetReplica().GetAutomaticMembers() {
		return foundRetry
	}
	return joinRetry
}

// pause waits and reports whether the daemon still runs.
func (d *Daemon) pause(wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-d.ctx.Done():
		return false
	}
}

func (d *Daemon) formed() bool {
	for _, group := range d.groups {
		if !d.replicas[group].Status().Formed {
			return false
		}
	}
	return true
}

// someStandsBy reports whether a host stands by for a group that exists.
func someStandsBy(replies map[string]*controlpb.ReplicaReply) bool {
	for _, reply := range replies {
		if len(reply.GetStandsBy().GetAddresses()) > 0 {
			return true
		}
	}
	return false
}

// askVoters returns the replicas of the other initial voters that answer.
func (d *Daemon) askVoters() map[string]*controlpb.ReplicaReply {
	replies := map[string]*controlpb.ReplicaReply{}
	for _, v := range d.initial() {
		if v.name == d.name {
			continue
		}
		if reply, err := d.askReplicas(v.address); err == nil {
			replies[v.name] = reply
		}
	}
	return replies
}

func (d *Daemon) askReplicas(address string) (*controlpb.ReplicaReply, error) {
	p := d.peers.get(address)
	if p == nil {
		return nil, errors.New("the daemon stops")
	}
	ctx, cancel := context.WithTimeout(d.ctx, foundTimeout)
	defer cancel()
	req := &controlpb.Request{Body: &controlpb.Request_Replicas{Replicas: &controlpb.ReplicaQuery{}}}
	res, err := p.calls.Call(ctx, req)
	if err != nil {
		return nil, err
	}
	if res.GetReplicas() == nil {
		return nil, errors.Errorf("unfit answer: %s", res.GetFault().GetText())
	}
	return res.GetReplicas(), nil
}

// found forms the replica of one group if it may. It reports whether the
// group exists without it.
func (d *Daemon) found(group controlpb.Group, replies map[string]*controlpb.ReplicaReply) (stranger bool) {
	self := d.replicas[group].ID()
	infos := map[string]*controlpb.ReplicaInfo{}
	for name, reply := range replies {
		for _, info := range reply.GetReplicas() {
			if info.GetGroup() == group {
				infos[name] = info
			}
		}
	}
	exists := false
	for _, info := range infos {
		if !info.GetFormed() {
			continue
		}
		exists = true
		if hasMember(info.GetMembership(), self) {
			d.form(group, info.GetMembership())
			return false
		}
	}
	if !exists {
		d.foundNew(group, self, infos)
	}
	return exists
}

func hasMember(m *raftpb.Membership, id *raftpb.ReplicaID) bool {
	return slices.ContainsFunc(m.GetMembers(), func(member *raftpb.Member) bool {
		return proto.Equal(member.GetId(), id)
	})
}

func (d *Daemon) foundNew(group controlpb.Group, self *raftpb.ReplicaID, infos map[string]*controlpb.ReplicaInfo) {
	m := &raftpb.Membership{}
	for _, v := range d.voters {
		id, domain := self, d.settings.GetHost().GetFailureDomain()
		if v.name != d.name {
			info := infos[v.name]
			if info.GetId().GetName() != v.name {
				return // not heard of yet
			}
			if info.GetTransient() {
				continue // never votes
			}
			id, domain = info.GetId(), info.GetFailureDomain()
		} else if d.settings.GetReplica().GetTransient() {
			continue
		}
		m.Members = append(m.Members, &raftpb.Member{Id: id, Address: d.memberAddress(v), FailureDomain: domain})
	}
	switch {
	case len(m.GetMembers()) == 0 && d.voters[0].name == d.name:
		d.appointer.allow()
	case len(m.GetMembers()) > 0 && m.GetMembers()[0].GetId() == self:
		d.form(group, m)
	}
}

// foundAlone forms the groups with this host as the only member: no initial voter keeps
// its log, and the one that decides has named this host. The others join it.
func (d *Daemon) foundAlone() {
	address := d.memberAddress(voter{name: d.name, address: d.settings.GetReplica().GetListen()})
	for _, group := range d.groups {
		self := d.replicas[group]
		if !self.Status().Formed {
			d.form(group, &raftpb.Membership{Members: []*raftpb.Member{{
				Id: self.ID(), Address: address, FailureDomain: d.settings.GetHost().GetFailureDomain(),
			}}})
		}
	}
}

// memberAddress puts the port in use in place of port 0.
func (d *Daemon) memberAddress(v voter) string {
	host, port, _ := net.SplitHostPort(v.address)
	if v.name == d.name && port == "0" {
		return net.JoinHostPort(host, d.listenPort())
	}
	return v.address
}

func (d *Daemon) form(group controlpb.Group, m *raftpb.Membership) {
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	err := d.replicas[group].Bootstrap(ctx, m)
	if err != nil && !errors.Is(err, replica.ErrAlreadyBootstrapped) {
		d.log.Warn("cannot form the group", zap.String("group", groupName(group)), zap.Error(err))
		return
	}
	d.log.Info("group formed", zap.String("group", groupName(group)), zap.Int("members", len(m.GetMembers())))
}

// replicaInfos answers a ReplicaQuery.
func (d *Daemon) replicaInfos() *controlpb.ReplicaReply {
	reply := &controlpb.ReplicaReply{}
	for _, group := range d.groups {
		s := d.replicas[group].Status()
		info := &controlpb.ReplicaInfo{
			Group:     group,
			Id:        d.replicas[group].ID(),
			Formed:    s.Formed,
			Transient: d.settings.GetReplica().GetTransient(),

			FailureDomain: d.settings.GetHost().GetFailureDomain(),
		}
		if s.Formed {
			info.Membership = &raftpb.Membership{}
			for _, m := range s.Members {
				info.Membership.Members = append(info.Membership.Members, m.Member)
			}
		}
		reply.Replicas = append(reply.Replicas, info)
	}
	if hosts := d.standby.serving(); len(hosts) > 0 && d.standsBy() {
		reply.StandsBy = &controlpb.ControlHosts{Addresses: hosts}
	}
	return reply
}
