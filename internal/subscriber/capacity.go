package subscriber

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/capacitystate"
)

// NewCapacityState returns the announced form of a state. now is on the clock of the state,
// load in thousandths of the slots.
func NewCapacityState(s capacitystate.State, now time.Duration, load uint32) *controlpb.CapacityState {
	if !s.Overloaded {
		return &controlpb.CapacityState{}
	}
	refused := s.Refused[:]
	for len(refused) > 0 && refused[len(refused)-1] == 0 {
		refused = refused[:len(refused)-1]
	}
	return &controlpb.CapacityState{
		OverloadedMs: proto.Uint32(uint32(min((now - s.Since).Milliseconds(), math.MaxUint32))),
		Refused:      refused,
		LoadPermille: load,
	}
}
