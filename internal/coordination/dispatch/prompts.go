package dispatch

import (
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// longPrefillThreshold is the prefill time, with nothing cached, from which the mean prompt
	// of a class counts as long: upstreams process it in at least two chunks, interleaved with
	// tokens of other requests, and its attention makes these chunks slower.
	longPrefillThreshold = 110 * time.Millisecond
	// longOutlierThreshold is the prefill time, with nothing cached, from which a single prompt
	// counts as long whatever its class: it would delay the short prompts behind it by more
	// than half of a target of half a second.
	longOutlierThreshold = 300 * time.Millisecond
	// classPromptSamples is the number of recent prompts over which the mean size of a class is
	// taken.
	classPromptSamples = 100
	// classPromptTTL is how long the mean size of a class without requests is kept.
	classPromptTTL = 10 * time.Minute
	// maxPromptClasses bounds the number of classes whose mean size is kept.
	maxPromptClasses = 1024
)

// classPrompts holds the mean prompt size by class.
type classPrompts struct {
	means *expiring.Map[string, *promptMean]
}

// promptMean is the mean size of a class's prompts.
type promptMean struct {
	tokens  float64
	samples int // at most classPromptSamples
}

func newClassPrompts() classPrompts {
	return classPrompts{expiring.New(expiring.Options[string, *promptMean]{TTL: classPromptTTL, MaxEntries: maxPromptClasses})}
}

// observe includes a prompt in the mean size of its class and returns that mean.
func (c classPrompts) observe(now time.Duration, class string, tokens int) int {
	mean, ok := c.means.Peek(now, class)
	if !ok {
		mean = &promptMean{}
	}
	mean.samples = min(mean.samples+1, classPromptSamples)
	mean.tokens += (float64(tokens) - mean.tokens) / float64(mean.samples)
	c.means.Put(now, class, mean, 0)
	return int(mean.tokens)
}

// classifyPrompt reports whether an arriving request has a long prompt. The size of the class
// decides, not that of the request: a class with a short target would otherwise wait with its
// larger prompts behind the long prompts of less urgent classes.
func (d *Dispatcher) classifyPrompt(now time.Duration, r *Request) bool {
	mean := d.classPrompts.observe(now, r.Class, r.Prompt)
	return prefillTime(d.tokensPerMS, mean, 0) >= longPrefillThreshold || prefillTime(d.tokensPerMS, r.Prompt, 0) >= longOutlierThreshold
}
