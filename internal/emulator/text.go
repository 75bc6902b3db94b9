package emulator

import (
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TokenText returns the text of token i of the answer to a request. Any change of
// identifier or index changes the text, so a splice of two answers is visible.
func TokenText(requestID string, i int) string {
	h := xxhash.New()
	_, _ = h.WriteString(requestID)
	_, _ = h.WriteString("#" + strconv.Itoa(i))
	return " " + hex.EncodeToString(h.Sum(nil)[:4])
}

// Checksum returns the digest of a text, as the engine's last event carries it.
func Checksum(text string) string {
	return strconv.FormatUint(xxhash.Sum64String(text), 16)
}

// AnswerText returns the whole answer of n tokens to a request.
func AnswerText(requestID string, n int) string {
	text := make([]byte, 0, n*9)
	for i := range n {
		text = append(text, TokenText(requestID, i)...)
	}
	return string(text)
}
