package emulator

import "time"

// Performance sets the speed and the capacity of an emulated engine. The defaults give a
// token interval of 25 ms with up to eight running requests and of 40 ms with sixteen.
// With sixteen, that leaves 13 ms of an iteration for prefill before the token interval
// exceeds the 53 ms of the target scale.
type Performance struct {
	// Slots is the maximum number of running requests. Zero: 16.
	Slots int
	// TokenBudget is the maximum number of prompt and output tokens of all running
	// requests together. Zero: 65,536.
	TokenBudget int
	// PrefillPerToken is the time to process one prompt token. Zero: 100 µs.
	PrefillPerToken time.Duration
	// PrefillChunk is the maximum number of prompt tokens processed in one iteration.
	// Zero: 512.
	PrefillChunk int
	// DecodeInterval is the time of an iteration that decodes at most FullSpeedBatch
	// requests. Zero: 25 ms.
	DecodeInterval time.Duration
	// FullSpeedBatch is the number of decoding requests above which iterations get
	// slower. Zero: 8.
	FullSpeedBatch int
	// Slowdown is the fraction of DecodeInterval that is added at twice FullSpeedBatch.
	// At 1 a larger batch would not give more tokens per second. Zero: 0.6.
	Slowdown float64
	// CacheTokens is the capacity of the prefix cache in tokens. Zero: 262,144.
	CacheTokens int
}

// withDefaults replaces zero values by the defaults.
func (p Performance) withDefaults() Performance {
	setDefault(&p.Slots, 16)
	setDefault(&p.TokenBudget, 65536)
	setDefault(&p.PrefillPerToken, 100*time.Microsecond)
	setDefault(&p.PrefillChunk, 512)
	setDefault(&p.DecodeInterval, 25*time.Millisecond)
	setDefault(&p.FullSpeedBatch, 8)
	setDefault(&p.Slowdown, 0.6)
	setDefault(&p.CacheTokens, 262144)
	return p
}

func setDefault[T int | float64 | time.Duration](field *T, defaultValue T) {
	if *field == 0 {
		*field = defaultValue
	}
}

// decodeTime returns the time that an iteration takes to decode n requests.
func (p Performance) decodeTime(n int) time.Duration {
	if n == 0 {
		return 0
	}
	excess := max(0, float64(n-p.FullSpeedBatch)/float64(p.FullSpeedBatch))
	return time.Duration(float64(p.DecodeInterval) * (1 + p.Slowdown*excess))
}

// OutputLengths is the distribution of the output lengths of requests that set none: a
// lognormal distribution, limited to the range 1 to Max.
type OutputLengths struct {
	// Mu and Sigma are the mean and the standard deviation of the length's natural
	// logarithm. Zero: 4.6 and 0.8 (median 100 tokens).
	Mu, Sigma float64
	// Max is the maximum length in tokens. Zero: 2,048.
	Max int
}

func (l OutputLengths) withDefaults() OutputLengths {
	setDefault(&l.Mu, 4.6)
	setDefault(&l.Sigma, 0.8)
	setDefault(&l.Max, 2048)
	return l
}
