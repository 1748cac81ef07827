package agentd

import (
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/retry"
)

// relayBuffer is the size of the pieces in which an answer is passed on.
const relayBuffer = 16 << 10

// answerHead writes the header of a backend server's answer.
func answerHead(w http.ResponseWriter, c *call, response *http.Response, self string) {
	h := w.Header()
	for name, values := range passedHeaders(response.Header) {
		h[name] = values
	}
	h.Set(headerOutcome, retry.Answered.String())
	h.Set(headerTarget, self)
	if id := c.request.Header.Get(headerID); id != "" {
		h.Set(headerID, id)
	}
	w.WriteHeader(response.StatusCode)
}

// readHead reads an answer's body up to limit bytes. whole is set when that
// was all of it; err is set when the body ended early.
func readHead(response *http.Response, limit int64) (head []byte, whole bool, err error) {
	head, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, false, errors.Wrap(errCut, err.Error())
	}
	return head, int64(len(head)) <= limit, nil
}

// short reports whether an answer's body fits the limit by its own word.
func short(response *http.Response, limit int64) bool {
	return response.ContentLength >= 0 && response.ContentLength <= limit
}

// stream passes the rest of an answer on as it comes. It returns errCut when
// the backend server broke off, or the error of writing to the caller.
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
			return errors.Wrap(errCut, err.Error())
		}
	}
}

// trailers copies the trailers of an answer that was read to its end.
func trailers(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// isEventStream reports whether the answer streams without an end.
func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
}
