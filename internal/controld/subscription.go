package controld

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// Counters of what subscribers are sent of the directory, by kind.
const (
	tagKind                = "kind"
	metricDirectoryUpdates = "directory_updates"
	metricDirectoryRecords = "directory_records"
)

// subscription is one subscriber's stream. One goroutine sends; it compares
// what the subscriber was sent with the present state whenever it is woken, so
// a slow subscriber gets one collapsed update in place of many.
type subscription struct {
	daemon *Daemon
	stream *link.ServerStream
	info   *subscriber
	// reports gets a value after each report of the subscriber.
	reports chan struct{}
	// sent is the version that the subscriber has or was sent.
	sent uint64
	// scope has the services whose configuration is wanted, nil for all.
	scope map[uint32]bool
	// confirmed says that the subscriber was told of a confirmed version.
	confirmed bool
	// owesConfirmation says that it has yet to be told so.
	owesConfirmation bool
	// aheadLogged says that its newer version has been logged.
	aheadLogged bool
	follower    *membership.Subscriber
	// whole says that the subscriber holds this host's list, not additions to
	// one from elsewhere.
	whole bool
	// complete says that the subscriber was sent all targets that there are.
	complete bool
	// directoryPending says that the directory may have changed since it was
	// looked at.
	directoryPending bool
	// hosts are the control hosts that the subscriber was told of last.
	hosts []string
	// isolated is what the subscriber was told last of this host's isolation.
	isolated bool
	// askedAt is when a quorum was last asked, unansweredSince since when it has
	// not answered; zero if it has.
	askedAt         time.Time
	unansweredSince time.Time
	// directorySentAt is when the last directory update was sent.
	directorySentAt time.Time
	// messageSentAt is when the last message was sent.
	messageSentAt time.Time
}

// Subscribe implements link.Handler.
func (h *handler) Subscribe(ctx context.Context, peer link.Peer, req *controlpb.Subscribe, s *link.ServerStream) error {
	if !slices.Contains([]keys.Role{keys.RoleEntry, keys.RoleAgent}, peer.Role) {
		h.count(refusedRole)
		return &link.FaultError{Kind: controlpb.FaultKind_FAULT_FORBIDDEN, Text: "the role may not subscribe"}
	}
	d := (*Daemon)(h)
	if d.standsBy() {
		if sent, err := h.sendElsewhere(ctx, s); sent || err != nil {
			return err
		}
	}
	sub := &subscription{
		daemon:   d,
		stream:   s,
		info:     newSubscriber(peer, req),
		reports:  make(chan struct{}, 1),
		sent:     req.GetVersion(),
		follower: membership.NewSubscriber(positionOf(req), membership.NewScope(req.GetServices(), req.GetFailureDomains()...)),
	}
	if req.GetScopedConfig() {
		sub.scope = map[uint32]bool{}
		for _, number := range req.GetServices() {
			sub.scope[number] = true
		}
	}
	d.subscribers.add(sub.info)
	defer d.subscribers.remove(sub.info)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// It ends when the stream does, soon after this method has returned.
	d.loops.Go(func() {
		defer cancel()
		sub.listen()
	})
	return sub.run(ctx)
}

// positionOf returns how far the subscriber says it has followed the directory.
func positionOf(req *controlpb.Subscribe) membership.Position {
	return membership.Position{
		Epoch:    req.GetDirectoryEpoch(),
		Sequence: req.GetDirectorySequence(),
		Digests:  req.GetDirectoryDigests(),
	}
}

// listen notes the versions in force that the subscriber reports, until its
// stream ends.
func (s *subscription) listen() {
	for {
		beat, err := s.stream.Receive()
		if err != nil {
			return
		}
		if s.info.heard(beat.GetVersion()) {
			s.daemon.noteInForce(beat.GetVersion())
		}
		select {
		case s.reports <- struct{}{}:
		default:
		}
	}
}

// run sends what changes until the subscriber is gone or silent.
func (s *subscription) run(ctx context.Context) error {
	configs := s.daemon.configs.changed.join()
	defer s.daemon.configs.changed.leave(configs)
	targets := s.daemon.directory.changed.join()
	defer s.daemon.directory.changed.leave(targets)
	isolation := s.daemon.isolation.changed.join()
	defer s.daemon.isolation.changed.leave(isolation)
	if err := s.sendFirst(ctx); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	s.directoryPending = true
	for ctx.Err() == nil {
		if s.info.silent() > silenceLimit {
			s.daemon.scope.Counter("silent_subscribers").Inc(1)
			return nil
		}
		if err := s.step(ctx); err != nil {
			return err
		}
		timer.Reset(s.untilDue())
		select {
		case <-ctx.Done():
		case address := <-s.info.moveTo:
			if err := s.send(&controlpb.SubscribeUpdate{Move: &controlpb.Move{Address: address}}); err != nil {
				return err
			}
		case <-configs:
		case <-isolation:
		case <-s.reports:
		case <-targets:
			s.directoryPending = true
		case <-timer.C:
		}
	}
	return nil
}

// untilDue returns how long the subscription may sleep if nothing changes.
func (s *subscription) untilDue() time.Duration {
	wait := heartbeatPeriod - time.Since(s.messageSentAt)
	if s.directoryPending {
		wait = min(wait, directoryPause-time.Since(s.directorySentAt))
	}
	if !s.confirmed {
		wait = min(wait, confirmRetry-time.Since(s.askedAt))
	}
	if s.lacksVersion() {
		wait = min(wait, confirmPause)
	}
	return max(wait, 0)
}

// sendFirst brings the subscriber to this host's version. Whether that is the
// newest one is asked of a quorum before, so that most subscribers never act
// on an unconfirmed version.
func (s *subscription) sendFirst(ctx context.Context) error {
	s.confirm(ctx)
	if s.confirmed {
		return s.sendConfig(true)
	}
	s.daemon.scope.Counter("unconfirmed_subscriptions").Inc(1)
	return s.sendConfig(false)
}

// confirm asks a quorum for what this host may lack, and waits until it is
// applied here or cannot be had.
func (s *subscription) confirm(ctx context.Context) {
	err := s.daemon.confirm.wait(ctx)
	s.askedAt = time.Now()
	if err != nil && s.unansweredSince.IsZero() {
		s.unansweredSince = s.askedAt
	}
	if err != nil {
		return
	}
	s.unansweredSince = time.Time{}
	if s.confirmed {
		return
	}
	s.confirmed = true
	// Even without a change the subscriber has to learn of it.
	s.owesConfirmation = true
}

// lacksVersion tells whether there is a version to send. One that acts on a
// version gets no other before it has reported the last: what is sent into a path
// that is silent for a while would come all at once, one old version after another.
func (s *subscription) lacksVersion() bool {
	if s.daemon.configs.version() <= s.sent {
		return false
	}
	acting := s.info.reported.Load()
	return acting == 0 || acting >= s.sent
}

// mayPassOn tells whether this host's version may be passed on as the newest. A
// host that was cut off or frozen applies what it missed one by one, and its
// subscribers are to go to the last of it in one step; so a quorum is asked
// before each new version. One that does not answer holds a version up while a
// leader is known, and for a bounded time: being applied, it was accepted.
func (s *subscription) mayPassOn() bool {
	return s.unansweredSince.IsZero() ||
		s.daemon.replicas[controlpb.Group_GROUP_CONFIG].Status().Leader == nil ||
		time.Since(s.unansweredSince) >= confirmPatience
}

// step sends what the subscriber lacks.
func (s *subscription) step(ctx context.Context) error {
	overdue := !s.confirmed && time.Since(s.askedAt) >= confirmRetry
	if overdue || s.lacksVersion() {
		s.confirm(ctx)
	}
	if s.owesConfirmation || s.lacksVersion() && s.mayPassOn() {
		if err := s.sendConfig(s.confirmed); err != nil {
			return err
		}
	}
	if s.directoryPending && time.Since(s.directorySentAt) >= directoryPause {
		s.directoryPending = false
		if err := s.sendDirectory(); err != nil {
			return err
		}
	}
	if err := s.sendHosts(); err != nil {
		return err
	}
	isolated := s.daemon.isolation.now.Load()
	if isolated != s.isolated || time.Since(s.messageSentAt) >= heartbeatPeriod {
		s.isolated = isolated
		if !s.complete {
			// It may have become so without any change of the list.
			if err := s.sendDirectory(); err != nil {
				return err
			}
		}
		beat := &controlpb.Heartbeat{Version: s.daemon.configs.version(), Isolated: isolated}
		return s.send(&controlpb.SubscribeUpdate{Heartbeat: beat})
	}
	return nil
}

// sendConfig sends the current version. A subscriber that knows a newer one is
// sent nothing: this host lags behind.
func (s *subscription) sendConfig(confirmed bool) error {
	current, _ := s.daemon.configs.current()
	if current.GetVersion() < s.sent {
		s.reportLag(current, confirmed)
		return nil
	}
	u := s.daemon.configs.update(s.sent, s.scope)
	u.Confirmed = confirmed
	if err := s.send(&controlpb.SubscribeUpdate{Config: u}); err != nil {
		return err
	}
	s.sent = u.GetVersion()
	s.owesConfirmation = false
	return nil
}

// reportLag tells of a subscriber ahead of a quorum's newest version: state
// was lost.
func (s *subscription) reportLag(current *configpb.Configuration, confirmed bool) {
	if !confirmed || s.aheadLogged {
		return
	}
	s.aheadLogged = true
	s.daemon.scope.Counter("subscribers_ahead").Inc(1)
	s.daemon.log.Error("a subscriber has a version that the group does not know",
		zap.String("subscriber", s.info.name), zap.Uint64("its_version", s.sent),
		zap.Uint64("version", current.GetVersion()))
}

// sendDirectory sends what the subscriber lacks of the directory, if anything.
func (s *subscription) sendDirectory() error {
	// Asked before the list is read: targets that are heard of in between are in the
	// list, or in the next one.
	complete := s.daemon.directoryWhole()
	u, kind := s.daemon.directory.next(s.follower)
	s.whole = kind != membership.Addition
	s.complete = s.whole && complete
	if u == nil {
		return nil
	}
	if err := s.send(&controlpb.SubscribeUpdate{Directory: u}); err != nil {
		return err
	}
	s.countDirectory(u, kind)
	s.directorySentAt = time.Now()
	return nil
}

// sendHosts names the control hosts that serve, if they are others than last time. A
// subscriber may know a few of them only, which may all be lost, or stand by.
func (s *subscription) sendHosts() error {
	if !s.daemon.settings.GetReplica().GetAutomaticMembers() {
		return nil
	}
	hosts := s.daemon.servingHosts()
	if len(hosts) == 0 || slices.Equal(hosts, s.hosts) {
		return nil
	}
	s.hosts = hosts
	return s.send(&controlpb.SubscribeUpdate{Hosts: &controlpb.ControlHosts{Addresses: hosts}})
}

// countDirectory counts an update of the directory and its records by kind.
func (s *subscription) countDirectory(u *controlpb.DirectoryUpdate, kind membership.UpdateKind) {
	scope := s.daemon.scope.Tagged(map[string]string{tagKind: string(kind)})
	scope.Counter(metricDirectoryUpdates).Inc(1)
	scope.Counter(metricDirectoryRecords).Inc(int64(len(u.GetPut())))
}

func (s *subscription) send(u *controlpb.SubscribeUpdate) error {
	u.DirectoryWhole = s.complete
	if err := s.stream.Send(u); err != nil {
		return err
	}
	s.messageSentAt = time.Now()
	return nil
}
