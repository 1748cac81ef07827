package agentd

import (
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/retry"
)

// relayBuffer is the buffer size for streaming a response.
const relayBuffer = 16 << 10

// writeResponseHeader forwards the header of a response.
func writeResponseHeader(w http.ResponseWriter, c *call, response *http.Response, self string) {
	h := w.Header()
	for name, values := range forwardedHeaders(response.Header) {
		h[name] = values
	}
	h.Set(headerOutcome, retry.Answered.String())
	h.Set(headerTarget, self)
	if id := c.request.Header.Get(headerID); id != "" {
		h.Set(headerID, id)
	}
	w.WriteHeader(response.StatusCode)
}

// readPrefix reads up to limit bytes of a response body. complete is set if that is
// the entire body. It returns errTruncated for a truncated body.
func readPrefix(response *http.Response, limit int64) (prefix []byte, complete bool, err error) {
	prefix, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, false, errors.Wrap(errTruncated, err.Error())
	}
	return prefix, int64(len(prefix)) <= limit, nil
}

// fitsLimit reports whether the content length is known and within the limit.
func fitsLimit(response *http.Response, limit int64) bool {
	return response.ContentLength >= 0 && response.ContentLength <= limit
}

// stream forwards the rest of a response as it arrives. It returns errTruncated for a
// truncated response, or the error of writing to the caller.
func stream(w http.ResponseWriter, response *http.Response) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
			if ferr := control.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(errTruncated, err.Error())
		}
	}
}

// copyTrailers copies the trailers of a response that was read to its end.
func copyTrailers(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// isEventStream reports whether the response is an endless stream.
func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType)
}
