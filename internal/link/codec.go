package link

import (
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	// maxPrefixLength is the longest length prefix in bytes.
	maxPrefixLength = 5
	// initialBufferSize limits the memory allocated before the bytes of a message arrive, so
	// that a length prefix alone can't exhaust memory.
	initialBufferSize = 4 << 10

	varintContinuation = 0x80
)

// writeMessage writes a message with its length prefix in a single write.
func writeMessage(w io.Writer, m proto.Message, limit int) error {
	size := proto.Size(m)
	if size > limit {
		return errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", size, limit)
	}
	buf := make([]byte, 0, size+maxPrefixLength)
	buf = protowire.AppendVarint(buf, uint64(size))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if _, err := w.Write(buf); err != nil {
		return errors.Wrap(err, "write message")
	}
	return nil
}

// readMessage reads one message of at most limit bytes. It returns io.EOF if the stream ends
// before a message.
func readMessage(r io.Reader, m proto.Message, limit int) error {
	size, err := readPrefix(r)
	if err != nil {
		return err
	}
	if size > uint64(limit) {
		return errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", size, limit)
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func readPrefix(r io.Reader) (uint64, error) {
	var buf [maxPrefixLength]byte
	for n := 0; n < maxPrefixLength; n++ {
		_, err := io.ReadFull(r, buf[n:n+1])
		if err == io.EOF && n > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return 0, io.EOF
		}
		if err != nil {
			return 0, errors.Wrap(err, "read message length")
		}
		if buf[n]&varintContinuation != 0 {
			continue
		}
		size, used := protowire.ConsumeVarint(buf[:n+1])
		if used < 0 {
			return 0, errors.Wrap(ErrMalformed, "message length")
		}
		return size, nil
	}
	return 0, errors.Wrap(ErrMalformed, "message length is too long")
}

// readBody reads size bytes. The buffer grows with the data that has arrived.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, initialBufferSize))
	for len(body) < size {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(size, 2*cap(body)))
			copy(grown, body)
			body = grown
		}
		n, err := io.ReadFull(r, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, errors.Wrap(err, "read message")
		}
	}
	return body, nil
}
