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
	"eelgrasswharf.example/eelgrasswharf/internal/replica"
	"eelgrasswharf.example/eelgrasswharf/voters"
)

// ErrStandby means that this host is no member of the group; see StandbyError.
var ErrStandby = errors.New("this control host stands by")

// StandbyError refuses a call on a standby and names a serving host. The call had no
// effect. The error is both ErrStandby and operator.ErrNotApplied.
type StandbyError struct {
	// ServingAddress is the link address (ip:port) of a serving host, empty if none is
	// known.
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

// standby is the state of a transient host that is not needed as a member. It keeps one
// link, to a serving host, and redirects all clients.
type standby struct {
	changed *notifier

	mu     sync.Mutex
	client *link.Client
	// hosts are the serving hosts last named by a member, at receivedAt.
	hosts      []string
	receivedAt time.Time
}

func newStandby() *standby { return &standby{changed: newNotifier()} }

// servingHosts returns the link addresses of the serving hosts, none if the list is older
// than servingHostsMaxAge. Otherwise standbys could send each other an outdated list
// forever.
func (s *standby) servingHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.receivedAt) > servingHostsMaxAge {
		return nil
	}
	return slices.Clone(s.hosts)
}

// setHosts stores the serving hosts. It reports whether none were known before.
func (s *standby) setHosts(hosts []string) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.hosts) == 0
	s.hosts, s.receivedAt = slices.Clone(hosts), time.Now()
	s.changed.notify()
	return first
}

func (s *standby) setClient(c *link.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client = c
}

// link returns the link to a serving host, nil if this host is no standby.
func (s *standby) link() *link.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client
}

// connectedHost returns the address of the connected serving host, empty if there is none.
func (s *standby) connectedHost() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.client == nil {
		return ""
	}
	address := s.client.Address()
	if !slices.Contains(s.hosts, address) {
		return ""
	}
	return address
}

// standbyEnabled reports whether this host becomes a member only when needed.
func (d *Daemon) standbyEnabled() bool {
	r := d.settings.GetReplica()
	return r.GetStandBy() && r.GetTransient() && r.GetAutomaticMembers()
}

// isStandby reports whether this host is a standby at present.
func (d *Daemon) isStandby() bool { return d.standbyEnabled() && !d.bootstrapped() }

// standbyLoop requests membership until this host is a member.
func (d *Daemon) standbyLoop() {
	address := d.memberAddress(seedHost{name: d.name, address: d.settings.GetReplica().GetListen()})
	client := link.NewClient(d.seedAddresses(), d.creds, link.ClientOptions{
		Scope:             d.scope.SubScope("standby"),
		Log:               d.log,
		DialTimeout:       standbyDialTimeout,
		HeartbeatInterval: peerHeartbeat,
		HeartbeatTimeout:  peerHeartbeatTimeout,
		BackoffMax:        bootstrapRetry,
	})
	d.standby.setClient(client)
	defer client.Close()
	defer d.standby.setClient(nil)
	for !d.bootstrapped() {
		client.SetAddresses(d.seedAddresses())
		if !d.sleep(d.requestMembership(client, address)) {
			return
		}
	}
}

func (d *Daemon) seedAddresses() []string {
	var out []string
	for _, v := range d.seedHosts() {
		if v.name != d.name {
			out = append(out, v.address)
		}
	}
	return out
}

// requestMembership sends one request to join and returns the delay before the next.
func (d *Daemon) requestMembership(client *link.Client, address string) time.Duration {
	ctx, cancel := context.WithTimeout(d.ctx, automaticJoinTimeout)
	defer cancel()
	join := &controlpb.Join{
		Address:     address,
		Transient:   true,
		StandBy:     true,
		Incarnation: d.replicas[controlpb.Group_GROUP_CONFIG].ID().GetIncarnation(),
	}
	res, err := client.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Join{Join: join}})
	if err == nil {
		err = link.ResponseError(res)
	}
	if err != nil {
		// Try another host.
		d.scope.Counter("failed_joins").Inc(1)
		client.Move("")
		return bootstrapRetry
	}
	hosts := res.GetStandBy().GetAddresses()
	if len(hosts) == 0 {
		return bootstrapRetry // accepted as a member
	}
	client.SetLearnedAddresses(hosts)
	if !slices.Contains(hosts, client.Address()) {
		client.Move(randomHost(hosts))
		return bootstrapRetry
	}
	d.setServingHosts(hosts)
	return standbyPeriod/2 + rand.N(standbyPeriod)
}

// setServingHosts stores the serving hosts named by a member and moves the link to one of
// them.
func (d *Daemon) setServingHosts(hosts []string) {
	client := d.standby.link()
	if client == nil || len(hosts) == 0 {
		return
	}
	if d.standby.setHosts(hosts) {
		d.founderSelector.disable()
		d.peers.closeUnused(nil, 0)
		d.log.Info("entered standby", zap.Strings("serving", hosts))
	}
	client.SetLearnedAddresses(hosts)
	if address := client.Address(); address != "" && !slices.Contains(hosts, address) {
		client.Move(randomHost(hosts))
	}
}

func randomHost(hosts []string) string { return hosts[rand.IntN(len(hosts))] }

// decideStandby decides on a host that accepts becoming a standby, before anyone dials it. It
// returns the reply, or nil if the host is to be added as a member. Only the leader of the
// configuration group knows whether a member is needed, so that other hosts pass the request on
// to it; the leaders of other groups add a host once it is a member of that group.
func (h *handler) decideStandby(ctx context.Context, j *controlpb.Join, name string) *controlpb.Response {
	d := (*Daemon)(h)
	switch {
	case d.isStandby():
		return standbyReply(d.standby.servingHosts())
	case d.isConfigMember(name, j.GetIncarnation()):
		return nil
	case d.isLeader(controlpb.Group_GROUP_CONFIG):
		if d.shortage.consume() {
			return nil
		}
		return standbyReply(d.memberLinkAddresses())
	case j.GetHops() >= maxJoinHops:
		return h.fault(refusedNoLeader, controlpb.FaultKind_FAULT_NOT_DONE, "this host does not lead the configuration group")
	}
	return h.forwardJoin(ctx, j, name, []controlpb.Group{controlpb.Group_GROUP_CONFIG})
}

// standbyReply names the serving hosts to a standby, nil if none are known.
func standbyReply(hosts []string) *controlpb.Response {
	if len(hosts) == 0 {
		return nil
	}
	return &controlpb.Response{Body: &controlpb.Response_StandBy{StandBy: &controlpb.ControlHosts{Addresses: hosts}}}
}

// isConfigMember reports whether a host is a member of the configuration group. Hosts of earlier
// releases do not name the incarnation of their replica.
func (d *Daemon) isConfigMember(name string, incarnation uint64) bool {
	return slices.ContainsFunc(d.replicas[controlpb.Group_GROUP_CONFIG].Status().Members, func(m replica.MemberStatus) bool {
		id := m.Member.GetId()
		return id.GetName() == name && (incarnation == 0 || id.GetIncarnation() == incarnation)
	})
}

// shortage records since when the group has too few serving members. A standby is added
// only after shortageDelay, so that hosts with a durable log, which join within seconds of
// a start, take precedence.
type shortage struct {
	mu      sync.Mutex
	since   time.Time
	lasting bool
}

// update records whether members are short. It reports whether a lasting shortage has begun
// or ended.
func (s *shortage) update(short bool, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !short {
		s.since = time.Time{}
	} else if s.since.IsZero() {
		s.since = now
	}
	lasting := short && now.Sub(s.since) >= shortageDelay
	changed = lasting != s.lasting
	s.lasting = lasting
	return changed
}

// consume reports whether a standby is to be added, and resets the shortage: standbys are
// added one at a time, so that each takes effect before the next.
func (s *shortage) consume() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lasting {
		return false
	}
	s.lasting, s.since = false, time.Time{}
	return true
}

// updateShortage checks whether the members can serve all subscribers. It is called on the
// leader, which knows the active members.
func (d *Daemon) updateShortage(members []voters.Member) {
	short, reason := voters.NeedsServingMember(d.servingLoad(members), d.servingLimits())
	if d.shortage.update(short, time.Now()) {
		d.log.Info("serving member shortage changed", zap.Bool("shortage", short), zap.String("reason", string(reason)),
			zap.Int("active_members", voters.CountActive(members)))
	}
}

func (d *Daemon) servingLoad(members []voters.Member) voters.ServingLoad {
	s := voters.ServingLoad{Serving: voters.CountActive(members), Subscribers: d.subscribers.count()}
	for _, other := range d.directory.rebalancer().Others {
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

// memberLinkAddresses lists the link addresses of the members of the configuration group.
func (d *Daemon) memberLinkAddresses() []string {
	var out []string
	for _, m := range d.replicas[controlpb.Group_GROUP_CONFIG].Status().Members {
		if address := d.peers.addressOf(m.Member); address != "" && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// otherServingHosts returns the link addresses of the serving hosts other than this one, none
// if settings name all hosts.
func (d *Daemon) otherServingHosts() []string {
	if !d.settings.GetReplica().GetAutomaticMembers() {
		return nil
	}
	if d.isStandby() {
		return d.standby.servingHosts()
	}
	own := d.selfAddress(controlpb.Group_GROUP_CONFIG)
	return slices.DeleteFunc(d.memberLinkAddresses(), func(address string) bool { return address == own })
}

// awaitServingHosts waits until this standby knows serving hosts. It returns none if the
// context ends first or this host has become a member.
func (d *Daemon) awaitServingHosts(ctx context.Context) []string {
	changed := d.standby.changed.subscribe()
	defer d.standby.changed.unsubscribe(changed)
	for ctx.Err() == nil && d.isStandby() {
		if hosts := d.standby.servingHosts(); len(hosts) > 0 {
			return hosts
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(bootstrapRetry):
		}
	}
	return nil
}

// refuseAsStandby redirects an agent or entry host to the serving hosts. It waits for them
// briefly, so that clients started together with this host need not retry.
func (h *handler) refuseAsStandby(ctx context.Context) *controlpb.Response {
	ctx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	hosts := (*Daemon)(h).awaitServingHosts(ctx)
	return h.redirect(refusedStandby, ErrStandby.Error(), hosts)
}

// redirectSubscriber sends the serving hosts to a subscriber, once they are known. It
// returns false if this host has become a member.
func (h *handler) redirectSubscriber(ctx context.Context, s *link.ServerStream) (sent bool, err error) {
	d := (*Daemon)(h)
	hosts := d.awaitServingHosts(ctx)
	if len(hosts) == 0 {
		return ctx.Err() != nil, nil
	}
	return true, h.redirectTo(ctx, s, hosts, randomHost(hosts))
}

// redirectTo names the serving hosts to a subscriber, and the one to move to. It returns once
// the subscriber has closed the stream; closing it here would be an error there.
func (h *handler) redirectTo(ctx context.Context, s *link.ServerStream, hosts []string, to string) error {
	h.scope.Counter("subscribers_sent_elsewhere").Inc(1)
	err := s.Send(&controlpb.SubscribeUpdate{
		Hosts: &controlpb.ControlHosts{Addresses: hosts},
		Move:  &controlpb.Move{Address: to},
	})
	if err == nil {
		<-ctx.Done()
	}
	return err
}

// standbyError returns an error that names a serving host if this host is a standby, else
// nil.
func (d *Daemon) standbyError() error {
	if !d.isStandby() {
		return nil
	}
	return &StandbyError{ServingAddress: d.standby.connectedHost()}
}
