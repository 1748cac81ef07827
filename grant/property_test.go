package grant_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

// exclusivityChecker checks that a key is granted to a second attempt only after a release
// or once its record may have expired.
type exclusivityChecker struct {
	holder map[string]string
	since  map[string]uint64
}

func (c *exclusivityChecker) granted(t *rapid.T, key, attempt string, now uint64) {
	holder, held := c.holder[key]
	expired := now-c.since[key] >= uint64(grant.AnsweredRetention.Milliseconds())
	if held && holder != attempt && !expired {
		t.Fatalf("key %s granted to %s and to %s", key, holder, attempt)
	}
	c.holder[key] = attempt
	c.since[key] = now
}

func drawCommand(t *rapid.T) *grantpb.Command {
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	attempt := fmt.Sprint(rapid.IntRange(1, 5).Draw(t, "attempt"))
	switch rapid.IntRange(0, 7).Draw(t, "command") {
	case 0:
		return complete(key, attempt, &grantpb.Answer{Status: rapid.Uint32Range(200, 202).Draw(t, "status")})
	case 1:
		return release(key, attempt)
	case 2:
		return advance(rapid.Uint64Range(0, 200_000).Draw(t, "elapsed"))
	}
	return acquire(key, attempt, rapid.SampledFrom([]string{"d", "d", "e"}).Draw(t, "digest"))
}

func TestKeyIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, replica := grant.New(), grant.New()
		checker := &exclusivityChecker{holder: map[string]string{}, since: map[string]uint64{}}
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := drawCommand(t)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				replica = restored(t, replica)
			}
			got, other := apply(t, m, c), apply(t, replica, c)
			if got.String() != other.String() {
				t.Fatalf("the restored replica returned %v, want %v", other, got)
			}
			if got.GetDecision() == grantpb.Decision_DECISION_GRANTED {
				checker.granted(t, c.GetAcquire().GetKey(), string(c.GetAcquire().GetAttempt()), m.Now())
			}
			if c.GetRelease() != nil && got.GetTaken() {
				delete(checker.holder, c.GetRelease().GetKey())
			}
		}
		if string(encoded(t, m)) != string(encoded(t, replica)) {
			t.Fatal("snapshot and replay differ")
		}
	})
}

func encoded(t *rapid.T, m *grant.Machine) []byte {
	data, err := m.Snapshot()
	must(t, err)
	return data
}

func restored(t *rapid.T, m *grant.Machine) *grant.Machine {
	out := grant.New()
	must(t, out.Restore(encoded(t, m)))
	return out
}
