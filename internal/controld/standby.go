package controld

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/voters"
)

// ErrStandby tells that this host is no member of the group; see StandbyError.
var ErrStandby = errors.New("this control host stands by")

// StandbyError sends a caller to a host that serves: nothing was done. It is both
// ErrStandsBy and operator.ErrNotDone.
type StandbyError struct {
	// ServingAddress is the link address (ip:port) of a host that serves, empty if none is known.
	ServingAddress string
}

// Error implements error.
func (e *StandbyError) Error() string {
	if e.ServingAddress == "" {
		return ErrStandby.Error() + " and knows no host that serves"
	}
	return ErrStandby.Error() + ", " + e.ServingAddress + " serves"
}

// Unwrap implements the interface that errors.Is uses.
func (e *StandbyError) Unwrap() []error { return []error{ErrStandby, operator.ErrNotApplied} }

// standby is a control host that keeps no log and is not needed as a member. It keeps
// one link, to a host that serves, and sends everybody there.
type standby struct {
	changed *hub

	mu     sync.Mutex
	client *link.Client
	// hosts are those that serve, as a member said last, at heardAt.
	hosts   []string
	heardAt time.Time
}

func newStandby() *standby { return &standby{changed: newHub()} }

// serving returns the link addresses of the hosts that serve, none if no member has named
// them lately: hosts that stand by would pass on what they have from each other for ever.
func (s *standby) serving() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.heardAt) > standbyTrust {
		return nil
	}
	return slices.Clone(s.hosts)
}

// note takes over which hosts serve. It reports whether these are the first ones.
func (s *standby) note(hosts []string) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.hosts) == 0
	s.hosts, s.heardAt = slices.Clone(hosts), time.Now()
	s.changed.notify()
	return first
}

func (s *standby) setClient(c *link.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client = c
}

// link returns the link to a host that serves, nil if this host does not stand by.
func (s *standby) link() *link.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client
}

// reached returns the host that serves and to which there is a link, empty without one.
func (s *standby) reached() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.client == nil {
		return ""
	}
	at := s.client.Address()
	if !slices.Contains(s.hosts, at) {
		return ""
	}
	return at
}

// mayStandBy reports whether this host is a member only as long as it is needed.
func (d *Daemon) mayStandBy() bool {
	r := d.settings.GetReplica()
	return r.GetStandBy() && r.GetTransient() && r.GetAutomaticMembers()
}

// standsBy reports whether this host is no member and is not to act as one.
func (d *Daemon) standsBy() bool { return d.mayStandBy() && !d.formed() }

// standByLoop asks to be a member until this host is needed as one.
func (d *Daemon) standByLoop() {
	address := d.memberAddress(voter{name: d.name, address: d.settings.GetReplica().GetListen()})
	client := link.NewClient(d.initialAddresses(), d.creds, link.ClientOptions{
		Scope:             d.scope.SubScope("standby"),
		Log:               d.log,
		DialTimeout:       standbyDialTimeout,
		HeartbeatInterval: peerHeartbeat,
		HeartbeatTimeout:  peerHeartbeatTimeout,
		BackoffMax:        foundRetry,
	})
	d.standby.setClient(client)
	defer client.Close()
	defer d.standby.setClient(nil)
	for !d.formed() {
		client.SetAddresses(d.initialAddresses())
		if !d.pause(d.askForPlace(client, address)) {
			return
		}
	}
}

func (d *Daemon) initialAddresses() []string {
	var out []string
	for _, v := range d.initial() {
		if v.name != d.name {
			out = append(out, v.address)
		}
	}
	return out
}

// askForPlace asks once to be a member and returns when to ask again.
func (d *Daemon) askForPlace(client *link.Client, address string) time.Duration {
	ctx, cancel := context.WithTimeout(d.ctx, automaticJoinTimeout)
	defer cancel()
	join := &controlpb.Join{Address: address, Transient: true, StandBy: true}
	res, err := client.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Join{Join: join}})
	if err == nil {
		err = link.ResponseError(res)
	}
	if err != nil {
		// The next host may know more.
		d.scope.Counter("failed_joins").Inc(1)
		client.Move("")
		return foundRetry
	}
	hosts := res.GetStandBy().GetAddresses()
	if len(hosts) == 0 {
		return foundRetry // it becomes a member
	}
	client.SetLearnedAddresses(hosts)
	if !slices.Contains(hosts, client.Address()) {
		client.Move(drawn(hosts))
		return foundRetry
	}
	d.noteServing(hosts)
	return standbyPeriod/2 + rand.N(standbyPeriod)
}

// noteServing takes over which hosts serve, as a member said.
func (d *Daemon) noteServing(hosts []string) {
	client := d.standby.link()
	if client == nil || len(hosts) == 0 {
		return
	}
	if d.standby.note(hosts) {
		d.appointer.end()
		d.peers.keepUsed(nil, 0)
		d.log.Info("standing by", zap.Strings("serving", hosts))
	}
	client.SetLearnedAddresses(hosts)
	if at := client.Address(); at != "" && !slices.Contains(hosts, at) {
		client.Move(drawn(hosts))
	}
}

func drawn(hosts []string) string { return hosts[rand.IntN(len(hosts))] }

// standByAnswer tells a host that asks to join that it is not needed. Nil means that
// this host cannot tell, or that the other one is needed.
func (h *handler) standByAnswer(j *controlpb.Join) *controlpb.Response {
	if !j.GetStandBy() {
		return nil
	}
	d := (*Daemon)(h)
	hosts := d.standby.serving()
	if !d.standsBy() {
		if !d.leads(controlpb.Group_GROUP_CONFIG) || d.lack.fill() {
			return nil
		}
		hosts = d.servingHosts()
	}
	if len(hosts) == 0 {
		return nil
	}
	return &controlpb.Response{Body: &controlpb.Response_StandBy{StandBy: &controlpb.ControlHosts{Addresses: hosts}}}
}

// lack is since when the group has lacked a member that serves. Hosts that keep their
// log join within seconds of their start and after a restart, and have to come first.
type lack struct {
	mu    sync.Mutex
	since time.Time
	long  bool
}

// note takes over whether a member is lacking. It reports whether the lack has become one
// that lasts, or has ended as such.
func (l *lack) note(lacking bool, now time.Time) (news bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !lacking {
		l.since = time.Time{}
	} else if l.since.IsZero() {
		l.since = now
	}
	long := lacking && now.Sub(l.since) >= lackPatience
	news = long != l.long
	l.long = long
	return news
}

// fill reports whether the lack has lasted for so long that a host is to be added. One
// is at a time: whether another one is needed shows once that one serves.
func (l *lack) fill() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.long {
		return false
	}
	l.long, l.since = false, time.Time{}
	return true
}

// noteSupply follows whether the members serve all subscribers. The leader alone knows.
func (d *Daemon) noteSupply(members []voters.Member) {
	lacking, reason := voters.NeedsServingMember(d.supply(members), d.servingLimits())
	if d.lack.note(lacking, time.Now()) {
		d.log.Info("members that serve", zap.Bool("lacking", lacking), zap.String("reason", string(reason)),
			zap.Int("answering", voters.CountActive(members)))
	}
}

func (d *Daemon) supply(members []voters.Member) voters.ServingLoad {
	spread := d.directory.spread()
	s := voters.ServingLoad{Serving: voters.CountActive(members), Subscribers: spread.Own}
	for _, other := range spread.Others {
		s.Subscribers += other.Subscribers
	}
	return s
}

func (d *Daemon) servingLimits() voters.ServingLimits {
	r := d.settings.GetReplica()
	links := int(r.GetMaxLinks())
	if links == 0 {
		links = link.DefaultMaxConnections
	}
	return voters.ServingLimits{MinServing: int(r.GetLeastVoters())/2 + 1, MaxSubscribersPerMember: links / linksPerSubscriber}
}

// servingHosts lists the link addresses of the members of the configuration's group.
func (d *Daemon) servingHosts() []string {
	var out []string
	for _, m := range d.replicas[controlpb.Group_GROUP_CONFIG].Status().Members {
		if address := d.peers.addressOf(m.Member); address != "" && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// awaitServing waits until this host, which stands by, knows hosts that serve. It returns
// none if the context ends before, or this host has become a member.
func (d *Daemon) awaitServing(ctx context.Context) []string {
	changed := d.standby.changed.join()
	defer d.standby.changed.leave(changed)
	for ctx.Err() == nil && d.standsBy() {
		if hosts := d.standby.serving(); len(hosts) > 0 {
			return hosts
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(foundRetry):
		}
	}
	return nil
}

// refuseStandingBy sends an agent or entry host to the hosts that serve. Those that start
// together with this host wait until it knows some, in place of asking again and again.
func (h *handler) refuseStandingBy(ctx context.Context) *controlpb.Response {
	ctx, cancel := context.WithTimeout(ctx, leaderPatience)
	defer cancel()
	hosts := (*Daemon)(h).awaitServing(ctx)
	res := h.fault(refusedStandsBy, controlpb.FaultKind_FAULT_NOT_DONE, ErrStandby.Error())
	if len(hosts) > 0 {
		res.GetFault().Hosts = &controlpb.ControlHosts{Addresses: hosts}
		res.GetFault().RetryAfterMs = 0
	}
	return res
}

// sendElsewhere serves a subscription at a host that stands by: it names the hosts that
// serve, once it knows them. It returns false if this host has become a member.
func (h *handler) sendElsewhere(ctx context.Context, s *link.ServerStream) (sent bool, err error) {
	d := (*Daemon)(h)
	hosts := d.awaitServing(ctx)
	if len(hosts) == 0 {
		return ctx.Err() != nil, nil
	}
	h.scope.Counter("subscribers_sent_elsewhere").Inc(1)
	err = s.Send(&controlpb.SubscribeUpdate{
		Hosts: &controlpb.ControlHosts{Addresses: hosts},
		Move:  &controlpb.Move{Address: drawn(hosts)},
	})
	if err != nil {
		return true, err
	}
	// The subscriber ends it: a stream that ends first would be an error there.
	<-ctx.Done()
	return true, nil
}

// standsByError returns an error that sends an operator to a host that serves, nil if
// this one does.
func (d *Daemon) standsByError() error {
	if !d.standsBy() {
		return nil
	}
	return &StandbyError{ServingAddress: d.standby.reached()}
}
