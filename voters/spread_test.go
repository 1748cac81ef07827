package voters_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/voters"
)

func in(domain string, m voters.Member) voters.Member {
	m.FailureDomain = domain
	return m
}

func promoted(name string) voters.Change {
	return voters.Change{Kind: voters.Promote, Replica: voters.Replica{Name: name, Incarnation: 1}, Reason: voters.ReasonCaughtUp}
}

func TestVotesAreSpread(t *testing.T) {
	for name, tt := range map[string]struct {
		members []voters.Member
		want    voters.Change
	}{
		"the domain with the fewest votes first": {[]voters.Member{
			in("x", voter("a", 1)), in("x", learner("b", 1)), in("y", learner("c", 1)),
		}, promoted("c")},
		"enough voters, and one more would let a domain take the quorum": {[]voters.Member{
			in("x", voter("a", 1)), in("y", voter("b", 1)), in("z", voter("c", 1)), in("x", learner("d", 1)),
		}, voters.Change{Reason: voters.ReasonDomainImbalance}},
		"too few voters: losses of hosts come first": {[]voters.Member{
			in("x", voter("a", 1)), in("y", voter("b", 1)), in("x", learner("d", 1)),
		}, promoted("d")},
		"a domain takes the quorum already": {[]voters.Member{
			in("x", voter("a", 1)), in("x", voter("b", 1)), in("y", voter("c", 1)), in("y", learner("d", 1)),
		}, promoted("d")},
		"the host that it replaces is silent": {[]voters.Member{
			silent(in("x", voter("a", 1))), in("y", voter("b", 1)), in("z", voter("c", 1)), in("x", learner("d", 1)),
		}, promoted("d")},
		"domains that are not told are domains of their own": {[]voters.Member{
			voter("a", 1), voter("b", 1), voter("c", 1), learner("d", 1),
		}, promoted("d")},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(voters.NextChange(tt.members, voters.Limits{VoterLimit: 7, MinActiveVoters: 3}), tt.want)
		})
	}
}

// TestSpreadProperties gives votes to hosts in any number of failure domains until there is
// nothing to change: there are enough voters wherever there are enough hosts, and where hosts
// stand in three domains or more, none of which has half of them, no domain takes the
// quorum with it.
func TestSpreadProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := voters.Limits{VoterLimit: 7, MinActiveVoters: rapid.SampledFrom([]int{3, 5}).Draw(t, "least")}
		domains := rapid.SliceOfN(rapid.IntRange(1, 4), 1, 6).Draw(t, "hosts in each domain")
		var members []voters.Member
		most, all := 0, 0
		for d, hosts := range domains {
			most, all = max(most, hosts), all+hosts
			for h := range hosts {
				members = append(members, in(fmt.Sprint("domain ", d), learner(fmt.Sprintf("%d-%d", d, h), 1)))
			}
		}
		members = rapid.Permutation(members).Draw(t, "order")
		for range members {
			change := voters.NextChange(members, limits)
			if change.Kind != voters.Promote {
				break
			}
			for i := range members {
				if members[i].Replica == change.Replica {
					members[i].Learner = false
				}
			}
		}
		count := voters.CountVoters(members)
		if count < min(all, limits.MinActiveVoters) || count > limits.VoterLimit {
			t.Fatalf("%d voters of %d hosts", count, all)
		}
		if len(domains) < 3 || 2*most >= all {
			return
		}
		votes := map[string]int{}
		for _, m := range members {
			if !m.Learner {
				votes[m.FailureDomain]++
			}
		}
		for domain, n := range votes {
			if count-n < count/2+1 {
				t.Fatalf("%s has %d of %d votes", domain, n, count)
			}
		}
	})
}
