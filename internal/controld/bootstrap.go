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

// seedHost is a control host named in the settings, with its link address.
type seedHost struct{ name, address string }

// parseInitialVoters parses the initial voters and sorts them by name. A host that neither
// joins nor lists any is the only voter of its own deployment.
func parseInitialVoters(s *settingspb.Replica, self string) ([]seedHost, error) {
	if len(s.GetInitialVoters()) == 0 && !s.GetJoin() {
		return []seedHost{{name: self, address: s.GetListen()}}, nil
	}
	var out []seedHost
	for _, text := range s.GetInitialVoters() {
		name, address, _ := strings.Cut(text, "=")
		if _, _, err := net.SplitHostPort(address); err != nil || name == "" {
			return nil, errors.Wrapf(ErrInvalidVoters, "%q is not of the form name=ip:port", text)
		}
		out = append(out, seedHost{name: strings.TrimSpace(name), address: strings.TrimSpace(address)})
	}
	if !s.GetJoin() && len(out) > raft.MaxVoters {
		return nil, errors.Wrapf(ErrInvalidVoters, "%d voters exceed the limit of %d: let the others join as learners", len(out), raft.MaxVoters)
	}
	slices.SortFunc(out, func(a, b seedHost) int { return cmp.Compare(a.name, b.name) })
	for i := 1; i < len(out); i++ {
		if out[i].name == out[i-1].name {
			return nil, errors.Wrapf(ErrInvalidVoters, "%q is listed twice", out[i].name)
		}
	}
	if !s.GetJoin() && !slices.ContainsFunc(out, func(v seedHost) bool { return v.name == self }) {
		return nil, errors.Wrapf(ErrInvalidVoters, "this host, %q, is not listed", self)
	}
	return out, nil
}

// bootstrapLoop adds the replicas of an empty data directory to their groups.
//
// Exactly one membership bootstraps a group. With automatic members the initial voters with a
// durable log agree on it (see founder). Without, the first of them by name bootstraps it
// alone, once it has the replica IDs of all of them. If no initial voter has a durable log, the
// first by name selects a joining host (see founderSelector). The others adopt the membership.
// A host that lost its disk must not vote under its old replica ID, so it waits to be added as a
// learner.
func (d *Daemon) bootstrapLoop() {
	if d.shouldJoin() {
		d.joinLoop()
		return
	}
	notMember := false
	first := &founder{daemon: d, voters: d.enableFounding(), began: time.Now()}
	for !d.bootstrapped() {
		replies := d.queryVoters()
		if d.standbyEnabled() && anyStandby(replies) {
			notMember = true
		}
		if notMember && d.settings.GetReplica().GetAutomaticMembers() {
			d.joinLoop()
			return
		}
		exists := false
		for _, group := range d.groups {
			if d.replicas[group].Status().Formed || !d.bootstrapGroup(group, replies) {
				continue
			}
			exists = true
			if !notMember {
				notMember = true
				d.scope.Counter("stranger_to_its_group").Inc(1)
				d.log.Warn("the group exists without this replica: add this host as a learner",
					zap.String("group", groupName(group)))
			}
		}
		if !exists && !d.bootstrapped() {
			first.found(replies)
		}
		if !d.sleep(bootstrapRetry) {
			return
		}
	}
}

// shouldJoin reports whether this host asks to be added to existing groups. With automatic
// members, an initial voter that restarts before the bootstrap still counts as one,
// although its settings may say "join" by then. The marker is lost with the data directory,
// so a host that lost its disk never bootstraps a group.
func (d *Daemon) shouldJoin() bool {
	r := d.settings.GetReplica()
	if !r.GetAutomaticMembers() || r.GetTransient() {
		return r.GetJoin()
	}
	marker := filepath.Join(r.GetDataFolder(), bootstrapMarker)
	if r.GetJoin() {
		_, err := os.Stat(marker)
		return err != nil
	}
	if err := writeMarker(marker); err != nil {
		d.log.Warn("cannot write the bootstrap marker; after a restart this host does not bootstrap the groups", zap.Error(err))
	}
	return false
}

// bootstrapMarker is a file in the data directory of a host that was started as an initial
// voter.
const bootstrapMarker = "founding"

func writeMarker(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return err
	}
	return wal.OSFS{}.SyncDir(filepath.Dir(path))
}

// joinLoop asks all seed hosts to add this host as a learner until it is a member of all
// groups. The groups may have different leaders. Operators promote learners.
func (d *Daemon) joinLoop() {
	if d.standbyEnabled() {
		d.standbyLoop()
		return
	}
	address := d.memberAddress(seedHost{name: d.name, address: d.settings.GetReplica().GetListen()})
	requests := newHostRequests(func(seed string) { d.requestJoin(seed, address) })
	defer requests.calls.Wait()
	for !d.bootstrapped() {
		for _, v := range d.seedHosts() {
			if v.name != d.name {
				requests.start(v.address)
			}
		}
		if !d.sleep(d.joinRetry()) {
			return
		}
	}
}

// seedHosts returns the initial voters or the hosts that replace them, and the founder
// selected by this host, if any.
func (d *Daemon) seedHosts() []seedHost {
	hosts := d.initialVoters
	if designated := d.designated.Load(); designated != nil {
		hosts = *designated
	}
	if founder := d.founderSelector.designated(); founder != nil {
		hosts = append(slices.Clone(hosts), *founder)
	}
	return hosts
}

// SetSeedHosts replaces the control hosts, each "name=ip:port" (link address), that this
// host asks to add it to their groups. It does not change any group. Errors:
// ErrInvalidVoters.
func (d *Daemon) SetSeedHosts(hosts []string) error {
	parsed, err := parseInitialVoters(&settingspb.Replica{InitialVoters: hosts, Join: true}, d.name)
	if err != nil {
		return err
	}
	d.designated.Store(&parsed)
	return nil
}

func (d *Daemon) requestJoin(seed, address string) {
	p := d.peers.get(seed)
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.joinTimeout())
	defer cancel()
	req := &controlpb.Request{Body: &controlpb.Request_Join{Join: &controlpb.Join{
		Address:   address,
		Transient: d.settings.GetReplica().GetTransient(),
	}}}
	// A successful join needs no handling: the replicas become members.
	res, err := p.calls.Call(ctx, req)
	if err != nil {
		d.scope.Counter("failed_joins").Inc(1)
		return
	}
	if res.GetFound() != nil && !d.settings.GetReplica().GetTransient() {
		d.bootstrapAlone()
	}
}

// joinTimeout bounds a request to join. Without an operator the host retries sooner.
func (d *Daemon) joinTimeout() time.Duration {
	if d.settings.GetReplica().GetAutomaticMembers() {
		return automaticJoinTimeout
	}
	return joinTimeout
}

// joinRetry is the interval between requests to join. It is short with automatic members: a
// host that is no member knows no leader, and the processes it serves have no routes.
func (d *Daemon) joinRetry() time.Duration {
	if d.settings.GetReplica().GetAutomaticMembers() {
		return bootstrapRetry
	}
	return joinRetry
}

// sleep waits and reports whether the daemon is still running.
func (d *Daemon) sleep(wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-d.ctx.Done():
		return false
	}
}

func (d *Daemon) bootstrapped() bool {
	for _, group := range d.groups {
		if !d.replicas[group].Status().Formed {
			return false
		}
	}
	return true
}

// anyStandby reports whether any of the hosts is a standby of an existing group.
func anyStandby(replies map[string]*controlpb.ReplicaReply) bool {
	for _, reply := range replies {
		if len(reply.GetStandsBy().GetAddresses()) > 0 {
			return true
		}
	}
	return false
}

// queryVoters returns the replies of the other seed hosts that can be reached.
func (d *Daemon) queryVoters() map[string]*controlpb.ReplicaReply {
	replies := map[string]*controlpb.ReplicaReply{}
	for _, v := range d.seedHosts() {
		if v.name == d.name {
			continue
		}
		if reply, err := d.queryReplicas(v.address); err == nil {
			replies[v.name] = reply
		}
	}
	return replies
}

func (d *Daemon) queryReplicas(address string) (*controlpb.ReplicaReply, error) {
	p := d.peers.get(address)
	if p == nil {
		return nil, errors.New("the daemon stops")
	}
	ctx, cancel := context.WithTimeout(d.ctx, replicaQueryTimeout)
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

// bootstrapGroup bootstraps the replica of one group if it may. It reports whether the
// group exists without this replica.
func (d *Daemon) bootstrapGroup(group controlpb.Group, replies map[string]*controlpb.ReplicaReply) (notMember bool) {
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
			d.bootstrapWith(group, info.GetMembership())
			return false
		}
	}
	if !exists {
		d.bootstrapNew(group, self, infos)
	}
	return exists
}

func hasMember(m *raftpb.Membership, id *raftpb.ReplicaID) bool {
	return slices.ContainsFunc(m.GetMembers(), func(member *raftpb.Member) bool {
		return proto.Equal(member.GetId(), id)
	})
}

// bootstrapNew bootstraps a group if this host is the first initial voter with a durable
// log and knows the replica IDs of all others.
func (d *Daemon) bootstrapNew(group controlpb.Group, self *raftpb.ReplicaID, infos map[string]*controlpb.ReplicaInfo) {
	m := &raftpb.Membership{}
	for _, v := range d.initialVoters {
		id, domain := self, d.settings.GetHost().GetFailureDomain()
		if v.name != d.name {
			info := infos[v.name]
			if info.GetId().GetName() != v.name {
				return // its replica ID is not known yet
			}
			if info.GetTransient() {
				continue // transient replicas do not vote
			}
			id, domain = info.GetId(), info.GetFailureDomain()
		} else if d.settings.GetReplica().GetTransient() {
			continue
		}
		m.Members = append(m.Members, &raftpb.Member{Id: id, Address: d.memberAddress(v), FailureDomain: domain})
	}
	switch {
	case len(m.GetMembers()) == 0 && d.initialVoters[0].name == d.name:
		d.founderSelector.enable()
	case len(m.GetMembers()) > 0 && m.GetMembers()[0].GetId() == self && d.foundingVoter.Load() == nil:
		d.bootstrapWith(group, m)
	}
}

// bootstrapAlone bootstraps the groups with this host as the only member, after it was
// selected as the founder. The other hosts join.
func (d *Daemon) bootstrapAlone() {
	address := d.memberAddress(seedHost{name: d.name, address: d.settings.GetReplica().GetListen()})
	for _, group := range d.groups {
		self := d.replicas[group]
		if !self.Status().Formed {
			d.bootstrapWith(group, &raftpb.Membership{Members: []*raftpb.Member{{
				Id: self.ID(), Address: address, FailureDomain: d.settings.GetHost().GetFailureDomain(),
			}}})
		}
	}
}

// memberAddress returns the address of a host, with the actual port in place of port 0.
func (d *Daemon) memberAddress(v seedHost) string {
	host, port, _ := net.SplitHostPort(v.address)
	if v.name == d.name && port == "0" {
		return net.JoinHostPort(host, d.listenPort())
	}
	return v.address
}

func (d *Daemon) bootstrapWith(group controlpb.Group, m *raftpb.Membership) {
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	err := d.replicas[group].Bootstrap(ctx, m)
	if err != nil && !errors.Is(err, replica.ErrAlreadyBootstrapped) {
		d.log.Warn("group bootstrap failed", zap.String("group", groupName(group)), zap.Error(err))
		return
	}
	d.log.Info("group bootstrapped", zap.String("group", groupName(group)), zap.Int("members", len(m.GetMembers())))
}

// replicaInfos returns the reply to a ReplicaQuery.
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
	if hosts := d.standby.servingHosts(); len(hosts) > 0 && d.isStandby() {
		reply.StandsBy = &controlpb.ControlHosts{Addresses: hosts}
	}
	return reply
}
