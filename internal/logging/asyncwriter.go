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
	// maxBufferedLines bounds the buffered lines, about 1 MB.
	maxBufferedLines = 4096
	// MaxLinesPerSecond bounds the lines of one message per second. Other messages are not
	// affected.
	MaxLinesPerSecond = 40
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
	// flushTimeout bounds the wait of Close.
	flushTimeout = 500 * time.Millisecond
)

// AsyncWriter writes lines to a writer that may block. Write never waits: a line that does
// not fit the buffer is dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	// limited counts lines above the rate limit of their message.
	limited atomic.Int64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewAsyncWriter starts a goroutine that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxBufferedLines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It copies p.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (w *AsyncWriter) Sync() error { return nil }

// Close flushes the buffered lines for at most flushTimeout.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ticker.C:
			w.reportDropped()
		case <-w.closing:
			w.drain()
			return
		}
	}
}

func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			w.reportDropped()
			return
		}
	}
}

// write writes a line. Errors of the log itself cannot be reported.
func (w *AsyncWriter) write(line []byte) { _, _ = w.out.Write(line) }

// reportDropped logs how many lines were dropped since the last report.
func (w *AsyncWriter) reportDropped() {
	dropped, limited := w.dropped.Swap(0), w.limited.Swap(0)
	if dropped+limited == 0 {
		return
	}
	w.write(fmt.Appendf(nil, `{"level":"warn","ts":%q,"msg":"log lines dropped","buffer_full":%d,"rate_limited":%d}`+"\n",
		time.Now().Format(time.RFC3339Nano), dropped, limited))
}

// NewRateLimited is like New but limits the rate of each message. The caller closes the
// returned writer.
func NewRateLimited(s *settingspb.Log, w io.Writer) (*zap.Logger, *AsyncWriter, error) {
	writer := NewAsyncWriter(w)
	log, err := New(s, writer)
	if err != nil {
		writer.Close()
		return nil, nil, err
	}
	sampled := zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, MaxLinesPerSecond, 0,
			zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
				if decision&zapcore.LogDropped != 0 {
					writer.limited.Add(1)
				}
			}))
	})
	return log.WithOptions(sampled), writer, nil
}
