// Package answers reads what backend servers send, and detects answers that are malformed
// or incomplete where net/http and the kernel would let them pass.
package answers
