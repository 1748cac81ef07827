package test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// transferredMessage is the log message of a leader that transferred its leadership.
const transferredMessage = "leadership transferred"

// patchStream submits one patch after the other until it is stopped.
type patchStream struct {
	d      *deployment
	client *operator.Client
	stop   atomic.Bool
	worker conc.WaitGroup
	// version is the last accepted one, maxGap the longest time between two.
	version atomic.Uint64
	maxGap  time.Duration
	next    chan struct{}
}

// waitNext waits for the next accepted patch.
func (s *patchStream) waitNext() { <-s.next }

func (d *deployment) startStream(base uint64, through ...*processtest.Control) *patchStream {
	s := &patchStream{d: d, client: d.Client(operatorAddresses(through)...), next: make(chan struct{}, 1)}
	s.version.Store(base)
	s.worker.Go(s.run)
	return s
}

func (s *patchStream) run() {
	last := time.Now()
	for !s.stop.Load() {
		base := s.version.Load()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		out, err := s.client.Submit(ctx, putPatch(fmt.Sprint("stream-", base+1), base, s.d.lodgement))
		cancel()
		if err != nil || out.GetVerdict() != configpb.Verdict_VERDICT_ACCEPTED {
			continue
		}
		s.maxGap = max(s.maxGap, time.Since(last))
		last = time.Now()
		s.version.Store(out.GetVersion())
		select {
		case s.next <- struct{}{}:
		default:
		}
	}
}

// advance waits for patches submitted after the call.
func (s *patchStream) advance(t *testing.T) {
	t.Helper()
	before := s.version.Load()
	processtest.Eventually(t, "patches are accepted", func() bool { return s.version.Load() >= before+5 })
}

// end stops the stream and returns the last version and the longest gap.
func (s *patchStream) end() (uint64, time.Duration) {
	s.stop.Store(true)
	s.worker.Wait()
	return s.version.Load(), s.maxGap
}

// TestShutdownTransfersLeadership stops the leader repeatedly while patches are
// submitted through the other hosts. Each leader transfers its leadership before it
// exits. Gaps between patches are only logged.
func TestShutdownTransfersLeadership(t *testing.T) {
	is := is.New(t)
	const stops = 6
	var without []string
	// Registered first, so that it is printed after the output of the processes.
	t.Cleanup(func() { t.Logf("leaders stopped without a transfer: %v", without) })
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartControls(3)
	d.lodgement = d.NewService("lodgement")
	version := d.Patch(d.lodgement.PutSection())
	var gaps []time.Duration
	transferred := 0
	for range stops {
		leader := d.Leader()
		s := d.startStream(version, leader.Others()...)
		s.advance(t)
		leader.Terminate()
		leader.WaitCleanExit()
		s.advance(t)
		var gap time.Duration
		version, gap = s.end()
		gaps = append(gaps, gap.Round(time.Millisecond))
		transferred += min(leader.LogCount(transferredMessage), 1)
		if leader.LogCount(transferredMessage) == 0 {
			without = append(without, leader.Name)
		}
		leader.Launch()
		leader.WaitReady()
	}
	slices.Sort(gaps)
	t.Logf("longest gaps between accepted patches: %v", gaps)
	is.Equal(transferred, stops)
}
