package voters_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/voters"
)

func inDomain(domain string, m voters.Member) voters.Member {
	m.FailureDomain = domain
	return m
}

func promotionOf(name string) voters.Change {
	return voters.Change{Kind: voters.Promote, Replica: voters.Replica{Name: name, Incarnation: 1}, Reason: voters.ReasonCaughtUp}
}

func TestPromotionAcrossFailureDomains(t *testing.T) {
	for name, tt := range map[string]struct {
		members []voters.Member
		want    voters.Change
	}{
		"domain with the fewest votes": {[]voters.Member{
			inDomain("x", voter("a", 1)), inDomain("x", learner("b", 1)), inDomain("y", learner("c", 1)),
		}, promotionOf("c")},
		"quorum would depend on one domain": {[]voters.Member{
			inDomain("x", voter("a", 1)), inDomain("y", voter("b", 1)), inDomain("z", voter("c", 1)), inDomain("x", learner("d", 1)),
		}, voters.Change{Reason: voters.ReasonDomainImbalance}},
		"too few voters to consider domains": {[]voters.Member{
			inDomain("x", voter("a", 1)), inDomain("y", voter("b", 1)), inDomain("x", learner("d", 1)),
		}, promotionOf("d")},
		"quorum already depends on one domain": {[]voters.Member{
			inDomain("x", voter("a", 1)), inDomain("x", voter("b", 1)), inDomain("y", voter("c", 1)), inDomain("y", learner("d", 1)),
		}, promotionOf("d")},
		"inactive voter in the same domain": {[]voters.Member{
			inactive(inDomain("x", voter("a", 1))), inDomain("y", voter("b", 1)), inDomain("z", voter("c", 1)), inDomain("x", learner("d", 1)),
		}, promotionOf("d")},
		"unknown domains are distinct": {[]voters.Member{
			voter("a", 1), voter("b", 1), voter("c", 1), learner("d", 1),
		}, promotionOf("d")},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(voters.NextChange(tt.members, voters.Limits{VoterLimit: 7, MinActiveVoters: 3}), tt.want)
		})
	}
}

// Promotions over random failure domains must give enough voters, and no domain may take
// the quorum if there are three or more domains and none has half of the hosts.
func TestPromotionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := voters.Limits{VoterLimit: 7, MinActiveVoters: rapid.SampledFrom([]int{3, 5}).Draw(t, "minimum")}
		domains := rapid.SliceOfN(rapid.IntRange(1, 4), 1, 6).Draw(t, "hosts in each domain")
		var members []voters.Member
		maxHosts, totalHosts := 0, 0
		for d, hosts := range domains {
			maxHosts, totalHosts = max(maxHosts, hosts), totalHosts+hosts
			for h := range hosts {
				members = append(members, inDomain(fmt.Sprint("domain ", d), learner(fmt.Sprintf("%d-%d", d, h), 1)))
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
		if count < min(totalHosts, limits.MinActiveVoters) || count > limits.VoterLimit {
			t.Fatalf("%d voters of %d hosts", count, totalHosts)
		}
		if len(domains) < 3 || 2*maxHosts >= totalHosts {
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
