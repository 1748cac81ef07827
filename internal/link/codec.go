package link

import (
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	// maxPrefix is the longest length prefix: five bytes of varint hold more
	// than any size bound.
	maxPrefix = 5
	// firstChunk is how much memory a message gets before its bytes arrive. A
	// prefix alone must not make the reader allocate the size it claims.
	firstChunk = 4 << 10

	varintMore = 0x80
)

// writeMessage writes a message with its length in front, in one write.
func writeMessage(w io.Writer, m proto.Message, limit int) error {
	size := proto.Size(m)
	if size > limit {
		return errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", size, limit)
	}
	buf := make([]byte, 0, size+maxPrefix)
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

// readMessage reads one message of at most limit bytes. It returns io.EOF if
// the stream ends before the first byte of a message.
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
	var buf [maxPrefix]byte
	for n := 0; n < maxPrefix; n++ {
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
		if buf[n]&varintMore != 0 {
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

// readBody reads size bytes. Memory grows with what has arrived.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, firstChunk))
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
