package capacity

// Size is the size that the design has to carry.
type Size struct {
	// Entries, Targets and Addresses are entry hosts, targets and public
	// addresses.
	Entries, Targets, Addresses float64
	// Flows are open at a time, NewFlows open in a second.
	Flows, NewFlows float64
	// Domains is the number of failure domains.
	Domains float64
	// ChangesPerDay are versions of the configuration.
	ChangesPerDay float64
	// ControlHosts is how many hosts may be set aside for control.
	ControlHosts float64
	// RestartsPerDay are hosts that fail, are restarted or replaced.
	RestartsPerDay float64
}

// DesignSize is the size expected within two years, from the users' first letter.
var DesignSize = Size{
	Entries: 2000, Targets: 12_000, Addresses: 5500,
	Flows: 40e6, NewFlows: 100e3,
	Domains: 21, ChangesPerDay: 3300, ControlHosts: 15,
	RestartsPerDay: 63 + 840,
}

// Budget is what a node may spend on control.
const (
	BudgetCore   = 0.013
	BudgetMemory = 32e6
	BudgetBytes  = 7e3
)

const secondsPerDay = 86_400

// Subscribers returns the links of each control host: every entry host and
// agent subscribes to one.
func (s Size) Subscribers() float64 { return (s.Entries + s.Targets) / s.ControlHosts }

// FlowsPerEntry returns the flows that an entry host sees, spread evenly.
func (s Size) FlowsPerEntry() float64 { return s.Flows / s.Entries }

// FlowsPerAgent returns the flows that an agent ends.
func (s Size) FlowsPerAgent() float64 { return s.Flows / s.Targets }

// NewFlowsPerAgent returns the flows that open at an agent in a second.
func (s Size) NewFlowsPerAgent() float64 { return s.NewFlows / s.Targets }

// ChangesPerSecond returns the mean rate of versions.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// TargetsPerDomain returns the targets that a failure domain takes with it.
func (s Size) TargetsPerDomain() float64 { return s.Targets / s.Domains }
