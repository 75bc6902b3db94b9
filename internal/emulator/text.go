package emulator

import (
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TokenText returns the text of the token at index in the response to a request. It depends
// on both the identifier and the index, so that a checker detects a response put together
// from two.
func TokenText(requestID string, index int) string {
	h := xxhash.New()
	_, _ = h.WriteString(requestID)
	_, _ = h.WriteString("#" + strconv.Itoa(index))
	return " " + hex.EncodeToString(h.Sum(nil)[:4])
}

// Checksum returns the digest of a text in the form that the engine sends.
func Checksum(text string) string {
	return strconv.FormatUint(xxhash.Sum64String(text), 16)
}

// ResponseText returns the complete text of the response to a request.
func ResponseText(requestID string, tokens int) string {
	text := make([]byte, 0, tokens*9)
	for i := range tokens {
		text = append(text, TokenText(requestID, i)...)
	}
	return string(text)
}
