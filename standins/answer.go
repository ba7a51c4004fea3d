// Package standins provides simulated backend servers, engines and plain
// services, for tests, the demo and load measurements.
package standins

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Token returns the token at a position of the answer to a prompt. It depends on
// both, so that a caller can detect foreign, missing and repeated tokens.
func Token(prompt string, position int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	return token(h.Sum32(), position)
}

func token(hash uint32, position int) string { return fmt.Sprintf("%08x-%d ", hash, position) }

// Answer returns the whole answer of n tokens to a prompt.
func Answer(prompt string, n int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	hash := h.Sum32()
	var b strings.Builder
	for i := range n {
		b.WriteString(token(hash, i))
	}
	return b.String()
}
