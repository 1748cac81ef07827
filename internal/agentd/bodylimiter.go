package agentd

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

// bodyChunk is the number of bytes read at a time from a request body.
const bodyChunk = 16 << 10

// bodyLimiter bounds the memory of buffered request bodies. A body is read completely
// before its request acquires a slot, so that a slow caller does not block a slot.
type bodyLimiter struct {
	// limit bounds one body, total all buffered bodies, in bytes.
	limit, total int64
	reserved     atomic.Int64
}

// reservation is the number of bytes reserved for one request.
type reservation struct {
	bodyLimiter *bodyLimiter
	bytes       int64
}

// grow reserves more bytes and reports whether they were available.
func (r *reservation) grow(bytes int64) bool {
	if r.bodyLimiter.reserved.Add(bytes) > r.bodyLimiter.total {
		r.bodyLimiter.reserved.Add(-bytes)
		return false
	}
	r.bytes += bytes
	return true
}

func (r *reservation) release() {
	r.bodyLimiter.reserved.Add(-r.bytes)
	r.bytes = 0
}

// read returns the body of a request. Unless it returns a reason, the caller must
// call release when it no longer needs the body.
func (b *bodyLimiter) read(r *http.Request) (body []byte, release func(), why reason.Code) {
	if r.ContentLength > b.limit {
		return nil, nil, reason.RequestTooLarge
	}
	resv := &reservation{bodyLimiter: b}
	if !resv.grow(max(r.ContentLength, 0)) {
		return nil, nil, reason.BodiesFull
	}
	body, why = b.collect(r.Body, resv)
	if why != reason.None {
		resv.release()
		return nil, nil, why
	}
	return body, resv.release, reason.None
}

// collect reads a body to its end. It reserves the bytes beyond the content length.
func (b *bodyLimiter) collect(from io.Reader, resv *reservation) ([]byte, reason.Code) {
	if from == nil {
		return nil, reason.None
	}
	var body []byte
	chunk := make([]byte, bodyChunk)
	for {
		n, err := from.Read(chunk)
		body = append(body, chunk[:n]...)
		if int64(len(body)) > b.limit {
			return nil, reason.RequestTooLarge
		}
		if missing := int64(len(body)) - resv.bytes; missing > 0 && !resv.grow(missing) {
			return nil, reason.BodiesFull
		}
		if err != nil {
			return body, bodyEndReason(err)
		}
	}
}

// bodyEndReason maps the error that ended a body to a reason, None for io.EOF.
func bodyEndReason(err error) reason.Code {
	switch {
	case errors.Is(err, io.EOF):
		return reason.None
	case errors.Is(err, io.ErrUnexpectedEOF):
		return reason.RequestInvalid
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reason.DeadlineInQueue
	default:
		return reason.CallerGone
	}
}
