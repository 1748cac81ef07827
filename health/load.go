package health

const (
	// perMille is the scale of load figures.
	perMille = 1000
	// reportShare is the part of the slots, one in so many, by which a
	// reported figure may raise the load above what the agent observes.
	reportShare = 4
	// maxLoad is the largest load figure that a frame carries.
	maxLoad = 1<<16 - 1
)

// LoadInput is what the load figure of a target is made of.
type LoadInput struct {
	// Requests is how many of the agent's own requests run or wait, at a
	// moment or on average over a time.
	Requests float64
	// Slots is the number of requests that may run at a time, at least 1.
	Slots int
	// ReportedRunning is the backend server's own figure, negative if none.
	ReportedRunning int
	// Flows counts open flows, FlowCapacity those that a target may hold.
	Flows, FlowCapacity int
}

// Load returns the load figure of a target in per mille: the share of its
// slots plus the share of its flows. A report raises it by a quarter of the
// slots at most and never lowers it, so that an endpoint that lies can move
// the figure only a little.
func Load(in LoadInput) uint16 {
	slots := max(in.Slots, 1)
	own := max(in.Requests, 0)
	load := int(min(own*perMille/float64(slots), maxLoad))
	if excess := float64(in.ReportedRunning) - own; excess > 0 {
		load += int(min(excess*perMille/float64(slots), perMille/reportShare))
	}
	if in.FlowCapacity > 0 {
		load += max(in.Flows, 0) * perMille / in.FlowCapacity
	}
	return uint16(min(load, maxLoad))
}
