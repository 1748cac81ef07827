package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Errors of calls.
var (
	// ErrNotApplied is returned if the call changed nothing.
	ErrNotApplied = errors.New("not done")
	// ErrOutcomeUnknown is returned if the call may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome not known")
	// ErrNotFound is returned if a quorum has no such patch, version or member.
	ErrNotFound = errors.New("not found")
	// ErrPartiallyApplied is returned if the host could not make the change in all
	// groups. It is an ErrNotApplied.
	ErrPartiallyApplied = errors.Wrap(ErrNotApplied, "not in all groups")
	// ErrRefused is returned if the leader refuses the change with the current members.
	// It is an ErrNotApplied.
	ErrRefused = errors.Wrap(ErrNotApplied, "refused")
)

// Bounds of calls.
const (
	// SubmitTimeout bounds the replication of a patch on the control host.
	SubmitTimeout = 5 * time.Second
	// ReadTimeout bounds a confirmed read on the control host.
	ReadTimeout = 2 * time.Second
	// MembershipTimeout bounds a membership change on the control host.
	MembershipTimeout = 10 * time.Second
	// MaxRequestBody is the maximum size of a request body in bytes.
	MaxRequestBody = 8 << 20
)

// Handler implements the calls of the API.
type Handler interface {
	// Submit replicates a patch. Errors: ErrNotApplied, ErrOutcomeUnknown.
	Submit(ctx context.Context, p *configpb.Patch) (*configpb.Outcome, error)
	// Outcome returns the outcome of a patch, confirmed by a quorum. Errors:
	// ErrNotApplied without a quorum, ErrNotFound.
	Outcome(ctx context.Context, id string) (*configpb.Outcome, error)
	// Config returns a version, 0 for the current one, and whether a quorum confirmed
	// that the host has the newest version. Errors: ErrNotFound.
	Config(ctx context.Context, version uint64) (*configpb.Configuration, bool, error)
	// Evacuate starts or ends the evacuation of a failure domain. The outcome has
	// findings if the order exceeds a limit or names an unknown failure domain. Errors:
	// ErrNotApplied, ErrOutcomeUnknown.
	Evacuate(ctx context.Context, o *configpb.EvacuationOrder) (*configpb.EvacuationOutcome, error)
	// Status returns the state known to this host without contacting others.
	Status() *Status
	// Membership changes apply to all groups, which may have different leaders.
	// ErrPartiallyApplied means that some groups were not changed. Changes are
	// idempotent. Promote and Remove return ErrNotFound if a quorum has confirmed that
	// there is no such member.

	// AddLearner adds the control host at a link address (ip:port) to all groups as a
	// learner. Errors: ErrNotApplied, ErrOutcomeUnknown.
	AddLearner(ctx context.Context, address string) error
	// Promote makes a learner that has caught up a voter. Errors: ErrNotApplied,
	// ErrRefused if the number of voters is at its limit, ErrOutcomeUnknown.
	Promote(ctx context.Context, m MemberRef) error
	// Remove removes a member from all groups. Errors: ErrNotApplied,
	// ErrOutcomeUnknown.
	Remove(ctx context.Context, m MemberRef) error
	// SetRetention sets how long the grant groups keep keys. It is idempotent. Errors:
	// ErrNotApplied for an invalid retention, ErrPartiallyApplied, ErrOutcomeUnknown.
	SetRetention(ctx context.Context, r Retention) error
}

// MemberRef identifies a member. Incarnation distinguishes hosts that used the same
// name; each group has its own. It may be 0 if the name is unambiguous.
type MemberRef struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation,omitempty,string"`
}

// Status is the state known to one control host.
type Status struct {
	Host string `json:"host"`
	// Version is the newest version known to the host.
	Version uint64 `json:"version"`
	// VersionPatch is the identifier of the patch that created it.
	VersionPatch string        `json:"version_patch,omitempty"`
	Groups       []GroupStatus `json:"groups"`
	// Targets is the number of targets in the directory.
	Targets int `json:"targets"`
	// Damped is the number of targets without new flows because they flap.
	Damped      int                `json:"targets_damped"`
	Subscribers []SubscriberStatus `json:"subscribers"`
	// LaggingSubscribers names the subscribers on which Version is not active.
	LaggingSubscribers []string `json:"laggards"`
	// GrantsHeld and GrantsAnswered count the keys of all grant groups.
	GrantsHeld     int `json:"grants_held"`
	GrantsAnswered int `json:"grants_answered"`
	// Evacuations are the evacuated failure domains.
	Evacuations []EvacuationStatus `json:"evacuations"`
	// Capacity has every service with targets, as known to this host. It is nil if the host
	// is of a release that does not report it.
	Capacity []ServiceCapacity `json:"capacity"`
}

// EvacuationStatus is the state of an evacuated failure domain.
type EvacuationStatus struct {
	FailureDomain string `json:"failure_domain"`
	// SinceVersion is the version created by the order, Since the time on the control
	// host that accepted it.
	SinceVersion uint64    `json:"since_version"`
	Since        time.Time `json:"since"`
	// Order is the identifier of the order, if any.
	Order string `json:"order,omitempty"`
}

// NewEvacuationStatus converts an evacuation.
func NewEvacuationStatus(e *configpb.Evacuation) EvacuationStatus {
	return EvacuationStatus{
		FailureDomain: e.GetFailureDomain(),
		SinceVersion:  e.GetSinceVersion(),
		Since:         time.UnixMilli(e.GetSinceUnixMs()).UTC(),
		Order:         e.GetOrder(),
	}
}

// GroupStatus is the state of one replicated log.
type GroupStatus struct {
	Group string `json:"group"`
	// State is "leads", "follows", "no leader", "not founded" or "stands by".
	State   string         `json:"state"`
	Leader  string         `json:"leader,omitempty"`
	Term    uint64         `json:"term"`
	Commit  uint64         `json:"commit"`
	Applied uint64         `json:"applied"`
	Members []MemberStatus `json:"members"`
	// Grants is set for a grant group.
	Grants *GrantStatus `json:"grants,omitempty"`
}

// Retention is how long keys are kept, in seconds.
type Retention struct {
	// Answered is the time from the recorded response.
	Answered int `json:"answered_for_seconds"`
	// Held is the time from the grant, for a key without a recorded response.
	Held int `json:"held_for_seconds"`
}

// GrantStatus is the state of a grant group as known to a host.
type GrantStatus struct {
	// Slots is the number of hash slots of the group; 0 for all groups until a table is
	// agreed on.
	Slots int `json:"slots"`
	// Held and Answered count the keys.
	Held     int `json:"held"`
	Answered int `json:"answered"`
	// Full is the usage of the table in percent.
	Full      int       `json:"full_percent"`
	Retention Retention `json:"retention"`
}

// MemberStatus is the state of a member of a group.
type MemberStatus struct {
	MemberRef
	Address string `json:"address"`
	Learner bool   `json:"learner"`
	// Match and Active are known to the leader only.
	Match  uint64 `json:"match"`
	Active bool   `json:"active"`
}

// SubscriberStatus is the state of an entry host or agent subscribed to this host.
type SubscriberStatus struct {
	Role          string `json:"role"`
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// Version is its active version according to its last heartbeat.
	Version uint64 `json:"version"`
}

// outcomeResponse contains an outcome as protobuf JSON.
type outcomeResponse struct {
	Outcome json.RawMessage `json:"outcome"`
}

type configResponse struct {
	Config    json.RawMessage `json:"config"`
	Confirmed bool            `json:"confirmed"`
}

// errorKind is the machine-readable kind of an error.
type errorKind string

const (
	errorNotApplied     errorKind = "not-done"
	errorOutcomeUnknown errorKind = "unknown"
	errorNotFound       errorKind = "not-found"

	errorPartiallyApplied errorKind = "not-everywhere"
	errorRefused          errorKind = "refused"
)

type errorResponse struct {
	Kind   errorKind `json:"kind"`
	Reason string    `json:"reason"`
}

type addLearnerRequest struct {
	Address string `json:"address"`
}
