package voters

// voteCount counts the votes of a group.
type voteCount struct {
	// total counts all voters, active and byDomain the active ones.
	total, active int
	byDomain      map[string]int
}

func countVotes(members []Member) voteCount {
	votes := voteCount{byDomain: map[string]int{}}
	for _, m := range members {
		if m.Learner {
			continue
		}
		votes.total++
		if m.Active {
			votes.add(m)
		}
	}
	return votes
}

// add counts the vote of an active member.
func (v *voteCount) add(m Member) {
	v.active++
	v.byDomain[m.domain()]++
}

// domain returns the failure domain of a member. A member without one is its own domain.
func (m *Member) domain() string {
	if m.FailureDomain == "" {
		return "host " + m.Name
	}
	return m.FailureDomain
}

// survivesDomainLoss reports whether a quorum remains active after the loss of any one
// failure domain.
func (v *voteCount) survivesDomainLoss() bool {
	for _, votes := range v.byDomain {
		if v.active-votes < v.total/2+1 {
			return false
		}
	}
	return v.active > 0
}

// selectCandidate returns a candidate of the failure domain with the fewest votes. It
// returns nil if there is none, or if there are enough voters and the promotion would make
// the quorum depend on one failure domain.
func selectCandidate(candidates, members []Member, l Limits) *Member {
	votes := countVotes(members)
	var best *Member
	for i := range candidates {
		if best == nil || votes.byDomain[candidates[i].domain()] < votes.byDomain[best.domain()] {
			best = &candidates[i]
		}
	}
	if best == nil || votes.active < l.MinActiveVoters || !votes.survivesDomainLoss() {
		return best
	}
	votes.total++
	votes.add(*best)
	if !votes.survivesDomainLoss() {
		return nil
	}
	return best
}
