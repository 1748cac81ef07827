package link

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
)

func TestAdmissionRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a := newAdmission(10, 3, 100, time.Second)
	for range 3 {
		reason := a.admit(now)
		is.Equal(reason, refusal(""))
	}
	// Refused peers get successive times at the admitted rate, up to the maximum.
	for i := 1; i <= 12; i++ {
		is.Equal(a.admit(now), refusalRate)
		is.Equal(a.nextRetryAfter(now), min(time.Duration(i)*100*time.Millisecond, time.Second))
	}
	// A peer that returns at its time is admitted.
	for i := 1; i <= 10; i++ {
		reason := a.admit(now.Add(time.Duration(i) * 100 * time.Millisecond))
		is.Equal(reason, refusal(""))
	}
	// The burst does not exceed its limit.
	later := now.Add(time.Hour)
	for range 3 {
		reason := a.admit(later)
		is.Equal(reason, refusal(""))
	}
	is.Equal(a.admit(later), refusalRate)
}

func TestAdmissionCapacity(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a := newAdmission(10, 100, 2, time.Second)
	for range 2 {
		reason := a.admit(now)
		is.Equal(reason, refusal(""))
	}
	is.Equal(a.admit(now), refusalCapacity)
	is.True(a.nextRetryAfter(now) > 0)
	a.release()
	is.Equal(a.admit(now), refusal(""))
}

// A busy server is skipped until its retry time while another one is available.
func TestBusyServersAreSkipped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := &Client{addrs: []string{"a", "b", "c"}, opts: fastOptions().withDefaults()}
	state := &dialState{failures: 1, notBefore: map[string]time.Time{"b": now.Add(time.Minute)}, index: 1}
	is.True(c.retryDelay(state, now) < time.Second)
	is.Equal(c.addrs[state.index], "c")
	// All servers are busy: the one with the earliest retry time is next.
	state.notBefore["a"] = now.Add(3 * time.Minute)
	state.notBefore["c"] = now.Add(2 * time.Minute)
	is.Equal(c.retryDelay(state, now), time.Minute)
	is.Equal(c.addrs[state.index], "b")
}

func TestCallErrors(t *testing.T) {
	is := is.New(t)
	for _, tc := range []struct {
		err  error
		want error
	}{
		{&quic.ApplicationError{Remote: true, ErrorCode: codeBusy}, ErrNotSent},
		{&quic.ApplicationError{Remote: false, ErrorCode: codeBusy}, ErrOutcomeUnknown},
		{&quic.ApplicationError{Remote: true, ErrorCode: codeShutdown}, ErrOutcomeUnknown},
		{&quic.StreamError{Remote: true, ErrorCode: streamRefused}, ErrNotSent},
		{&quic.StreamError{Remote: true, ErrorCode: streamMalformed}, ErrNotSent},
		{&quic.StreamError{Remote: true, ErrorCode: streamFailed}, ErrOutcomeUnknown},
		{&quic.StreamError{Remote: false, ErrorCode: streamRefused}, ErrOutcomeUnknown},
		{&quic.TransportError{Remote: true, ErrorCode: quic.ConnectionRefused}, ErrNotSent},
		{&quic.TransportError{Remote: true, ErrorCode: quic.InternalError}, ErrOutcomeUnknown},
		{&quic.IdleTimeoutError{}, ErrOutcomeUnknown},
		{&quic.StatelessResetError{}, ErrOutcomeUnknown},
		{context.Canceled, ErrOutcomeUnknown},
	} {
		got := wrapSentError(errors.Wrap(tc.err, "read message"))
		is.True(errors.Is(got, tc.want))
		is.True(errors.Is(got, ErrNotSent) != errors.Is(got, ErrOutcomeUnknown))
		is.True(errors.Is(got, tc.err)) // the cause is wrapped
	}
}
