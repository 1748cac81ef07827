package agentd

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

// bodyChunk is the number of bytes read and reserved at a time for a body of
// unknown length.
const bodyChunk = 16 << 10

// bodies bounds the request bodies that the agent holds. A body is read whole
// before its request asks for a slot, so that a slow caller takes no slot.
type bodies struct {
	// limit bounds one body, total bounds all of them, in bytes.
	limit, total int64
	held         atomic.Int64
}

// reservation is the share of one request.
type reservation struct {
	bodies *bodies
	bytes  int64
}

// grow reserves more bytes and reports whether there was room.
func (r *reservation) grow(bytes int64) bool {
	if r.bodies.held.Add(bytes) > r.bodies.total {
		r.bodies.held.Add(-bytes)
		return false
	}
	r.bytes += bytes
	return true
}

func (r *reservation) release() {
	r.bodies.held.Add(-r.bytes)
	r.bytes = 0
}

// read returns the body of a request. The caller calls release when it is done
// with the body, unless a reason is returned.
func (b *bodies) read(r *http.Request) (body []byte, release func(), why reason.Code) {
	if r.ContentLength > b.limit {
		return nil, nil, reason.RequestTooLarge
	}
	held := &reservation{bodies: b}
	if !held.grow(max(r.ContentLength, 0)) {
		return nil, nil, reason.BodiesFull
	}
	body, why = b.collect(r.Body, held)
	if why != reason.None {
		held.release()
		return nil, nil, why
	}
	return body, held.release, reason.None
}

// collect reads a body to its end. It reserves what the length did not tell.
func (b *bodies) collect(from io.Reader, held *reservation) ([]byte, reason.Code) {
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
		if missing := int64(len(body)) - held.bytes; missing > 0 && !held.grow(missing) {
			return nil, reason.BodiesFull
		}
		if err != nil {
			return body, endOfBody(err)
		}
	}
}

// endOfBody tells why a body ended, None for its proper end.
func endOfBody(err error) reason.Code {
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
