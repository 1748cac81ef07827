package voters

// tally counts the votes of a group.
type tally struct {
	// all are those of all voters, answering of those that answer, which are counted by
	// failure domain as well.
	all, answering int
	in             map[string]int
}

func tallyOf(members []Member) tally {
	t := tally{in: map[string]int{}}
	for _, m := range members {
		if m.Learner {
			continue
		}
		t.all++
		if m.Active {
			t.add(m)
		}
	}
	return t
}

// add counts the vote of a member that answers.
func (t *tally) add(m Member) {
	t.answering++
	t.in[m.domain()]++
}

// domain is where a member stands. One that does not tell counts as alone in its own.
func (m *Member) domain() string {
	if m.FailureDomain == "" {
		return "host " + m.Name
	}
	return m.FailureDomain
}

// bearsLoss reports whether a quorum answers without any one failure domain.
func (t *tally) bearsLoss() bool {
	for _, votes := range t.in {
		if t.answering-votes < t.all/2+1 {
			return false
		}
	}
	return t.answering > 0
}

// spread returns the learner whose vote spreads the votes best over failure domains, nil if
// there is none. None is to get a vote by which the loss of one failure domain would take
// the quorum, where it does not so far and there are enough voters.
func spread(candidates, members []Member, l Limits) *Member {
	votes := tallyOf(members)
	var best *Member
	for i := range candidates {
		if best == nil || votes.in[candidates[i].domain()] < votes.in[best.domain()] {
			best = &candidates[i]
		}
	}
	if best == nil || votes.answering < l.MinActiveVoters || !votes.bearsLoss() {
		return best
	}
	votes.all++
	votes.add(*best)
	if !votes.bearsLoss() {
		return nil
	}
	return best
}
