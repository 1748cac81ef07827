package logging_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/logging"
)

// Guards against a log reader that has stopped and blocks the process. More is written to the
// pipe than it can hold.
func TestBlockedReaderDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	read, write, err := os.Pipe()
	is.NoErr(err)
	defer read.Close()
	writer := logging.NewAsyncWriter(write)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 20_000 {
		n, err := writer.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	writer.Close() // must not block either
	is.NoErr(write.Close())
}

func TestMessagesAreRateLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, writer, err := logging.NewRateLimited(nil, &out)
	is.NoErr(err)
	for range 1000 {
		log.Info("frequent")
	}
	log.Info("rare")
	writer.Close()
	is.Equal(strings.Count(out.String(), "rare"), 1)
	frequent := strings.Count(out.String(), "frequent")
	is.True(frequent >= logging.MaxLinesPerSecond)
	is.True(frequent <= 2*logging.MaxLinesPerSecond) // the test may span two seconds
	is.True(strings.Contains(out.String(), `"rate_limited":`))
}

// BenchmarkDroppedLine measures a line above the rate limit.
func BenchmarkDroppedLine(b *testing.B) {
	log, writer, err := logging.NewRateLimited(nil, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer writer.Close()
	b.ReportAllocs()
	for b.Loop() {
		if line := log.Check(zap.InfoLevel, "flow"); line != nil {
			line.Write(zap.String("reason", "placed"))
		}
	}
}

func TestDroppedLineDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	log, writer, err := logging.NewRateLimited(nil, io.Discard)
	is.NoErr(err)
	defer writer.Close()
	for range 2 * logging.MaxLinesPerSecond {
		log.Info("flow")
	}
	allocated := testing.AllocsPerRun(20, func() {
		if line := log.Check(zap.InfoLevel, "flow"); line != nil {
			line.Write()
		}
	})
	is.True(allocated < 1) // a line of the next second may allocate
}
