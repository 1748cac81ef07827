package config

// Bounds of the replicated state. They must be the same on all replicas, so changing one
// changes the format of the log.
const (
	// MaxAcceptedOutcomes is the number of accepted patches whose outcome is kept: about
	// three days at 3,300 changes a day.
	MaxAcceptedOutcomes = 10_000
	// MaxRefusedOutcomes is the number of refused patches whose outcome is kept. The bound
	// is separate, so that refused patches do not evict the outcomes of accepted ones.
	MaxRefusedOutcomes = 1_000
	// MaxHistory is the number of versions kept for deltas: nearly two hours at 3,300
	// changes a day. The history is not part of snapshots.
	MaxHistory = 256
	// MaxTargets is the number of target identities kept. The one registered least recently
	// is evicted first; its number is not reused.
	MaxTargets = 32_768
	// MaxTargetNumber bounds target numbers and incarnations, which take 24 bits each in
	// connection IDs.
	MaxTargetNumber = 1<<24 - 1
	// MaxServices bounds the services of a configuration.
	MaxServices = 16_384
	// MaxAddresses bounds the public addresses of one service.
	MaxAddresses = 1_024
	// MaxRetired bounds the retired public addresses of a configuration.
	MaxRetired = 16_384
	// MaxRoutes bounds the routes of a table.
	MaxRoutes = 16_384
	// MaxEvacuations bounds the failure domains evacuated at the same time. It is several
	// times the 21 of the size expected.
	MaxEvacuations = 128
	// MaxHandledOrders bounds the evacuation orders whose identifiers are kept.
	MaxHandledOrders = 256
	// MaxNameLength bounds names of services and targets, in bytes.
	MaxNameLength = 63
	// MaxTableNameLength bounds names of services in a route table, in bytes.
	MaxTableNameLength = 255
	// MaxIDLength bounds identifiers of patches, in bytes.
	MaxIDLength = 128
	// MaxProcessLength bounds the identity of a process, in bytes.
	MaxProcessLength = 64
	// MaxOperations bounds the operations of one patch.
	MaxOperations = 10_000
	// MaxFindings bounds the findings kept with an outcome. A further finding has the number
	// of omitted ones.
	MaxFindings = 200
	// MaxSlots bounds the slots of one target.
	MaxSlots = 1 << 20
	// MaxRampMS bounds the ramp after a cold start, in milliseconds.
	MaxRampMS = 3_600_000
	// MaxWarmupRate bounds the rate that a target accepts during its warm-up, in requests
	// per second.
	MaxWarmupRate = 1_000_000
	// MaxWeight bounds the weights of a policy.
	MaxWeight = 1_000
	// maxPercent bounds percentages.
	maxPercent = 100
)
