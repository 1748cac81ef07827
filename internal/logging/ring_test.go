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

// Who logs does not wait for a reader that has stopped: here a pipe that nobody reads
// takes far less than is written.
func TestStoppedReaderHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	read, write, err := os.Pipe()
	is.NoErr(err)
	defer read.Close()
	ring := logging.NewRing(write)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 20_000 {
		n, err := ring.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	ring.Close() // nor does the end of the process
	is.NoErr(write.Close())
}

func TestLinesOfAMessageAreBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, ring, err := logging.NewRateLimited(nil, &out)
	is.NoErr(err)
	for range 1000 {
		log.Info("frequent")
	}
	log.Info("rare")
	ring.Close()
	is.Equal(strings.Count(out.String(), "rare"), 1)
	frequent := strings.Count(out.String(), "frequent")
	is.True(frequent >= logging.MaxLinesPerSecond)
	is.True(frequent <= 2*logging.MaxLinesPerSecond) // a second may have ended meanwhile
	is.True(strings.Contains(out.String(), `"over_bound":`))
}

// BenchmarkDroppedLine is what a line over its bound costs on the path of a packet.
func BenchmarkDroppedLine(b *testing.B) {
	log, ring, err := logging.NewRateLimited(nil, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer ring.Close()
	b.ReportAllocs()
	for b.Loop() {
		if line := log.Check(zap.InfoLevel, "flow"); line != nil {
			line.Write(zap.String("reason", "placed"))
		}
	}
}

func TestDroppedLineAllocatesNothing(t *testing.T) {
	is := is.New(t)
	log, ring, err := logging.NewRateLimited(nil, io.Discard)
	is.NoErr(err)
	defer ring.Close()
	for range 2 * logging.MaxLinesPerSecond {
		log.Info("flow")
	}
	allocated := testing.AllocsPerRun(20, func() {
		if line := log.Check(zap.InfoLevel, "flow"); line != nil {
			line.Write()
		}
	})
	is.True(allocated < 1) // but for lines of the next second
}
