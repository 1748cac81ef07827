package controld

import (
	"context"
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
	// ErrIdentity means that the certificate does not name this control host.
	ErrIdentity = errors.New("certificate does not name this control host")
	// ErrInvalidVoters means that the initial voters are invalid.
	ErrInvalidVoters = errors.New("invalid initial voters")
	// ErrInvalidGrantGroups means that the number of grant groups exceeds its bound, or
	// differs from the agreed one. In the latter case a restart adopts the agreed number.
	ErrInvalidGrantGroups = errors.New("invalid number of grant groups")
	// ErrInvalidStandby means that standby mode is set for a host that has a durable log or
	// no automatic members.
	ErrInvalidStandby = errors.New("stand_by requires transient and automatic_members")
)

// Daemon runs a control host.
type Daemon struct {
	startedAt time.Time
	settings  *settingspb.ControlSettings
	log       *zap.Logger
	scope     tally.Scope
	// replacements measures the time until a route table replacement has an outcome.
	// activations measures the time from applying a version here until a subscriber reports
	// it active.
	replacements, activations tally.Histogram
	creds                     *keys.Credentials
	name                      string
	initialVoters             []seedHost
	// designated replaces initialVoters for a host that joins, nil if it was not set.
	designated atomic.Pointer[[]seedHost]
	// founderSelector selects the founder if no initial voter has a durable log.
	founderSelector founderSelector
	ready           chan struct{}

	configs     *configState
	grants      *grantGroups
	directory   *directory
	subscribers *subscribers
	// fs has the logs, nil for the file system of the operating system.
	fs    wal.FS
	peers *peers
	// groups lists the replicated logs of this host. Like replicas, it is constant once
	// they are open.
	groups       []controlpb.Group
	replicas     map[controlpb.Group]*replica.Replica
	readBarrier  *barrier
	confirmation confirmation
	standby      *standby
	redirects    redirects
	restart      restart
	leaves       leaves
	shortage     shortage
	server       *link.Server
	api          *operator.Server

	// ctx ends the loops.
	ctx    context.Context
	cancel context.CancelFunc
	loops  conc.WaitGroup
	// foundingVoter has the vote on the first members, nil if this host has none.
	foundingVoter atomic.Pointer[foundingVoter]
	// stateConfirmed is set once a quorum has confirmed the local state since the start.
	stateConfirmed atomic.Bool
	// stopping is set when the shutdown begins.
	stopping atomic.Bool
	// restartRequired receives the reason why this host has to be restarted.
	restartRequired chan error
}

// New validates the settings and loads the keys. Errors: ErrIdentity, ErrInvalidVoters,
// ErrInvalidGrantGroups, ErrInvalidStandby.
func New(s *settingspb.ControlSettings, log *zap.Logger, scope tally.Scope) (*Daemon, error) {
	name := s.GetHost().GetName()
	creds, err := keys.ForProcess(s.GetKeys(), keys.Identity{Role: keys.RoleControl, Name: name})
	if err != nil {
		return nil, err
	}
	if id := creds.Identity(); id.Role != keys.RoleControl || id.Name != name {
		return nil, errors.Wrapf(ErrIdentity, "host %q, certificate %s", name, id)
	}
	if count := s.GetReplica().GetGrantGroups(); count > grant.MaxGroups {
		return nil, errors.Wrapf(ErrInvalidGrantGroups, "%d exceeds the limit of %d", count, grant.MaxGroups)
	}
	if r := s.GetReplica(); r.GetStandBy() && !(r.GetTransient() && r.GetAutomaticMembers()) {
		return nil, ErrInvalidStandby
	}
	initialVoters, err := parseInitialVoters(s.GetReplica(), name)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		startedAt:       time.Now(),
		settings:        s,
		log:             log,
		scope:           scope.SubScope("control"),
		creds:           creds,
		name:            name,
		initialVoters:   initialVoters,
		ready:           make(chan struct{}),
		restartRequired: make(chan error, 1),
		configs:         newConfigState(),
		grants:          newGrantGroups(),
		directory:       directoryFor(s.GetReplica()),
		replicas:        map[controlpb.Group]*replica.Replica{},
		confirmation:    confirmation{changed: newNotifier(), startedAt: time.Now()},
		standby:         newStandby(),
	}
	d.replacements = d.scope.Histogram("replacement_seconds", metrics.DurationBuckets)
	d.activations = d.scope.Histogram("in_force_seconds", metrics.DurationBuckets)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.subscribers = d.directory.subscribers
	d.peers = newPeers(creds, initialVoters, d.directory, log, d.scope)
	d.peers.self = d.selfAddress
	d.readBarrier = &barrier{ctx: d.ctx, wg: &d.loops, read: func(ctx context.Context) error {
		began := time.Now()
		err := d.replicas[controlpb.Group_GROUP_CONFIG].ReadBarrier(ctx)
		d.confirmation.record(began, err)
		if err == nil && !d.stateConfirmed.Swap(true) {
			d.directory.changed.notify()
		}
		return err
	}}
	return d, nil
}

// Run serves until the context ends, then shuts down gracefully and returns nil. It returns
// an error if the start or a replica failed. It must be called only once.
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

// Ready is closed once links and operators are served and the addresses are known. It does
// not imply a quorum.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// LinkAddr returns the address of the link server. It must be called after Ready.
func (d *Daemon) LinkAddr() string { return d.server.Addr().String() }

// OperatorAddr returns the address of the operators' API, empty if the settings have none.
// It must be called after Ready.
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
		OtherServers:           d.otherServingHosts,
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

// openReplicas opens the replicas of the configuration and of the first grant group, then
// of as many further grant groups as are agreed on or, before that, as the settings ask
// for.
func (d *Daemon) openReplicas() error {
	d.groups = []controlpb.Group{controlpb.Group_GROUP_CONFIG}
	if err := d.openReplica(controlpb.Group_GROUP_CONFIG); err != nil {
		return errors.Wrapf(err, "open replica of %s", groupName(controlpb.Group_GROUP_CONFIG))
	}
	for index := 0; index < d.grantGroupCount(); index++ {
		d.groups = append(d.groups, grantGroup(index))
		d.grants.add()
		if err := d.openReplica(grantGroup(index)); err != nil {
			return errors.Wrapf(err, "open replica of %s", groupName(grantGroup(index)))
		}
	}
	return nil
}

func (d *Daemon) grantGroupCount() int {
	if d.settings.GetReplica().GetWithoutGrants() {
		return 0
	}
	return d.grants.requiredCount(d.settings.GetReplica().GetGrantGroups())
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
	// A log in memory has no directory.
	fs := d.fs
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
	d.loops.Go(d.bootstrapLoop)
	d.loops.Go(d.syncLoop)
	d.loops.Go(d.expireLoop)
	d.loops.Go(d.rebalanceLoop)
	d.loops.Go(d.advanceLoop)
	d.loops.Go(d.slotTableLoop)
	d.loops.Go(d.leadershipLoop)
	d.loops.Go(d.membersLoop)
	d.loops.Go(d.rejoinLoop)
	d.loops.Go(d.notifySeedsLoop)
	d.loops.Go(d.confirmationLoop)
	d.loops.Go(d.firstConfirmationLoop)
	d.loops.Go(d.isolationLoop)
	d.loops.Go(d.restartLoop)
	d.loops.Go(func() { d.creds.Watch(d.ctx, keys.ReloadInterval, keys.LogReload(d.log)) })
	d.log.Info("control host started", zap.String("link", d.LinkAddr()), zap.String("operator", d.OperatorAddr()))
}

// wait returns when the context ends, a replica fails or a restart is required.
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
	case err := <-d.restartRequired:
		return err
	}
}

// transferLeadership moves the leadership of all groups to other hosts before the links
// close.
func (d *Daemon) transferLeadership() {
	d.stopping.Store(true)
	var groups conc.WaitGroup
	for _, opened := range d.replicas {
		groups.Go(func() {
			if err := opened.MoveLeadership(context.Background()); err != nil {
				d.log.Info("leadership transfer failed", zap.Error(err))
			}
		})
	}
	groups.Wait()
}

// stop transfers leadership, refuses new work, waits for calls in progress while the
// replicas still run, and closes the rest.
func (d *Daemon) stop() error {
	d.log.Info("control host stopping")
	d.transferLeadership()
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
	// The last announcements of agents may not have reached any other host yet.
	d.peers.syncAll()
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

// memberAddresses returns the link addresses of the other members of all groups by host
// name.
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

// selfAddress returns this host's link address in a group, empty if it is no member.
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
