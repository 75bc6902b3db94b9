package emulator

import "time"

// Model holds the performance figures of an emulated engine. The defaults give
// 25 ms between tokens up to eight requests at a time and 40 ms with sixteen. With
// sixteen running, a prefill may then take 13 ms of an iteration before the token
// interval of 53 ms of the target scale is missed.
type Model struct {
	// Slots bounds the running requests. Zero: 16.
	Slots int
	// TokenBudget bounds the prompt and output tokens of the running requests. Zero: 65,536.
	TokenBudget int
	// PrefillPerToken is the time for one prompt token. Zero: 100 µs.
	PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens of one iteration. Zero: 512.
	PrefillChunk int
	// DecodeInterval is the time of an iteration of a comfortable batch. Zero: 25 ms.
	DecodeInterval time.Duration
	// Comfortable is the batch size above which iterations get slower. Zero: 8.
	Comfortable int
	// Growth is the added share of DecodeInterval at twice the comfortable size. At 1
	// a larger batch would give no more tokens per second. Zero: 0.6.
	Growth float64
	// CacheTokens is the memory of the prefix cache. Zero: 262,144.
	CacheTokens int
}

// withDefaults replaces zero values.
func (m Model) withDefaults() Model {
	setDefault(&m.Slots, 16)
	setDefault(&m.TokenBudget, 65536)
	setDefault(&m.PrefillPerToken, 100*time.Microsecond)
	setDefault(&m.PrefillChunk, 512)
	setDefault(&m.DecodeInterval, 25*time.Millisecond)
	setDefault(&m.Comfortable, 8)
	setDefault(&m.Growth, 0.6)
	setDefault(&m.CacheTokens, 262144)
	return m
}

func setDefault[T int | float64 | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// interval is the time of an iteration that decodes n requests.
func (m Model) interval(n int) time.Duration {
	if n == 0 {
		return 0
	}
	excess := max(0, float64(n-m.Comfortable)/float64(m.Comfortable))
	return time.Duration(float64(m.DecodeInterval) * (1 + m.Growth*excess))
}

// Lengths is the distribution from which output lengths are drawn when a request
// does not set one: lognormal, at most Max.
type Lengths struct {
	// Mu and Sigma are the parameters of the logarithm. Zero: 4.6 and 0.8 (median 100 tokens).
	Mu, Sigma float64
	// Max bounds a length. Zero: 2,048.
	Max int
}

func (l Lengths) withDefaults() Lengths {
	setDefault(&l.Mu, 4.6)
	setDefault(&l.Sigma, 0.8)
	setDefault(&l.Max, 2048)
	return l
}
