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
	// dialTimeout bounds the TCP and the TLS handshake with one control host.
	dialTimeout = 2 * time.Second
	// CallTimeout bounds a call to one control host. It exceeds the timeouts of the
	// host.
	CallTimeout = 15 * time.Second
	// MaxResponse is the maximum size of a response in bytes.
	MaxResponse = 64 << 20
	// maxChangeRetries bounds the retries of a membership change that some hosts could
	// not make in all groups.
	maxChangeRetries    = 5
	changeRetryInterval = 200 * time.Millisecond
)

// Client calls the API of control hosts. It is safe for concurrent use.
type Client struct {
	addrs []string
	http  *http.Client
}

// NewClient returns a client for control hosts with these operator addresses (ip:port).
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

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Submit submits a patch and returns its outcome. It tries the control hosts in turn,
// which is safe as a patch never applies twice. Errors: ErrNotApplied if no host
// accepted it, ErrOutcomeUnknown if one may have.
func (c *Client) Submit(ctx context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	body, err := protojson.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(ErrNotApplied, err.Error())
	}
	var response outcomeResponse
	if err := c.callAny(ctx, request{http.MethodPost, "/v1/patches", body}, &response); err != nil {
		return nil, err
	}
	return decodeOutcome(&response)
}

// Outcome returns the outcome of a patch. Errors: ErrNotApplied without a reply of a
// quorum, ErrNotFound if a quorum has no such patch.
func (c *Client) Outcome(ctx context.Context, id string) (*configpb.Outcome, error) {
	var response outcomeResponse
	if err := c.callAny(ctx, getRequest("/v1/patches/"+url.PathEscape(id)), &response); err != nil {
		return nil, err
	}
	return decodeOutcome(&response)
}

func decodeOutcome(response *outcomeResponse) (*configpb.Outcome, error) {
	out := new(configpb.Outcome)
	if err := protojson.Unmarshal(response.Outcome, out); err != nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return out, nil
}

// Evacuate starts or ends the evacuation of a failure domain. It tries the control
// hosts in turn, which is safe for an order with an identifier, as it is applied once.
// Errors: ErrNotApplied if no host accepted it, ErrOutcomeUnknown if one may have.
func (c *Client) Evacuate(ctx context.Context, o *configpb.EvacuationOrder) (*configpb.EvacuationOutcome, error) {
	body, err := protojson.Marshal(o)
	if err != nil {
		return nil, errors.Wrap(ErrNotApplied, err.Error())
	}
	var response outcomeResponse
	if err := c.callAny(ctx, request{http.MethodPost, "/v1/evacuations", body}, &response); err != nil {
		return nil, err
	}
	out := new(configpb.EvacuationOutcome)
	if err := protojson.Unmarshal(response.Outcome, out); err != nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return out, nil
}

// Config returns a version, 0 for the current one, and whether a quorum confirmed that
// the host has the newest version.
func (c *Client) Config(ctx context.Context, version uint64) (*configpb.Configuration, bool, error) {
	path := "/v1/config"
	if version != 0 {
		path += "?version=" + strconv.FormatUint(version, 10)
	}
	var response configResponse
	if err := c.callAny(ctx, getRequest(path), &response); err != nil {
		return nil, false, err
	}
	cfg := new(configpb.Configuration)
	if err := protojson.Unmarshal(response.Config, cfg); err != nil {
		return nil, false, errors.Wrap(ErrNotApplied, err.Error())
	}
	return cfg, response.Confirmed, nil
}

// HostStatus is the response of one control host.
type HostStatus struct {
	Address string
	Status  *Status
	Err     error
}

// Status returns the status of every control host.
func (c *Client) Status(ctx context.Context) []HostStatus {
	out := make([]HostStatus, len(c.addrs))
	for i, addr := range c.addrs {
		out[i].Address = addr
		s := new(Status)
		if err := c.call(ctx, addr, getRequest("/v1/status"), s); err != nil {
			out[i].Err = err
			continue
		}
		out[i].Status = s
	}
	return out
}

// AddLearner adds the control host at a link address to all groups as a learner.
// Errors: ErrNotApplied, ErrOutcomeUnknown.
func (c *Client) AddLearner(ctx context.Context, address string) (*Status, error) {
	s, _, err := c.applyChange(ctx, "/v1/members", &addLearnerRequest{Address: address})
	return s, err
}

// Promote makes a learner that has caught up a voter. Errors: ErrNotApplied,
// ErrRefused, ErrOutcomeUnknown.
func (c *Client) Promote(ctx context.Context, m MemberRef) (*Status, error) {
	s, _, err := c.applyChange(ctx, "/v1/members/promote", &m)
	return s, err
}

// Remove removes a member from all groups. Errors: ErrNotApplied, ErrOutcomeUnknown,
// ErrNotFound.
func (c *Client) Remove(ctx context.Context, m MemberRef) (*Status, error) {
	s, known, err := c.applyChange(ctx, "/v1/members/remove", &m)
	if known && errors.Is(err, ErrNotFound) {
		// Each host has removed it from the groups that it leads.
		return c.anyStatus(ctx)
	}
	return s, err
}

// SetRetention sets how long the grant groups keep keys. Errors: ErrNotApplied,
// ErrOutcomeUnknown.
func (c *Client) SetRetention(ctx context.Context, r Retention) (*Status, error) {
	s, _, err := c.applyChange(ctx, "/v1/grants/retention", &r)
	return s, err
}

// applyChange makes a change in all groups. A host changes only the groups that it
// leads and may lag behind, so all hosts are called repeatedly. An unknown outcome is
// not retried. It also reports whether any host knew the member.
func (c *Client) applyChange(ctx context.Context, path string, req any) (s *Status, known bool, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, false, errors.Wrap(ErrNotApplied, err.Error())
	}
	for range maxChangeRetries {
		s, partial, err := c.tryAllHosts(ctx, path, body)
		known = known || partial
		if err == nil || !partial || isFinal(err) {
			return s, known, err
		}
		select {
		case <-time.After(changeRetryInterval):
		case <-ctx.Done():
			return nil, known, err
		}
	}
	s, partial, err := c.tryAllHosts(ctx, path, body)
	return s, known || partial, err
}

// isFinal reports whether calling other hosts can't change the result.
func isFinal(err error) bool {
	return errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotFound) || errors.Is(err, ErrRefused)
}

// tryAllHosts calls the hosts in turn until one has made the change. It reports whether
// any of them returned ErrPartiallyApplied.
func (c *Client) tryAllHosts(ctx context.Context, path string, body []byte) (*Status, bool, error) {
	partial := false
	err := errors.Wrap(ErrNotApplied, "no control host address given")
	for _, addr := range c.addrs {
		s := new(Status)
		if err = c.call(ctx, addr, request{http.MethodPost, path, body}, s); err == nil {
			return s, partial, nil
		}
		if isFinal(err) {
			return nil, partial, err
		}
		partial = partial || errors.Is(err, ErrPartiallyApplied)
	}
	return nil, partial, err
}

// anyStatus returns the status of the first host that replies.
func (c *Client) anyStatus(ctx context.Context) (*Status, error) {
	s := new(Status)
	return s, c.callAny(ctx, getRequest("/v1/status"), s)
}

// request is an HTTP request of the API.
type request struct {
	method, path string
	body         []byte
}

// getRequest returns a request that changes nothing.
func getRequest(path string) request { return request{method: http.MethodGet, path: path} }

// callAny calls the hosts in turn until one replies. Once the outcome is unknown on one
// of them, an error of another one does not make it known.
func (c *Client) callAny(ctx context.Context, r request, into any) error {
	last := errors.Wrap(ErrNotApplied, "no control host address given")
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

// call sends a request to one host and decodes the response.
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
		return noResponseError(addr, r.method, connected.Load(), err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, MaxResponse))
	if err != nil {
		return noResponseError(addr, r.method, true, err)
	}
	if res.StatusCode != http.StatusOK {
		return responseError(addr, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return noResponseError(addr, r.method, true, err)
	}
	return nil
}

// noResponseError returns the error of a call without a response. A call without a
// connection, or one that only reads, changed nothing.
func noResponseError(addr, method string, connected bool, err error) error {
	if !connected || method == http.MethodGet {
		return errors.Wrapf(ErrNotApplied, "%s: %v", addr, err)
	}
	return errors.Wrapf(ErrOutcomeUnknown, "%s: %v", addr, err)
}

// responseError converts a response with an error status.
func responseError(addr string, data []byte) error {
	var response errorResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return errors.Wrapf(ErrOutcomeUnknown, "%s: invalid response", addr)
	}
	switch response.Kind {
	case errorPartiallyApplied:
		return errors.Wrapf(ErrPartiallyApplied, "%s: %s", addr, response.Reason)
	case errorRefused:
		return errors.Wrapf(ErrRefused, "%s: %s", addr, response.Reason)
	case errorNotApplied:
		return errors.Wrapf(ErrNotApplied, "%s: %s", addr, response.Reason)
	case errorNotFound:
		return errors.Wrapf(ErrNotFound, "%s: %s", addr, response.Reason)
	}
	return errors.Wrapf(ErrOutcomeUnknown, "%s: %s", addr, response.Reason)
}
