package link

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// SubscriptionHeartbeatInterval is the longest time that a control host leaves a
// subscription without a message.
const SubscriptionHeartbeatInterval = 5 * time.Second

// ServerStream is the control host's end of a subscription.
type ServerStream struct {
	stream      *quic.Stream
	sendTimeout time.Duration
	limit       int
	readLimit   int

	// mu orders writers.
	mu sync.Mutex
}

// Send sends an update. It may be called from several goroutines. It fails
// when the subscriber does not read for the send timeout; the stream cannot
// be used any more then.
func (s *ServerStream) Send(u *controlpb.SubscribeUpdate) error {
	return s.write(&controlpb.Response{Body: &controlpb.Response_Update{Update: u}})
}

func (s *ServerStream) write(res *controlpb.Response) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.stream.SetWriteDeadline(time.Now().Add(s.sendTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if err := writeMessage(s.stream, res, s.limit); err != nil {
		// Part of the message may have left; nothing can follow it.
		s.stream.CancelWrite(streamFailed)
		return err
	}
	return nil
}

// Receive returns the next heartbeat of the subscriber. It blocks until one
// arrives or the subscription ends.
func (s *ServerStream) Receive() (*controlpb.Heartbeat, error) {
	req := new(controlpb.Request)
	if err := readMessage(s.stream, req, s.readLimit); err != nil {
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

// ClientStream is the subscriber's end of a subscription.
type ClientStream struct {
	stream *quic.Stream
	limit  int
	stop   func() bool
	cancel context.CancelFunc

	// mu orders writers.
	mu sync.Mutex
}

// Receive returns the next update. It blocks until one arrives or the
// subscription ends; a fault of the control host is a *FaultError.
func (s *ClientStream) Receive() (*controlpb.SubscribeUpdate, error) {
	res := new(controlpb.Response)
	if err := readMessage(s.stream, res, s.limit); err != nil {
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

// SetReceiveDeadline bounds the wait of Receive; the zero time removes the
// bound.
func (s *ClientStream) SetReceiveDeadline(t time.Time) error {
	return s.stream.SetReadDeadline(t)
}

// Send tells the control host the version that the subscriber acts on. It may
// be called from several goroutines.
func (s *ClientStream) Send(h *controlpb.Heartbeat) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := &controlpb.Request{Body: &controlpb.Request_Heartbeat{Heartbeat: h}}
	if err := s.stream.SetWriteDeadline(time.Now().Add(DefaultSendTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	return writeMessage(s.stream, req, s.limit)
}

// Close ends the subscription. Receive and Send fail from then on.
func (s *ClientStream) Close() {
	s.stop()
	s.cancel()
	abort(s.stream, streamCancelled)
}
