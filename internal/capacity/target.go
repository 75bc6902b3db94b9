package capacity

// Target scale, from section 1.6 of docs/design.md.
const (
	targetInstances  = 3100
	targetServers    = 10_000
	targetDomains    = 19
	targetRegions    = 7
	targetTiers      = 6
	targetTeams      = 2400
	targetModels     = 19
	targetRequests   = 46_000     // a second
	targetTokens     = 17_000_000 // a second
	targetInterval   = 0.053      // seconds between tokens
	targetFirstToken = 0.96       // seconds
	targetChanges    = 16_000     // a day
	targetFailures   = 170        // a day
	targetRestarts   = 1200       // a day
	platformCallRate = 2000       // calls a second
	configBound      = 8          // seconds
)

// Budget of control traffic and work for each node.
const (
	budgetCore   = 0.017
	budgetMemory = 128e6
	budgetBytes  = 23e3
)

const day = 86_400.0 // seconds
