package controld

import (
	"context"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/metrics"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

// Errors of New and Run.
var (
	// ErrIdentity tells that the certificate does not name this control host.
	ErrIdentity = errors.New("certificate does not name this control host")
	// ErrInvalidVoters tells that the initial voters are unusable.
	ErrInvalidVoters = errors.New("initial voters are unusable")
	// ErrInvalidGrantGroups tells that this host cannot have its number of groups of
	// grants: it is beyond the bound, or the deployment agreed on another one.
	// In the latter case a host that is started again takes the agreed one.
	ErrInvalidGrantGroups = errors.New("unfit number of groups of grants")
	// ErrInvalidStandby tells that this host is to stand by although it votes, or although
	// its members do not follow the hosts.
	ErrInvalidStandby = errors.New("only a host with transient and automatic_members may stand by")
)

// Daemon is a control host.
type Daemon struct {
	// began is when the daemon was made.
	began    time.Time
	settings *settingspb.ControlSettings
	log      *zap.Logger
	scope    tally.Scope
	// replacements is how long replacements of the route table take until their
	// outcome, inForce how long it is from a version's application here until a
	// subscriber says that it acts on it.
	replacements, inForce tally.Histogram
	creds                 *keys.Credentials
	name                  string
	voters                []voter
	// named replaces voters for a host that joins, nil until other hosts are named.
	named atomic.Pointer[[]voter]
	// appointer names the founder where no initial voter keeps its log.
	appointer appointer
	ready     chan struct{}

	configs     *configState
	grants      *grantGroups
	directory   *directory
	subscribers *subscribers
	peers       *peers
	// groups lists the replicated logs of this host. Like replicas, it does not
	// change once they are open.
	groups    []controlpb.Group
	replicas  map[controlpb.Group]*replica.Replica
	confirm   *barrier
	isolation isolation
	standby   *standby
	lack      lack
	server    *link.Server
	api       *operator.Server

	// ctx ends the loops.
	ctx    context.Context
	cancel context.CancelFunc
	loops  conc.WaitGroup
	// stateConfirmed says that a quorum has confirmed the state here since the start.
	stateConfirmed atomic.Bool
	// leaving says that this host stops.
	leaving atomic.Bool
	// misfit gets the reason why this host has to be started again.
	misfit chan error
}

// New checks the settings and loads the keys. Errors: ErrIdentity, ErrVoters,
// ErrGrantGroups, ErrStandBy.
func New(s *settingspb.ControlSettings, log *zap.Logger, scope tally.Scope) (*Daemon, error) {
	name := s.GetHost().GetName()
	creds, err := keys.ForProcess(s.GetKeys(), keys.Identity{Role: keys.RoleControl, Name: name})
	if err != nil {
		return nil, err
	}
	if id := creds.Identity(); id.Role != keys.RoleControl || id.Name != name {
		return nil, errors.Wrapf(ErrIdentity, "host %q, certificate %s", name, id)
	}
	if asked := s.GetReplica().GetGrantGroups(); asked > grant.MaxGroups {
		return nil, errors.Wrapf(ErrInvalidGrantGroups, "%d, at most %d", asked, grant.MaxGroups)
	}
	if r := s.GetReplica(); r.GetStandBy() && !(r.GetTransient() && r.GetAutomaticMembers()) {
		return nil, ErrInvalidStandby
	}
	voters, err := parseVoters(s.GetReplica(), name)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		began:     time.Now(),
		settings:  s,
		log:       log,
		scope:     scope.SubScope("control"),
		creds:     creds,
		name:      name,
		voters:    voters,
		ready:     make(chan struct{}),
		misfit:    make(chan error, 1),
		configs:   newConfigState(),
		grants:    newGrantGroups(),
		directory: newDirectory(rand.Uint64()|1, time.Duration(s.GetReplica().GetLeaseMs())*time.Millisecond),
		replicas:  map[controlpb.Group]*replica.Replica{},
		isolation: isolation{changed: newHub()},
		standby:   newStandby(),
	}
	d.replacements = d.scope.Histogram("replacement_seconds", metrics.DurationBuckets)
	d.inForce = d.scope.Histogram("in_force_seconds", metrics.DurationBuckets)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.subscribers = d.directory.subscribers
	d.peers = newPeers(creds, voters, d.directory, log, d.scope)
	d.peers.self = d.selfAddress
	d.confirm = &barrier{ctx: d.ctx, wg: &d.loops, read: func(ctx context.Context) error {
		err := d.replicas[controlpb.Group_GROUP_CONFIG].ReadBarrier(ctx)
		if err == nil && !d.stateConfirmed.Swap(true) {
			d.directory.changed.notify()
		}
		return err
	}}
	return d, nil
}

// Run serves until the context ends, then shuts down gracefully and returns
// nil. It returns an error if it could not start, or if a replica failed. A
// daemon runs once.
func (d *Daemon) Run(ctx context.Context) error {
	err := d.open()
	if err == nil {
		d.start()
		close(d.ready)
		err = d.wait(ctx)
	}
	if stopErr := d.stop(); err == nil {
		err = stopErr
	}
	return err
}

// Ready is closed once links and operators are served and the addresses are
// known. Whether a quorum stands behind this host is another matter.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// LinkAddr returns the address that peers and subscribers dial, once ready.
func (d *Daemon) LinkAddr() string { return d.server.Addr().String() }

// OperatorAddr returns the address that operators call, once ready.
// It is empty if the settings name none.
func (d *Daemon) OperatorAddr() string {
	if d.api == nil {
		return ""
	}
	return d.api.Addr().String()
}

func (d *Daemon) open() error {
	if err := d.openReplicas(); err != nil {
		return err
	}
	d.peers.groups = d.groups
	d.peers.open.Store(true)
	var err error
	listen := d.settings.GetReplica().GetListen()
	d.server, err = link.Listen(listen, d.creds, (*handler)(d), link.ServerOptions{
		Scope:                  d.scope,
		Log:                    d.log,
		MaxControlRequestBytes: maxPeerMessage,
		MaxConnections:         int(d.settings.GetReplica().GetMaxLinks()),
	})
	if err != nil {
		return err
	}
	if d.settings.GetReplica().GetOperatorListen() == "" {
		return nil
	}
	d.api, err = operator.Listen(d.settings.GetReplica().GetOperatorListen(), d.creds, (*operatorHandler)(d), d.log, d.scope)
	return err
}

// openReplicas opens the configuration, the first group of grants, and then as
// many of the others as that one agreed on or, as long as it has not, as the
// settings ask for.
func (d *Daemon) openReplicas() error {
	d.groups = []controlpb.Group{controlpb.Group_GROUP_CONFIG}
	if err := d.openReplica(controlpb.Group_GROUP_CONFIG); err != nil {
		return errors.Wrapf(err, "open replica of %s", groupName(controlpb.Group_GROUP_CONFIG))
	}
	for index := 0; index < d.groupsWanted(); index++ {
		d.groups = append(d.groups, grantGroup(index))
		d.grants.add()
		if err := d.openReplica(grantGroup(index)); err != nil {
			return errors.Wrapf(err, "open replica of %s", groupName(grantGroup(index)))
		}
	}
	return nil
}

func (d *Daemon) groupsWanted() int {
	if d.settings.GetReplica().GetWithoutGrants() {
		return 0
	}
	return d.grants.wanted(d.settings.GetReplica().GetGrantGroups())
}

func (d *Daemon) openReplica(group controlpb.Group) error {
	tick := time.Duration(d.settings.GetReplica().GetTickMs()) * time.Millisecond
	if tick == 0 {
		tick = defaultTick
	}
	entries := uint64(d.settings.GetReplica().GetSnapshotEntries())
	if entries == 0 {
		entries = defaultSnapshotEntries
	}
	// One that keeps its log in memory has no folder.
	var fs wal.FS
	if d.settings.GetReplica().GetTransient() {
		fs = wal.NewMemFS()
	}
	opened, err := replica.Open(replica.Options{
		FS:               fs,
		DataDir:          filepath.Join(d.settings.GetReplica().GetDataFolder(), groupName(group)),
		Name:             d.name,
		Group:            group,
		StateMachine:     d.machine(group),
		Transport:        d.peers,
		Forwarder:        d.peers,
		TickInterval:     tick,
		WaitForDiskSpace: d.settings.GetReplica().GetAutomaticMembers(),
		SnapshotEntries:  entries,
		SnapshotBytes:    int(d.settings.GetReplica().GetSnapshotBytes()),
		Log:              d.log.With(zap.String("group", groupName(group))),
		Scope:            d.scope.Tagged(map[string]string{"group": groupName(group)}),
	})
	if err != nil {
		return err
	}
	d.replicas[group] = opened
	return nil
}

func (d *Daemon) machine(group controlpb.Group) replica.StateMachine {
	if group == controlpb.Group_GROUP_CONFIG {
		return d.configs
	}
	return d.grants.at(grantIndex(group))
}

func (d *Daemon) start() {
	d.loops.Go(d.foundLoop)
	d.loops.Go(d.syncLoop)
	d.loops.Go(d.expireLoop)
	d.loops.Go(d.spreadLoop)
	d.loops.Go(d.advanceLoop)
	d.loops.Go(d.agreeLoop)
	d.loops.Go(d.leadLoop)
	d.loops.Go(d.membersLoop)
	d.loops.Go(d.rejoinLoop)
	d.loops.Go(d.tellSeedsLoop)
	d.loops.Go(d.isolationLoop)
	d.loops.Go(func() { d.creds.Watch(d.ctx, keys.ReloadInterval, keys.LogReload(d.log)) })
	d.log.Info("control host serves", zap.String("link", d.LinkAddr()), zap.String("operator", d.OperatorAddr()))
}

// wait returns when the context ends or a replica fails.
func (d *Daemon) wait(ctx context.Context) error {
	failed := make(chan controlpb.Group, len(d.groups))
	for _, group := range d.groups {
		d.loops.Go(func() {
			select {
			case <-d.replicas[group].Done():
				failed <- group
			case <-d.ctx.Done():
			}
		})
	}
	select {
	case <-ctx.Done():
		return nil
	case group := <-failed:
		return errors.Wrapf(d.replicas[group].Err(), "replica of %s stopped", groupName(group))
	case err := <-d.misfit:
		return err
	}
}

// handOver passes on what this host leads, while it can still be reached. It
// asks for nothing back.
func (d *Daemon) handOver() {
	d.leaving.Store(true)
	var groups conc.WaitGroup
	for _, opened := range d.replicas {
		groups.Go(func() {
			if err := opened.MoveLeadership(context.Background()); err != nil {
				d.log.Info("leadership not handed over", zap.Error(err))
			}
		})
	}
	groups.Wait()
}

// stop hands over, takes no new work, lets calls in progress end while the
// replicas still run, and then closes the rest.
func (d *Daemon) stop() error {
	d.log.Info("control host stops")
	d.handOver()
	var calls conc.WaitGroup
	if d.api != nil {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			_ = d.api.Shutdown(ctx)
		})
	}
	if d.server != nil {
		calls.Go(func() { _ = d.server.Close() })
	}
	calls.Wait()
	// What agents announced last may not have been passed on yet, and nobody
	// else knows of it.
	d.peers.tellAll()
	d.cancel()
	d.loops.Wait()
	var first error
	for _, group := range d.groups {
		if opened := d.replicas[group]; opened != nil {
			if err := opened.Close(); err != nil && first == nil {
				first = errors.Wrapf(err, "close replica of %s", groupName(group))
			}
		}
	}
	d.peers.close()
	return first
}

// memberAddresses returns the link addresses of the other members of all
// groups, by name of the host.
func (d *Daemon) memberAddresses() map[string]string {
	out := map[string]string{}
	for _, group := range d.groups {
		for _, m := range d.replicas[group].Status().Members {
			if name := m.Member.GetId().GetName(); name != d.name {
				out[name] = m.Member.GetAddress()
			}
		}
	}
	return out
}

// selfAddress returns this host's link address as a group knows it, or
// nothing if it is no member.
func (d *Daemon) selfAddress(group controlpb.Group) string {
	for _, m := range d.replicas[group].Status().Members {
		if m.Member.GetId().GetName() == d.name {
			return m.Member.GetAddress()
		}
	}
	return ""
}

// listenPort returns the port of the link server.
func (d *Daemon) listenPort() string {
	_, port, _ := net.SplitHostPort(d.LinkAddr())
	return port
}
