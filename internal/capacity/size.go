package capacity

// Size describes the scale of a deployment.
type Size struct {
	// Entries, Targets and Addresses are the numbers of entry hosts, targets and
	// public addresses.
	Entries, Targets, Addresses float64
	// Flows is the number of open flows, NewFlows the number opened per second.
	Flows, NewFlows float64
	// Domains is the number of failure domains.
	Domains float64
	// ChangesPerDay is the number of configuration versions per day.
	ChangesPerDay float64
	// ControlHosts is the greatest number of control hosts.
	ControlHosts float64
	// RestartsPerDay is the number of hosts that fail or are restarted or replaced
	// per day.
	RestartsPerDay float64
}

// DesignSize is the size that the system is designed for.
var DesignSize = Size{
	Entries: 2000, Targets: 12_000, Addresses: 5500,
	Flows: 40e6, NewFlows: 100e3,
	Domains: 21, ChangesPerDay: 3300, ControlHosts: 15,
	RestartsPerDay: 63 + 840,
}

// Budgets of a host for control traffic: cores, bytes of memory, bytes per second.
const (
	BudgetCore   = 0.013
	BudgetMemory = 32e6
	BudgetBytes  = 7e3
)

const secondsPerDay = 86_400

// Subscribers returns the number of subscribers of each control host. Every entry
// host and agent subscribes to one.
func (s Size) Subscribers() float64 { return (s.Entries + s.Targets) / s.ControlHosts }

// FlowsPerEntry returns the mean number of flows of an entry host.
func (s Size) FlowsPerEntry() float64 { return s.Flows / s.Entries }

// FlowsPerAgent returns the mean number of flows of an agent.
func (s Size) FlowsPerAgent() float64 { return s.Flows / s.Targets }

// NewFlowsPerAgent returns the mean number of new flows of an agent per second.
func (s Size) NewFlowsPerAgent() float64 { return s.NewFlows / s.Targets }

// ChangesPerSecond returns the mean number of configuration versions per second.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// TargetsPerDomain returns the mean number of targets in a failure domain.
func (s Size) TargetsPerDomain() float64 { return s.Targets / s.Domains }
