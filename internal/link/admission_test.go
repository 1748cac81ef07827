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
		why, _ := a.admit(now)
		is.Equal(why, refusal(""))
	}
	// Refused peers get times of their own, at the rate, up to the longest.
	for i := 1; i <= 12; i++ {
		why, wait := a.admit(now)
		is.Equal(why, refusalRate)
		is.Equal(wait, min(time.Duration(i)*100*time.Millisecond, time.Second))
	}
	// Who comes back at its time is admitted.
	for i := 1; i <= 10; i++ {
		why, _ := a.admit(now.Add(time.Duration(i) * 100 * time.Millisecond))
		is.Equal(why, refusal(""))
	}
	// The burst does not grow beyond its bound.
	later := now.Add(time.Hour)
	for range 3 {
		why, _ := a.admit(later)
		is.Equal(why, refusal(""))
	}
	why, _ := a.admit(later)
	is.Equal(why, refusalRate)
}

func TestAdmissionCapacity(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a := newAdmission(10, 100, 2, time.Second)
	for range 2 {
		why, _ := a.admit(now)
		is.Equal(why, refusal(""))
	}
	why, wait := a.admit(now)
	is.Equal(why, refusalCapacity)
	is.True(wait > 0)
	a.leave()
	why, _ = a.admit(now)
	is.Equal(why, refusal(""))
}

// A busy server is not asked before its time while another one may be.
func TestBusyServersAreLeftAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := &Client{addrs: []string{"a", "b", "c"}, opts: quick().withDefaults()}
	r := &redial{failures: 1, notBefore: map[string]time.Time{"b": now.Add(time.Minute)}, index: 1}
	is.True(c.wait(r, now) < time.Second)
	is.Equal(c.addrs[r.index], "c")
	// All are busy: the one that may be asked first, when it may be.
	r.notBefore["a"] = now.Add(3 * time.Minute)
	r.notBefore["c"] = now.Add(2 * time.Minute)
	is.Equal(c.wait(r, now), time.Minute)
	is.Equal(c.addrs[r.index], "b")
}

func TestOutcomes(t *testing.T) {
	is := is.New(t)
	for _, tc := range []struct {
		err  error
		want error
	}{
		{&quic.ApplicationError{Remote: true, ErrorCode: codeBusy}, ErrNotSent},
		{&quic.ApplicationError{Remote: false, ErrorCode: codeBusy}, ErrOutcomeUnknown},
		{&quic.ApplicationError{Remote: true, ErrorCode: codeShutdown}, ErrOutcomeUnknown},
		{&quic.StreamError{Remote: true, ErrorCode: streamNotDone}, ErrNotSent},
		{&quic.StreamError{Remote: true, ErrorCode: streamMalformed}, ErrNotSent},
		{&quic.StreamError{Remote: true, ErrorCode: streamFailed}, ErrOutcomeUnknown},
		{&quic.StreamError{Remote: false, ErrorCode: streamNotDone}, ErrOutcomeUnknown},
		{&quic.TransportError{Remote: true, ErrorCode: quic.ConnectionRefused}, ErrNotSent},
		{&quic.TransportError{Remote: true, ErrorCode: quic.InternalError}, ErrOutcomeUnknown},
		{&quic.IdleTimeoutError{}, ErrOutcomeUnknown},
		{&quic.StatelessResetError{}, ErrOutcomeUnknown},
		{context.Canceled, ErrOutcomeUnknown},
	} {
		got := outcomeError(errors.Wrap(tc.err, "read message"))
		is.True(errors.Is(got, tc.want))
		is.True(errors.Is(got, ErrNotSent) != errors.Is(got, ErrOutcomeUnknown))
		is.True(errors.Is(got, tc.err)) // the cause is kept
	}
}

func TestRetryAfterText(t *testing.T) {
	is := is.New(t)
	refused := &quic.ApplicationError{Remote: true, ErrorCode: codeBusy, ErrorMessage: busyText(1500 * time.Millisecond)}
	wait, ok := retryAfter(errors.Wrap(refused, "dial"))
	is.True(ok)
	is.Equal(wait, 1500*time.Millisecond)
	for _, text := range []string{"", "retry-after-ms=", "retry-after-ms=-5", "retry-after-ms=99999999999999", "later"} {
		refused.ErrorMessage = text
		_, ok := retryAfter(refused)
		is.True(!ok)
	}
}
