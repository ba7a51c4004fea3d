package forwards

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"

	"gypsumshelf.example/gypsumshelf/crashes"
)

// fingerprintBytes is the length of a fingerprint: with 16 bytes, two of a billion
// different requests have the same one with a probability below 1e-20.
const fingerprintBytes = 16

// newFingerprint identifies what callers repeat when they send a request again: the
// caller, host, method, path with query, prompt parts and body. The request ID differs
// for each copy. A key or a body cannot be recovered from it.
func (req *proxyRequest) newFingerprint() string {
	caller := req.meta.Key
	if req.workspace != nil {
		caller = req.workspace.Name
	}
	h := sha256.New()
	for _, s := range []string{caller, req.r.Host, req.r.Method, req.r.RequestURI} {
		writeField(h, s)
	}
	for _, p := range req.meta.Parts {
		writeField(h, string(p))
	}
	_, _ = h.Write(req.body) // a hash.Hash never returns an error
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// identifyCauses sets the fingerprint, and what the request has in common with others that
// may crash backend servers.
func (req *proxyRequest) identifyCauses() {
	req.fingerprint = req.newFingerprint()
	req.causes = append(slices.Clone(req.meta.Parts), crashes.RequestCause(req.fingerprint))
}

// writeField adds a field with its length, so that no two lists of fields are alike.
func writeField(h hash.Hash, s string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(s))
}
