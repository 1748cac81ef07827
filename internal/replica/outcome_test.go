package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// outcomeLog records the outcomes reported to proposers, by command.
type outcomeLog struct {
	mu       sync.Mutex
	accepted []string
	refused  []string
	unknown  int
}

func (l *outcomeLog) record(command string, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.accepted = append(l.accepted, command)
	case errors.Is(err, ErrUnknown):
		l.unknown++
	case errors.Is(err, ErrNoLeader), errors.Is(err, ErrBusy), errors.Is(err, ErrClosed):
		l.refused = append(l.refused, command)
	default:
		return err
	}
	return nil
}

// propose proposes unique commands at the host until target of them are accepted.
func (l *outcomeLog) propose(ctx context.Context, c *cluster, h *host, name string, target int) error {
	accepted := 0
	for n := 0; accepted < target && ctx.Err() == nil; n++ {
		c.mu.Lock()
		r := h.replica
		c.mu.Unlock()
		if r == nil {
			backoff(ctx, nil)
			continue
		}
		command := fmt.Sprintf("%s-%d", name, n)
		_, changed := r.Watch()
		_, err := r.Propose(ctx, []byte(command))
		if ctx.Err() != nil {
			return nil
		}
		if recordErr := l.record(command, err); recordErr != nil {
			return recordErr
		}
		if err == nil {
			accepted++
			continue
		}
		backoff(ctx, changed)
	}
	return nil
}

// injectFault isolates, kills or freezes a host until the group has accepted a command.
func (c *cluster) injectFault(r *rand.Rand, round int) {
	h := c.hosts[r.IntN(len(c.hosts))]
	leader := c.leader()
	if r.IntN(2) == 0 {
		h = leader
	}
	marker := fmt.Sprintf("round-%d", round)
	switch r.IntN(3) {
	case 0:
		c.isolate(h, true)
		c.proposeUnderLoss(c.leader(h), marker)
		c.isolate(h, false)
	case 1:
		c.kill(h)
		c.proposeUnderLoss(c.leader(h), marker)
		c.start(h)
	case 2:
		unblock := h.disk.blockSync()
		c.proposeUnderLoss(c.leader(h), marker)
		unblock()
	}
}

// While hosts are isolated, killed and frozen in turn, accepted commands must reach
// every journal exactly once and in the same order, refused commands none.
func TestOutcomesAreAccurate(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3, Options{SnapshotEntries: 30, MaxProposals: 8})
			c.leader()
			c.setLoss(0.02)
			l := &outcomeLog{}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			var proposers conc.WaitGroup
			failures := make(chan error, 12)
			for i := range cap(failures) {
				h := c.hosts[i%len(c.hosts)]
				proposers.Go(func() { failures <- l.propose(ctx, c, h, fmt.Sprintf("p%d", i), 60) })
			}
			r := rand.New(rand.NewPCG(seed, 1))
			for round := range 6 {
				c.injectFault(r, round)
			}
			proposers.Wait()
			for range cap(failures) {
				is.NoErr(<-failures)
			}
			is.NoErr(ctx.Err()) // otherwise a proposer did not reach its target
			c.setLoss(0)
			c.propose(c.leader(), "last")
			c.converge("last")
			l.check(is, c.hosts[0].journal)
			t.Logf("%d accepted, %d refused, %d unknown", len(l.accepted), len(l.refused), l.unknown)
		})
	}
}

func (l *outcomeLog) check(is *is.I, j *journal) {
	is.Helper()
	for _, command := range l.accepted {
		is.Equal(j.count(command), 1)
	}
	for _, command := range l.refused {
		is.Equal(j.count(command), 0)
	}
}
