package agentd

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

// bodies bounds the request bodies that the agent holds. A body is read whole
// before its request asks for a slot, so that a slow caller takes no slot.
type bodies struct {
	// limit bounds one body, total bounds all of them.
	limit, total int64
	held         atomic.Int64
}

// read returns the body of a request. The caller calls release when it is done
// with the body, unless a reason is returned.
func (b *bodies) read(r *http.Request) (body []byte, release func(), why reason.Code) {
	if r.ContentLength > b.limit {
		return nil, nil, reason.RequestTooLarge
	}
	reserve := b.limit
	if r.ContentLength >= 0 {
		reserve = r.ContentLength
	}
	if b.held.Add(reserve) > b.total {
		b.held.Add(-reserve)
		return nil, nil, reason.BodiesFull
	}
	release = func() { b.held.Add(-reserve) }
	body, why = readBounded(r.Body, b.limit)
	if why != reason.None {
		release()
		return nil, nil, why
	}
	return body, release, reason.None
}

func readBounded(r io.Reader, limit int64) ([]byte, reason.Code) {
	if r == nil {
		return nil, reason.None
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if int64(len(body)) > limit {
		return nil, reason.RequestTooLarge
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, reason.RequestInvalid
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, reason.DeadlineInQueue
	}
	if err != nil {
		return nil, reason.CallerGone
	}
	return body, reason.None
}
