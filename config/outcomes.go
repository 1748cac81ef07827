package config

import (
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// outcomes remembers what became of patches, bounded apart for accepted and
// refused ones.
type outcomes struct {
	byID map[string]*configpb.Outcome
	// took has accepted outcomes by version; versions follow each other
	// without gaps.
	took    []*configpb.Outcome
	refused []*configpb.Outcome
}

func newOutcomes() *outcomes {
	return &outcomes{byID: map[string]*configpb.Outcome{}}
}

func (o *outcomes) find(id string) *configpb.Outcome { return o.byID[id] }

// accepted returns the outcome of the patch that made a version, if kept.
func (o *outcomes) accepted(version uint64) *configpb.Outcome {
	if len(o.took) == 0 {
		return nil
	}
	oldest := o.took[0].GetVersion()
	if version < oldest || version-oldest >= uint64(len(o.took)) {
		return nil
	}
	return o.took[version-oldest]
}

func (o *outcomes) add(out *configpb.Outcome) {
	o.byID[out.GetId()] = out
	if out.GetVerdict() == configpb.Verdict_VERDICT_ACCEPTED {
		o.took = o.trim(append(o.took, out), MaxAcceptedOutcomes)
		return
	}
	o.refused = o.trim(append(o.refused, out), MaxRefusedOutcomes)
}

func (o *outcomes) trim(list []*configpb.Outcome, limit int) []*configpb.Outcome {
	for len(list) > limit {
		delete(o.byID, list[0].GetId())
		list[0] = nil
		list = list[1:]
	}
	return list
}

// list returns the outcomes in the order in which add keeps them: each kind
// oldest first.
func (o *outcomes) list() []*configpb.Outcome {
	return slices.Concat(o.took, o.refused)
}
