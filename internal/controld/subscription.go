package controld

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// Counters of directory updates sent to subscribers, by kind.
const (
	tagKind                = "kind"
	metricDirectoryUpdates = "directory_updates"
	metricDirectoryRecords = "directory_records"
)

// subscription is one subscriber's stream. A single goroutine sends: on each wake-up it
// compares the sent state with the current one, so a slow subscriber gets one coalesced
// update.
type subscription struct {
	daemon *Daemon
	stream *link.ServerStream
	remote *subscriber
	// reports receives a value after each report of the subscriber.
	reports chan struct{}
	// confirmRequested is the number of the subscriber's last request for a confirmation that
	// was not answered, 0 if there is none.
	confirmRequested atomic.Uint64
	// sent is the version that the subscriber has or was sent.
	sent uint64
	// scope has the services whose configuration is sent, nil for all.
	scope map[uint32]bool
	// confirmed is set once a quorum has confirmed a version for this subscriber.
	confirmed bool
	// confirmationPending is set until the subscriber has been sent the confirmation.
	confirmationPending bool
	// aheadLogged is set once the newer version of the subscriber has been logged.
	aheadLogged   bool
	dirSubscriber *membership.Subscriber
	// fullList is set if the subscriber holds this host's full list, not additions to that
	// of another host.
	fullList bool
	// complete is set if the subscriber was sent all targets.
	complete bool
	// restart is how far the targets had come back in the last list.
	restart restartState
	// directoryPending is set if the directory may have changed since the last update.
	directoryPending bool
	// hosts are the control hosts last sent to the subscriber.
	hosts []string
	// isolated is the isolation state last sent to the subscriber.
	isolated bool
	// heartbeatSentAt is when the state of this host was last sent.
	heartbeatSentAt time.Time
	// lastBarrier is the time of the last read barrier. unconfirmedSince is the time of the
	// first failed one since the last success, zero if there is none.
	lastBarrier      time.Time
	unconfirmedSince time.Time
	directorySentAt  time.Time
}

// Subscribe implements link.Handler.
func (h *handler) Subscribe(ctx context.Context, peer link.Peer, req *controlpb.Subscribe, s *link.ServerStream) error {
	if !slices.Contains([]keys.Role{keys.RoleEntry, keys.RoleAgent}, peer.Role) {
		h.count(refusedRole)
		return &link.FaultError{Kind: controlpb.FaultKind_FAULT_FORBIDDEN, Text: "the role may not subscribe"}
	}
	d := (*Daemon)(h)
	if d.isStandby() {
		if sent, err := h.redirectSubscriber(ctx, s); sent || err != nil {
			return err
		}
	}
	if address := d.redirectOf(peer, req); address != "" {
		return h.redirectTo(ctx, s, d.memberLinkAddresses(), address)
	}
	sub := &subscription{
		daemon:        d,
		stream:        s,
		remote:        newSubscriber(peer, req),
		reports:       make(chan struct{}, 1),
		sent:          req.GetVersion(),
		dirSubscriber: membership.NewSubscriber(positionOf(req), membership.NewScope(req.GetServices(), req.GetFailureDomains()...)),
	}
	if req.GetScopedConfig() {
		sub.scope = map[uint32]bool{}
		for _, number := range req.GetServices() {
			sub.scope[number] = true
		}
		if revision, known := d.configs.tableRevision(sub.sent); known && revision != req.GetTableRevision() {
			sub.sent = 0
		}
	}
	if !d.configs.sameHistory(sub.sent, req) {
		sub.sent = 0
	}
	d.subscribers.add(sub.remote)
	defer d.subscribers.remove(sub.remote)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// receiveReports returns when the stream ends, soon after this method has returned.
	d.loops.Go(func() {
		defer cancel()
		sub.receiveReports()
	})
	return sub.run(ctx)
}

// positionOf returns the subscriber's position in the directory.
func positionOf(req *controlpb.Subscribe) membership.Position {
	return membership.Position{
		Epoch:    req.GetDirectoryEpoch(),
		Sequence: req.GetDirectorySequence(),
		Digests:  req.GetDirectoryDigests(),
	}
}

// receiveReports records the active versions reported by the subscriber until its stream
// ends.
func (s *subscription) receiveReports() {
	for {
		heartbeat, err := s.stream.Receive()
		if err != nil {
			return
		}
		if number := heartbeat.GetConfirm(); number != 0 {
			s.confirmRequested.Store(number)
		}
		if s.remote.recordReport(heartbeat.GetVersion()) {
			s.daemon.recordActivation(heartbeat.GetVersion())
		}
		select {
		case s.reports <- struct{}{}:
		default:
		}
	}
}

// run sends changes until the subscriber is gone or unresponsive.
func (s *subscription) run(ctx context.Context) error {
	configs := s.daemon.configs.changed.subscribe()
	defer s.daemon.configs.changed.unsubscribe(configs)
	targets := s.daemon.directory.changed.subscribe()
	defer s.daemon.directory.changed.unsubscribe(targets)
	isolation := s.daemon.confirmation.changed.subscribe()
	defer s.daemon.confirmation.changed.unsubscribe(isolation)
	if err := s.sendInitial(ctx); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	s.directoryPending = true
	for ctx.Err() == nil {
		if s.remote.inactiveFor() > subscriberTimeout {
			s.daemon.scope.Counter("silent_subscribers").Inc(1)
			return nil
		}
		if err := s.step(ctx); err != nil {
			return err
		}
		timer.Reset(s.untilNextStep())
		select {
		case <-ctx.Done():
		case address := <-s.remote.moveTo:
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

// untilNextStep returns how long the subscription may sleep if nothing changes.
func (s *subscription) untilNextStep() time.Duration {
	wait := heartbeatPeriod - time.Since(s.heartbeatSentAt)
	if s.directoryPending {
		wait = min(wait, directoryInterval-time.Since(s.directorySentAt))
	}
	if !s.confirmed {
		wait = min(wait, confirmRetry-time.Since(s.lastBarrier))
	}
	if s.needsVersion() {
		wait = min(wait, confirmPendingRetry)
	}
	return max(wait, 0)
}

// sendInitial sends this host's version. It runs a read barrier first, so that most
// subscribers never activate an unconfirmed version.
func (s *subscription) sendInitial(ctx context.Context) error {
	if s.daemon.confirmation.isIsolated() {
		// The barrier may take long to fail.
		if err := s.send(&controlpb.SubscribeUpdate{Heartbeat: s.daemon.heartbeat()}); err != nil {
			return err
		}
	}
	s.readBarrier(ctx)
	if s.confirmed {
		return s.sendConfig(true)
	}
	s.daemon.scope.Counter("unconfirmed_subscriptions").Inc(1)
	return s.sendConfig(false)
}

// readBarrier waits until everything committed is applied here, or fails.
func (s *subscription) readBarrier(ctx context.Context) {
	err := s.daemon.readBarrier.wait(ctx)
	s.lastBarrier = time.Now()
	if err != nil && s.unconfirmedSince.IsZero() {
		s.unconfirmedSince = s.lastBarrier
	}
	if err != nil {
		return
	}
	s.unconfirmedSince = time.Time{}
	if s.confirmed {
		return
	}
	s.confirmed = true
	// Sent even if the version did not change.
	s.confirmationPending = true
}

// needsVersion reports whether there is a version to send. A subscriber that reports its
// version gets the next one only after reporting the last: otherwise a stalled path would
// deliver a series of outdated versions at once.
func (s *subscription) needsVersion() bool {
	if s.daemon.configs.version() <= s.sent {
		return false
	}
	active := s.remote.reported.Load()
	return active == 0 || active >= s.sent
}

// maySendVersion reports whether this host's version may be sent as the newest. A host that
// was partitioned or stalled applies the versions it missed one by one, but its subscribers
// should only get the last. So each new version needs a read barrier. If the barrier fails
// while a leader is known, the version is delayed for at most confirmTimeout; it was
// committed in any case.
func (s *subscription) maySendVersion() bool {
	return s.unconfirmedSince.IsZero() ||
		s.daemon.replicas[controlpb.Group_GROUP_CONFIG].Status().Leader == nil ||
		time.Since(s.unconfirmedSince) >= confirmTimeout
}

// confirmationDue reports whether to confirm the version for a subscriber that has no confirmed
// one: after confirmRetry, or if a quorum has confirmed the state of this host since the last
// attempt. A subscriber that arrives before there is a leader would wait for a second otherwise.
func (s *subscription) confirmationDue(now time.Time) bool {
	if s.confirmed {
		return false
	}
	return now.Sub(s.lastBarrier) >= confirmRetry || s.daemon.confirmation.since(s.lastBarrier) > 0
}

// step sends what the subscriber lacks.
func (s *subscription) step(ctx context.Context) error {
	// An isolated host would wait for its read to fail, and its heartbeats with it.
	var request uint64
	if !s.daemon.confirmation.isIsolated() {
		request = s.confirmRequested.Swap(0)
	}
	if request != 0 || s.confirmationDue(time.Now()) || s.needsVersion() {
		s.readBarrier(ctx)
	}
	if !s.unconfirmedSince.IsZero() {
		request = 0
	}
	s.directoryPending = s.directoryPending || request != 0
	if s.confirmationPending || s.needsVersion() && s.maySendVersion() {
		if err := s.sendConfig(s.confirmed); err != nil {
			return err
		}
	}
	if s.directoryPending && (request != 0 || time.Since(s.directorySentAt) >= directoryInterval || s.allReturned()) {
		s.directoryPending = false
		if err := s.sendDirectory(); err != nil {
			return err
		}
	}
	if err := s.sendHosts(); err != nil {
		return err
	}
	if request != 0 || s.heartbeatDue() {
		if !s.complete {
			// The directory may have become complete without a change of the list.
			if err := s.sendDirectory(); err != nil {
				return err
			}
		}
		heartbeat := s.daemon.heartbeat()
		heartbeat.Confirm = request
		return s.send(&controlpb.SubscribeUpdate{Heartbeat: heartbeat})
	}
	return nil
}

// heartbeatDue reports whether to send the state of this host. Other messages do not delay
// it, as the subscriber decides by it whether to leave this host.
func (s *subscription) heartbeatDue() bool {
	return s.daemon.confirmation.isIsolated() != s.isolated || time.Since(s.heartbeatSentAt) >= heartbeatPeriod
}

// sendConfig sends the current version, or nothing if the subscriber has a newer one: this
// host lags behind.
func (s *subscription) sendConfig(confirmed bool) error {
	current, _ := s.daemon.configs.current()
	if current.GetVersion() < s.sent {
		s.reportAhead(current, confirmed)
		return nil
	}
	// Read before the version, which therefore has all that the confirmation covers.
	heartbeat := s.daemon.heartbeat()
	u := s.daemon.configs.update(s.sent, s.scope)
	u.Confirmed = confirmed
	heartbeat.Version = u.GetVersion()
	if err := s.send(&controlpb.SubscribeUpdate{Config: u, Heartbeat: heartbeat}); err != nil {
		return err
	}
	s.sent = u.GetVersion()
	s.confirmationPending = false
	return nil
}

// reportAhead logs a subscriber with a newer version than the quorum's, which means that
// state was lost.
func (s *subscription) reportAhead(current *configpb.Configuration, confirmed bool) {
	if !confirmed || s.aheadLogged {
		return
	}
	s.aheadLogged = true
	s.daemon.scope.Counter("subscribers_ahead").Inc(1)
	s.daemon.log.Error("a subscriber has a version newer than that of the group",
		zap.String("subscriber", s.remote.name), zap.Uint64("subscriber_version", s.sent),
		zap.Uint64("version", current.GetVersion()))
}

// sendDirectory sends the pending directory changes, if any.
func (s *subscription) sendDirectory() error {
	// Read before the list: targets added in between are in this update or the next one.
	complete, restart := s.daemon.directoryComplete(), s.daemon.restart.load()
	u, kind := s.daemon.directory.nextUpdate(s.dirSubscriber)
	s.fullList = kind != membership.Addition
	completed := s.setListState(s.fullList && complete, restart)
	if u == nil && completed {
		return s.send(&controlpb.SubscribeUpdate{Heartbeat: s.daemon.heartbeat()})
	}
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

// allReturned reports whether no target is missing any more since the last list: the
// subscriber may wait for that to place flows.
func (s *subscription) allReturned() bool {
	return s.fullList && !s.complete && s.daemon.restart.load().allReturned() && !s.restart.allReturned()
}

// setListState sets what is sent about the list. It returns whether the subscriber has to
// know at once that the list became complete, or has all targets that take new flows.
func (s *subscription) setListState(complete bool, restart restartState) bool {
	if !s.fullList || complete {
		restart = restartState{}
	}
	last, wasComplete := s.restart, s.complete
	s.complete, s.restart = complete, restart
	return complete && !wasComplete || restart.complete && !last.complete || restart.allReturned() && !last.allReturned()
}

// sendHosts sends the serving control hosts if they changed. The hosts in a subscriber's
// settings may all be lost or in standby.
func (s *subscription) sendHosts() error {
	if !s.daemon.settings.GetReplica().GetAutomaticMembers() {
		return nil
	}
	hosts := s.daemon.memberLinkAddresses()
	if len(hosts) == 0 || slices.Equal(hosts, s.hosts) {
		return nil
	}
	s.hosts = hosts
	return s.send(&controlpb.SubscribeUpdate{Hosts: &controlpb.ControlHosts{Addresses: hosts}})
}

// countDirectory counts a directory update and its records by kind.
func (s *subscription) countDirectory(u *controlpb.DirectoryUpdate, kind membership.UpdateKind) {
	scope := s.daemon.scope.Tagged(map[string]string{tagKind: string(kind)})
	scope.Counter(metricDirectoryUpdates).Inc(1)
	scope.Counter(metricDirectoryRecords).Inc(int64(len(u.GetPut())))
}

func (s *subscription) send(u *controlpb.SubscribeUpdate) error {
	u.DirectoryWhole = s.complete
	u.TargetsRestarted = s.restart.complete
	if s.restart.known {
		u.AwaitedTargets = &s.restart.awaited
	}
	if err := s.stream.Send(u); err != nil {
		return err
	}
	if h := u.GetHeartbeat(); h != nil {
		s.isolated, s.heartbeatSentAt = h.GetIsolated(), time.Now()
	}
	return nil
}
