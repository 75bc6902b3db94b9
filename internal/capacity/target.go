package capacity

// Target scale, from section 1.6 of docs/design.md.
const (
	targetInstances            = 3100
	targetServers              = 10_000
	targetDomains              = 19
	targetRegions              = 7
	targetTiers                = 6
	targetTeams                = 2400
	targetModels               = 19
	targetRequestsPerSecond    = 46_000
	targetTokensPerSecond      = 17_000_000
	targetTokenIntervalSeconds = 0.053
	targetFirstTokenSeconds    = 0.96
	targetChangesPerDay        = 16_000
	targetFailuresPerDay       = 170
	targetRestartsPerDay       = 1200
	platformCallLimit          = 2000 // calls per second
	configDelayLimitSeconds    = 8
)

// Budget per node for control traffic and control work.
const (
	budgetCoreShare      = 0.017
	budgetMemoryBytes    = 128e6
	budgetBytesPerSecond = 23e3
)

const secondsPerDay = 86_400.0
