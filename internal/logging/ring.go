package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

const (
	// ringLines bounds the lines that wait for the reader of the log: some 1 MB.
	ringLines = 4096
	// MaxLinesPerSecond bounds the lines of one message a second. The first of each
	// second are kept, so a rare message is never lost to a frequent one.
	MaxLinesPerSecond = 40
	// reportPeriod is the time between two lines that tell how many were dropped.
	reportPeriod = time.Second
	// flushTimeout bounds how long a process that ends waits for the reader.
	flushTimeout = 500 * time.Millisecond
)

// AsyncWriter passes lines on to a writer that may be slow or stopped. Who logs never waits:
// a line that finds no room is dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	// limited counts lines above the bound of their message.
	limited atomic.Int64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewRing starts passing lines on to out.
func NewRing(out io.Writer) *AsyncWriter {
	r := &AsyncWriter{lines: make(chan []byte, ringLines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go r.run()
	return r
}

// Write implements io.Writer. It keeps a copy.
func (r *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), p...):
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. Lines are on their way.
func (r *AsyncWriter) Sync() error { return nil }

// Close waits for the lines under way, but not for a reader that has stopped.
func (r *AsyncWriter) Close() {
	r.once.Do(func() { close(r.closing) })
	select {
	case <-r.done:
	case <-time.After(flushTimeout):
	}
}

func (r *AsyncWriter) run() {
	defer close(r.done)
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		case <-ticker.C:
			r.report()
		case <-r.closing:
			r.drain()
			return
		}
	}
}

func (r *AsyncWriter) drain() {
	for {
		select {
		case line := <-r.lines:
			r.write(line)
		default:
			r.report()
			return
		}
	}
}

// write passes a line on. Where the log itself cannot be written there is no place
// left to say so.
func (r *AsyncWriter) write(line []byte) { _, _ = r.out.Write(line) }

// report tells how many lines were dropped since the last time.
func (r *AsyncWriter) report() {
	dropped, limited := r.dropped.Swap(0), r.limited.Swap(0)
	if dropped+limited == 0 {
		return
	}
	r.write(fmt.Appendf(nil, `{"level":"warn","ts":%q,"msg":"log lines dropped","no_room":%d,"over_bound":%d}`+"\n",
		time.Now().Format(time.RFC3339Nano), dropped, limited))
}

// NewRateLimited is New with a bound on the lines of each message, over a Ring that the
// caller closes.
func NewRateLimited(s *settingspb.Log, w io.Writer) (*zap.Logger, *AsyncWriter, error) {
	ring := NewRing(w)
	log, err := New(s, ring)
	if err != nil {
		ring.Close()
		return nil, nil, err
	}
	bounded := zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, MaxLinesPerSecond, 0,
			zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
				if decision&zapcore.LogDropped != 0 {
					ring.limited.Add(1)
				}
			}))
	})
	return log.WithOptions(bounded), ring, nil
}
