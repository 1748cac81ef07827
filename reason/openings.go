package reason

// Opening describes what an entry host does with an opening of a packet flow for want of room.
// The names are those of package flow.
type Opening struct {
	Name, Text string
}

var openings = []Opening{
	{"no_room", "Refused before any target got it, so it did not run: targets of the service have returned openings in the last 200 ms, none is known to have room, and less urgent ones are refused as well. Only for routes that state an objective or a timeout."},
	{"offered_again", "Returned by the agent of a target without room, and offered to another target that is known to have room."},
	{"queue_spent", "Returned by the agent of a target that has no room or takes no flows, and reset since no other target has it or is known to have room."},
}

// Openings returns the reasons for which openings are refused or offered again.
func Openings() []Opening { return openings }
