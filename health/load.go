package health

const (
	// perMille is the scale of load values.
	perMille = 1000
	// reportFraction bounds the effect of a report: it raises the load by at most
	// 1/reportFraction of the slots above the observed load.
	reportFraction = 4
	// maxLoad is the largest load value that a frame can carry.
	maxLoad = 1<<16 - 1
)

// LoadInput holds the inputs of Load.
type LoadInput struct {
	// Requests is the number of running and queued requests, current or averaged.
	Requests float64
	// Slots is the number of requests that may run at the same time.
	Slots int
	// ReportedRunning is the number of running requests that the backend server
	// reports, negative if unknown.
	ReportedRunning int
	// Flows is the number of open flows, FlowCapacity that of a full target.
	Flows, FlowCapacity int
}

// Load returns the load of a target in per mille: the share of its slots in use
// plus the share of its flow capacity. A report raises the load by at most a quarter
// of the slots and never lowers it, which bounds the effect of a wrong report.
func Load(in LoadInput) uint16 {
	slots := max(in.Slots, 1)
	own := max(in.Requests, 0)
	load := int(min(own*perMille/float64(slots), maxLoad))
	if excess := float64(in.ReportedRunning) - own; excess > 0 {
		load += int(min(excess*perMille/float64(slots), perMille/reportFraction))
	}
	if in.FlowCapacity > 0 {
		load += max(in.Flows, 0) * perMille / in.FlowCapacity
	}
	return uint16(min(load, maxLoad))
}
