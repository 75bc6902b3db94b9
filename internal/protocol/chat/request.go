package chat

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// bytesPerToken is a common average for European languages; it only scales estimates.
const bytesPerToken = 4

// hashedPrefixBytes is the length of the prompt prefix that determines cache affinity. Engines
// cache whole blocks from the start of a prompt, and system prompts and job files differ well
// within the first kilobyte.
const hashedPrefixBytes = 1024

// Request holds the fields of a chat-completions request that routing needs.
type Request struct {
	Model  string
	Stream bool
	// PromptTokens is estimated from the length of the messages.
	PromptTokens int
	// PrefixHash is a hash of the start of the prompt.
	PrefixHash uint64
}

type wireRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// ParseRequest decodes the body of a request.
func ParseRequest(body []byte) (Request, error) {
	var w wireRequest
	if err := json.Unmarshal(body, &w); err != nil {
		return Request{}, errors.Wrap(err, "decode request")
	}
	if w.Model == "" {
		return Request{}, errors.New(`field "model" is missing`)
	}
	if len(w.Messages) == 0 || w.Messages[0] != '[' {
		return Request{}, errors.New(`field "messages" must be a list`)
	}
	prefix := w.Messages[:min(len(w.Messages), hashedPrefixBytes)]
	return Request{
		Model:        w.Model,
		Stream:       w.Stream,
		PromptTokens: len(w.Messages) / bytesPerToken,
		PrefixHash:   xxhash.Sum64(prefix),
	}, nil
}
