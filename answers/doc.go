// Package answers reads what backend servers send, and detects answers that are malformed
// where net/http would let them pass.
package answers
