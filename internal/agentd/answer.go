package agentd

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"eelgrasswharf.example/eelgrasswharf/reason"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

// jitterPart is the share, one in so many, by which the time to come back is
// lengthened at random, so that refused callers do not come back together.
const jitterPart = 2

// refusal is an answer made by the system in place of the backend server.
type refusal struct {
	outcome  retry.Outcome
	reason   reason.Code
	comeBack time.Duration
	// unasked is set when a request has an idempotency key and the control
	// hosts did not tell whether an earlier attempt ran. The caller may send
	// it again with its key.
	unasked bool
}

// beforeAsking is the refusal of a request before the control hosts were asked
// about its key: without one it was not run, with one that is not known. A body
// over the limit is refused by every agent, so no earlier attempt ran either.
func beforeAsking(why reason.Code, comeBack time.Duration, key string) refusal {
	if key == "" || why == reason.RequestTooLarge {
		return refusal{outcome: retry.NotRun, reason: why, comeBack: comeBack}
	}
	return refusal{outcome: retry.Unknown, reason: why, comeBack: comeBack, unasked: true}
}

// status returns the HTTP status of a refusal.
func (f refusal) status() int {
	switch f.reason {
	case reason.RequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case reason.RequestInvalid, reason.KeyInvalid:
		return http.StatusBadRequest
	case reason.KeyMismatch:
		return http.StatusConflict
	case reason.Deadline:
		return http.StatusGatewayTimeout
	}
	if f.outcome == retry.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// mayComeBack reports whether the same request can fare better later.
func (f refusal) mayComeBack() bool {
	switch f.reason {
	case reason.RequestTooLarge, reason.RequestInvalid, reason.KeyInvalid, reason.KeyMismatch:
		return false
	case reason.Held:
		return true
	}
	return f.outcome == retry.NotRun || f.unasked
}

// write sends the refusal to the caller. jitter is between 0 and 1.
func (f refusal) write(w http.ResponseWriter, self string, jitter float64) {
	h := w.Header()
	h.Set(headerOutcome, f.outcome.String())
	h.Set(headerReason, f.reason.String())
	h.Set(headerTarget, self)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	if f.mayComeBack() {
		wait := f.comeBack + time.Duration(jitter*float64(f.comeBack)/jitterPart)
		h.Set(headerRetryAfter, strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
		h.Set(headerRetryAfterMS, strconv.FormatInt(max(wait.Milliseconds(), 1), 10))
	}
	w.WriteHeader(f.status())
	_, _ = w.Write([]byte(f.reason.Info().Text + "\n"))
}

// random is a source of jitter for this process.
func random() float64 {
	return rand.Float64()
}
