package controld

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/founding"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

// foundingVoteFile has the vote of an initial voter in its data directory.
const foundingVoteFile = "founding-vote"

// errNoFoundingVote means that this host does not vote on the first members.
var errNoFoundingVote = errors.New("this host does not vote on the first members of the groups")

// foundingVoter stores the vote of this host on the first members of the groups.
type foundingVoter struct {
	path string

	mu   sync.Mutex
	vote *controlpb.FoundingVote
}

// openFoundingVoter reads the vote of an initial voter, or creates it. The initial voters are those
// of the first start: settings may name others later.
func openFoundingVoter(folder string, voters []seedHost) (*foundingVoter, error) {
	v := &foundingVoter{path: filepath.Join(folder, foundingVoteFile), vote: &controlpb.FoundingVote{}}
	data, err := os.ReadFile(v.path)
	if errors.Is(err, os.ErrNotExist) {
		for _, voter := range voters {
			v.vote.Voters = append(v.vote.Voters, voter.name+"="+voter.address)
		}
		return v, v.store(v.vote)
	}
	if err != nil {
		return nil, err
	}
	return v, proto.Unmarshal(data, v.vote)
}

// store writes a vote, which is the old or the new one after a crash.
func (v *foundingVoter) store(vote *controlpb.FoundingVote) error {
	data, err := proto.Marshal(vote)
	if err != nil {
		return err
	}
	next := v.path + ".next"
	file, err := os.Create(next)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(next, v.path); err != nil {
		return err
	}
	return wal.OSFS{}.SyncDir(filepath.Dir(v.path))
}

// handle answers a request once the vote is stored.
func (v *foundingVoter) handle(r *controlpb.Founding) (*controlpb.FoundingReply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	after, reply := founding.Vote(v.vote, r)
	if after != v.vote {
		if err := v.store(after); err != nil {
			return nil, err
		}
		v.vote = after
	}
	return reply, nil
}

func (v *foundingVoter) current() *controlpb.FoundingVote {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.vote
}

// enableFounding lets this host vote, if the groups found themselves without an operator. It
// returns the initial voters of the first start.
func (d *Daemon) enableFounding() []seedHost {
	r := d.settings.GetReplica()
	if !r.GetAutomaticMembers() || r.GetTransient() {
		return d.initialVoters
	}
	voter, err := openFoundingVoter(r.GetDataFolder(), d.initialVoters)
	if err != nil {
		d.log.Error("vote on the first members cannot be stored; this host does not vote", zap.Error(err))
		return d.initialVoters
	}
	d.foundingVoter.Store(voter)
	voters, err := parseInitialVoters(&settingspb.Replica{InitialVoters: voter.current().GetVoters(), Join: true}, d.name)
	if err != nil || len(voters) == 0 {
		return d.initialVoters
	}
	return voters
}

// handleFounding answers an initial voter that founds the groups.
func (d *Daemon) handleFounding(r *controlpb.Founding) (*controlpb.FoundingReply, error) {
	voter := d.foundingVoter.Load()
	if voter == nil || d.bootstrapped() {
		return nil, errNoFoundingVote
	}
	return voter.handle(r)
}

// founder proposes the first members of the groups.
type founder struct {
	daemon *Daemon
	// voters are the initial voters.
	voters []seedHost
	began  time.Time
	turn   founding.Turn
	// seen are the votes in refusals, for the next ballot.
	seen []*controlpb.FoundingVote
	// waiting is set once the lack of initial voters has been logged.
	waiting bool
}

// found proposes the first members if it is this host's turn. replies are those of the other
// initial voters.
func (f *founder) found(replies map[string]*controlpb.ReplicaReply) {
	if f.daemon.foundingVoter.Load() == nil {
		return
	}
	durable, missing := f.durableVoters(replies)
	needed := founding.Majority(len(durable))
	if len(missing) > 0 {
		needed = founding.Majority(len(f.voters))
	}
	if !f.turn.Due(f.daemon.name, durable, len(missing), time.Since(f.began)) {
		return
	}
	if len(durable) < needed {
		f.logWaiting(missing)
		return
	}
	plan := f.propose(f.plan(durable, replies), needed)
	for _, g := range plan.GetGroups() {
		r := f.daemon.replicas[g.GetGroup()]
		if r != nil && hasMember(g.GetMembership(), r.ID()) {
			f.daemon.bootstrapWith(g.GetGroup(), g.GetMembership())
		}
	}
}

// durableVoters returns the names of the initial voters that are known to have a durable log, and
// of those of which nothing is known.
func (f *founder) durableVoters(replies map[string]*controlpb.ReplicaReply) (durable, missing []string) {
	for _, v := range f.voters {
		infos := replies[v.name].GetReplicas()
		switch {
		case v.name == f.daemon.name:
			durable = append(durable, v.name)
		case len(infos) < len(f.daemon.groups) || infos[0].GetId().GetName() != v.name:
			missing = append(missing, v.name)
		case !infos[0].GetTransient():
			durable = append(durable, v.name)
		}
	}
	return durable, missing
}

func (f *founder) logWaiting(missing []string) {
	if f.waiting {
		return
	}
	f.waiting = true
	f.daemon.log.Warn("the groups cannot be founded: too few initial voters with a disk can be reached",
		zap.Strings("missing", missing), zap.Int("initial_voters", len(f.voters)))
}

// plan returns the plan to found the groups with some initial voters.
func (f *founder) plan(durable []string, replies map[string]*controlpb.ReplicaReply) *controlpb.FoundingPlan {
	p := &controlpb.FoundingPlan{}
	for _, group := range f.daemon.groups {
		m := &raftpb.Membership{}
		for _, v := range f.voters {
			if slices.Contains(durable, v.name) {
				m.Members = append(m.Members, f.member(group, v, replies))
			}
		}
		p.Groups = append(p.Groups, &controlpb.FoundingGroup{Group: group, Membership: m})
	}
	return p
}

// member returns an initial voter as a member of a group.
func (f *founder) member(group controlpb.Group, v seedHost, replies map[string]*controlpb.ReplicaReply) *raftpb.Member {
	m := &raftpb.Member{
		Id: f.daemon.replicas[group].ID(), Address: f.daemon.memberAddress(v), FailureDomain: f.daemon.settings.GetHost().GetFailureDomain(),
	}
	for _, info := range replies[v.name].GetReplicas() {
		if v.name != f.daemon.name && info.GetGroup() == group {
			m.Id, m.FailureDomain = info.GetId(), info.GetFailureDomain()
		}
	}
	return m
}

// propose returns the plan that a majority has accepted, nil if there is none.
func (f *founder) propose(own *controlpb.FoundingPlan, needed int) *controlpb.FoundingPlan {
	seen := append(f.seen, f.daemon.foundingVoter.Load().current())
	ballot := founding.NextBallot(f.daemon.name, seen...)
	promises := f.ask(&controlpb.Founding{Ballot: ballot})
	if len(promises) < needed {
		return nil
	}
	plan := founding.Choose(own, promises)
	if len(f.ask(&controlpb.Founding{Ballot: ballot, Plan: plan})) < needed {
		return nil
	}
	members := 0
	for _, g := range plan.GetGroups() {
		members = max(members, len(g.GetMembership().GetMembers()))
	}
	f.daemon.log.Info("first members agreed on", zap.Uint64("round", ballot.GetRound()), zap.Int("groups", len(plan.GetGroups())),
		zap.Int("members", members), zap.Int("initial_voters", len(f.voters)))
	return plan
}

// ask sends a request to all initial voters, this host included, and returns the replies that
// grant it.
func (f *founder) ask(r *controlpb.Founding) []*controlpb.FoundingReply {
	var mu sync.Mutex
	var granted []*controlpb.FoundingReply
	var calls conc.WaitGroup
	f.seen = nil
	for _, v := range f.voters {
		calls.Go(func() {
			reply, err := f.askOne(v, r)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if reply.GetGranted() {
				granted = append(granted, reply)
				return
			}
			f.seen = append(f.seen, reply.GetVote())
		})
	}
	calls.Wait()
	return granted
}

func (f *founder) askOne(v seedHost, r *controlpb.Founding) (*controlpb.FoundingReply, error) {
	if v.name == f.daemon.name {
		return f.daemon.handleFounding(r)
	}
	p := f.daemon.peers.get(v.address)
	if p == nil {
		return nil, errors.New("the daemon stops")
	}
	ctx, cancel := context.WithTimeout(f.daemon.ctx, replicaQueryTimeout)
	defer cancel()
	res, err := p.calls.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Founding{Founding: r}})
	if err != nil {
		return nil, err
	}
	if res.GetFounding() == nil {
		return nil, errors.Errorf("unfit answer: %s", strings.TrimSpace(res.GetFault().GetText()))
	}
	return res.GetFounding(), nil
}
