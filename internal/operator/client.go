package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

const (
	// dialTimeout bounds the connection to one control host.
	dialTimeout = 2 * time.Second
	// CallTimeout bounds a call to one control host; it exceeds every timeout
	// that the host itself sets.
	CallTimeout = 15 * time.Second
	// MaxResponse bounds an answer, in bytes.
	MaxResponse = 64 << 20
	// changeRounds is how often all hosts are asked again to make a change of
	// members that some of them could not make in all groups, changePause the
	// time between two rounds.
	changeRounds = 5
	changePause  = 200 * time.Millisecond
)

// Client calls the API of control hosts. It may be used concurrently.
type Client struct {
	addrs []string
	http  *http.Client
}

// NewClient returns a client for control hosts at these operator addresses
// (ip:port).
func NewClient(addrs []string, creds *keys.Credentials) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     creds.ClientTLS(keys.RoleControl),
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{addrs: addrs, http: &http.Client{Transport: transport, Timeout: CallTimeout}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Submit sends a patch and returns its outcome, which tells whether it became
// a version. It tries one control host after the other; that is safe because a
// patch never applies twice. Errors: ErrNotDone if no host took it, ErrUnknown
// if one may have.
func (c *Client) Submit(ctx context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	body, err := protojson.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(ErrNotApplied, err.Error())
	}
	var a outcomeAnswer
	if err := c.anyHost(ctx, request{http.MethodPost, "/v1/patches", body}, &a); err != nil {
		return nil, err
	}
	return decodeOutcome(&a)
}

// Outcome asks what became of a patch. Errors: ErrNotDone if no quorum could
// tell, ErrNotFound if a quorum knows of no such patch.
func (c *Client) Outcome(ctx context.Context, id string) (*configpb.Outcome, error) {
	var a outcomeAnswer
	if err := c.anyHost(ctx, read("/v1/patches/"+url.PathEscape(id)), &a); err != nil {
		return nil, err
	}
	return decodeOutcome(&a)
}

func decodeOutcome(a *outcomeAnswer) (*configpb.Outcome, error) {
	out := new(configpb.Outcome)
	if err := protojson.Unmarshal(a.Outcome, out); err != nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return out, nil
}

// Evacuate begins or ends the evacuation of a failure domain. It tries one control host
// after the other: that is safe for an order with an identifier, which is carried out
// once. Errors: ErrNotDone if no host took it, ErrUnknown if one may have.
func (c *Client) Evacuate(ctx context.Context, o *configpb.EvacuationOrder) (*configpb.EvacuationOutcome, error) {
	body, err := protojson.Marshal(o)
	if err != nil {
		return nil, errors.Wrap(ErrNotApplied, err.Error())
	}
	var a outcomeAnswer
	if err := c.anyHost(ctx, request{http.MethodPost, "/v1/evacuations", body}, &a); err != nil {
		return nil, err
	}
	out := new(configpb.EvacuationOutcome)
	if err := protojson.Unmarshal(a.Outcome, out); err != nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return out, nil
}

// Config returns a version, 0 for the current one, and whether a quorum
// confirmed it to be held by a host that knows the newest one.
func (c *Client) Config(ctx context.Context, version uint64) (*configpb.Configuration, bool, error) {
	path := "/v1/config"
	if version != 0 {
		path += "?version=" + strconv.FormatUint(version, 10)
	}
	var a configAnswer
	if err := c.anyHost(ctx, read(path), &a); err != nil {
		return nil, false, err
	}
	cfg := new(configpb.Configuration)
	if err := protojson.Unmarshal(a.Config, cfg); err != nil {
		return nil, false, errors.Wrap(ErrNotApplied, err.Error())
	}
	return cfg, a.Confirmed, nil
}

// HostStatus is what one control host answered.
type HostStatus struct {
	Address string
	Status  *Status
	Err     error
}

// Status asks every control host for its view.
func (c *Client) Status(ctx context.Context) []HostStatus {
	out := make([]HostStatus, len(c.addrs))
	for i, addr := range c.addrs {
		out[i].Address = addr
		s := new(Status)
		if err := c.call(ctx, addr, read("/v1/status"), s); err != nil {
			out[i].Err = err
			continue
		}
		out[i].Status = s
	}
	return out
}

// AddLearner adds the control host at a link address to all groups, without
// a vote. Errors: ErrNotDone, ErrUnknown.
func (c *Client) AddLearner(ctx context.Context, address string) (*Status, error) {
	s, _, err := c.change(ctx, "/v1/members", &addLearnerRequest{Address: address})
	return s, err
}

// Promote gives a learner that has caught up a vote. Errors: ErrNotDone,
// ErrRefused, ErrUnknown.
func (c *Client) Promote(ctx context.Context, m MemberRef) (*Status, error) {
	s, _, err := c.change(ctx, "/v1/members/promote", &m)
	return s, err
}

// Remove takes a member out of all groups. Errors: ErrNotDone, ErrUnknown,
// ErrNotFound.
func (c *Client) Remove(ctx context.Context, m MemberRef) (*Status, error) {
	s, known, err := c.change(ctx, "/v1/members/remove", &m)
	if known && errors.Is(err, ErrNotFound) {
		// The hosts that lead one group each have removed it between them.
		return c.anyStatus(ctx)
	}
	return s, err
}

// SetRetention has all groups of grants keep their keys that long. Errors:
// ErrNotDone, ErrUnknown.
func (c *Client) SetRetention(ctx context.Context, r Retention) (*Status, error) {
	s, _, err := c.change(ctx, "/v1/grants/retention", &r)
	return s, err
}

// change makes a change in all groups. Each host makes it where
// it leads, so all are asked, and a few times: a host may not have heard yet
// what another one has done. It is not passed on once its outcome is unknown.
// It also reports whether some host knew the member.
func (c *Client) change(ctx context.Context, path string, req any) (s *Status, known bool, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, false, errors.Wrap(ErrNotApplied, err.Error())
	}
	for range changeRounds {
		s, partly, err := c.changeRound(ctx, path, body)
		known = known || partly
		if err == nil || !partly || decisive(err) {
			return s, known, err
		}
		select {
		case <-time.After(changePause):
		case <-ctx.Done():
			return nil, known, err
		}
	}
	s, partly, err := c.changeRound(ctx, path, body)
	return s, known || partly, err
}

// decisive tells that asking other hosts for a change makes no difference: a
// quorum or the leader said so, or the outcome is unknown.
func decisive(err error) bool {
	return errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotFound) || errors.Is(err, ErrRefused)
}

// changeRound asks each host once, until one has made the change. It reports
// whether some host answered ErrNotEverywhere.
func (c *Client) changeRound(ctx context.Context, path string, body []byte) (*Status, bool, error) {
	partly := false
	err := errors.Wrap(ErrNotApplied, "no control host is named")
	for _, addr := range c.addrs {
		s := new(Status)
		if err = c.call(ctx, addr, request{http.MethodPost, path, body}, s); err == nil {
			return s, partly, nil
		}
		if decisive(err) {
			return nil, partly, err
		}
		partly = partly || errors.Is(err, ErrPartiallyApplied)
	}
	return nil, partly, err
}

// anyStatus returns the view of the first host that answers.
func (c *Client) anyStatus(ctx context.Context) (*Status, error) {
	s := new(Status)
	return s, c.anyHost(ctx, read("/v1/status"), s)
}

// request is a call of the API.
type request struct {
	method, path string
	body         []byte
}

// read is a request that changes nothing.
func read(path string) request { return request{method: http.MethodGet, path: path} }

// anyHost calls the hosts in order until one answers. Once one of them left
// the outcome unknown, a refusal by another one cannot make it known.
func (c *Client) anyHost(ctx context.Context, r request, into any) error {
	last := errors.Wrap(ErrNotApplied, "no control host is named")
	unknown := false
	for _, addr := range c.addrs {
		err := c.call(ctx, addr, r, into)
		if err == nil || errors.Is(err, ErrNotFound) {
			return err
		}
		unknown = unknown || errors.Is(err, ErrOutcomeUnknown)
		last = err
	}
	if unknown && !errors.Is(last, ErrOutcomeUnknown) {
		return errors.Wrap(ErrOutcomeUnknown, last.Error())
	}
	return last
}

// call sends a request to one host and decodes its answer.
func (c *Client) call(ctx context.Context, addr string, r request, into any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, r.method, "https://"+addr+r.path, bytes.NewReader(r.body))
	if err != nil {
		return errors.Wrap(ErrNotApplied, err.Error())
	}
	res, err := c.http.Do(req)
	if err != nil {
		return unanswered(addr, r.method, connected.Load(), err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, MaxResponse))
	if err != nil {
		return unanswered(addr, r.method, true, err)
	}
	if res.StatusCode != http.StatusOK {
		return faultError(addr, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return unanswered(addr, r.method, true, err)
	}
	return nil
}

// unanswered sorts a call without an answer. A call that never had a connection, or
// that only reads, changed nothing.
func unanswered(addr, method string, connected bool, err error) error {
	if !connected || method == http.MethodGet {
		return errors.Wrapf(ErrNotApplied, "%s: %v", addr, err)
	}
	return errors.Wrapf(ErrOutcomeUnknown, "%s: %v", addr, err)
}

// faultError returns the error that an answer other than success stands for.
func faultError(addr string, data []byte) error {
	var f faultAnswer
	if err := json.Unmarshal(data, &f); err != nil {
		return errors.Wrapf(ErrOutcomeUnknown, "%s: unreadable answer", addr)
	}
	switch f.Kind {
	case faultNotEverywhere:
		return errors.Wrapf(ErrPartiallyApplied, "%s: %s", addr, f.Reason)
	case faultRefused:
		return errors.Wrapf(ErrRefused, "%s: %s", addr, f.Reason)
	case faultNotDone:
		return errors.Wrapf(ErrNotApplied, "%s: %s", addr, f.Reason)
	case faultNotFound:
		return errors.Wrapf(ErrNotFound, "%s: %s", addr, f.Reason)
	}
	return errors.Wrapf(ErrOutcomeUnknown, "%s: %s", addr, f.Reason)
}
