package config

import (
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// outcomes keeps the outcomes of patches, with separate bounds for accepted and refused
// ones.
type outcomes struct {
	byID map[string]*configpb.Outcome
	// accepted has the outcomes of accepted patches by version, without gaps.
	accepted []*configpb.Outcome
	refused  []*configpb.Outcome
}

func newOutcomes() *outcomes {
	return &outcomes{byID: map[string]*configpb.Outcome{}}
}

func (o *outcomes) find(id string) *configpb.Outcome { return o.byID[id] }

// byVersion returns the outcome of the patch that created a version, or nil if it was
// evicted.
func (o *outcomes) byVersion(version uint64) *configpb.Outcome {
	if len(o.accepted) == 0 {
		return nil
	}
	oldest := o.accepted[0].GetVersion()
	if version < oldest || version-oldest >= uint64(len(o.accepted)) {
		return nil
	}
	return o.accepted[version-oldest]
}

func (o *outcomes) add(out *configpb.Outcome) {
	o.byID[out.GetId()] = out
	if out.GetVerdict() == configpb.Verdict_VERDICT_ACCEPTED {
		o.accepted = o.trim(append(o.accepted, out), MaxAcceptedOutcomes)
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

// list returns the accepted and then the refused outcomes, each oldest first.
func (o *outcomes) list() []*configpb.Outcome {
	return slices.Concat(o.accepted, o.refused)
}
