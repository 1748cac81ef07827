package link

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// SubscriptionHeartbeatInterval is the longest time between two messages that a control host
// sends on a subscription.
const SubscriptionHeartbeatInterval = 5 * time.Second

// ServerStream is the control host's side of a subscription.
type ServerStream struct {
	stream       *quic.Stream
	sendTimeout  time.Duration
	sendLimit    int
	receiveLimit int

	// mu serializes writers.
	mu sync.Mutex
}

// Send sends an update. It is safe for concurrent use. It fails if the subscriber does not
// read within the send timeout; the stream is unusable afterwards.
func (s *ServerStream) Send(u *controlpb.SubscribeUpdate) error {
	return s.write(&controlpb.Response{Body: &controlpb.Response_Update{Update: u}})
}

func (s *ServerStream) write(res *controlpb.Response) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.stream.SetWriteDeadline(time.Now().Add(s.sendTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if err := writeMessage(s.stream, res, s.sendLimit); err != nil {
		// The message may have been sent in part, so no other can follow.
		s.stream.CancelWrite(streamFailed)
		return err
	}
	return nil
}

// Receive returns the subscriber's next heartbeat. It blocks until one arrives or the
// subscription ends.
func (s *ServerStream) Receive() (*controlpb.Heartbeat, error) {
	req := new(controlpb.Request)
	if err := readMessage(s.stream, req, s.receiveLimit); err != nil {
		return nil, err
	}
	if req.GetHeartbeat() == nil {
		return nil, errors.Wrap(ErrMalformed, "expected a heartbeat")
	}
	return req.GetHeartbeat(), nil
}

func (s *ServerStream) finish(err error) {
	var fault *FaultError
	if errors.As(err, &fault) {
		_ = s.write(&controlpb.Response{Body: &controlpb.Response_Fault{Fault: &controlpb.Fault{
			Kind:         fault.Kind,
			Text:         fault.Text,
			RetryAfterMs: uint32(fault.RetryAfter.Milliseconds()),
		}}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.stream.Close()
	s.stream.CancelRead(streamDone)
}

// ClientStream is the subscriber's side of a subscription.
type ClientStream struct {
	stream       *quic.Stream
	messageLimit int
	stop         func() bool
	cancel       context.CancelFunc

	// mu serializes writers.
	mu sync.Mutex
}

// Receive returns the next update. It blocks until one arrives or the subscription ends. A
// fault of the control host is a *FaultError.
func (s *ClientStream) Receive() (*controlpb.SubscribeUpdate, error) {
	res := new(controlpb.Response)
	if err := readMessage(s.stream, res, s.messageLimit); err != nil {
		return nil, err
	}
	if err := ResponseError(res); err != nil {
		return nil, err
	}
	if res.GetUpdate() == nil {
		return nil, errors.Wrap(ErrMalformed, "expected an update")
	}
	return res.GetUpdate(), nil
}

// SetReceiveDeadline sets the deadline of Receive; the zero time removes it.
func (s *ClientStream) SetReceiveDeadline(t time.Time) error {
	return s.stream.SetReadDeadline(t)
}

// Send reports the subscriber's active version to the control host. It is safe for
// concurrent use.
func (s *ClientStream) Send(h *controlpb.Heartbeat) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := &controlpb.Request{Body: &controlpb.Request_Heartbeat{Heartbeat: h}}
	if err := s.stream.SetWriteDeadline(time.Now().Add(DefaultSendTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	return writeMessage(s.stream, req, s.messageLimit)
}

// Close ends the subscription. Receive and Send fail afterwards.
func (s *ClientStream) Close() {
	s.stop()
	s.cancel()
	abort(s.stream, streamCancelled)
}
