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

// caller returns what identifies the caller of the request: its workspace or its key.
func (req *proxyRequest) caller() string {
	if req.workspace != nil {
		return req.workspace.Name
	}
	return req.meta.Key
}

// newFingerprint identifies exact copies of a request: the caller, host, method, path with
// query, prompt parts and body. The request ID differs for each copy. A key or a body
// cannot be recovered from it.
func (req *proxyRequest) newFingerprint() string {
	return encodeHash(hashOf(req.body, req.meta.Parts, req.caller(), req.r.Host, req.r.Method, req.r.RequestURI))
}

// hashOf returns the hash of fields, prompt parts and a body.
func hashOf(body []byte, parts []crashes.Cause, fields ...string) []byte {
	h := sha256.New()
	for _, s := range fields {
		writeField(h, s)
	}
	for _, p := range parts {
		writeField(h, string(p))
	}
	_, _ = h.Write(body) // a hash.Hash never returns an error
	return h.Sum(nil)
}

func encodeHash(sum []byte) string { return hex.EncodeToString(sum[:fingerprintBytes]) }

// newIdentities returns the causes that copies of the request have in common, the narrowest
// first. A caller repeats its path and body, but may send them in another session, with
// another prompt, or to another name of the host. Answers show which of these
// identities sound requests have, too.
func (req *proxyRequest) newIdentities() []crashes.Cause {
	content := hashOf(req.body, nil, req.caller(), req.r.URL.Path)
	identities := []crashes.Cause{crashes.RequestCause(req.fingerprint)}
	query, shared := req.r.URL.RawQuery, req.meta.Parts[:max(0, len(req.meta.Parts)-1)]
	if query != "" || len(shared) > 0 { // otherwise it is the same as with any prompt
		identities = append(identities, crashes.AnySessionCause(encodeHash(hashOf(content, shared, query))))
	}
	return append(identities, crashes.AnyPromptCause(encodeHash(content)))
}

// identifyCauses sets the fingerprint, and what the request has in common with others that
// may crash backend servers.
func (req *proxyRequest) identifyCauses() {
	req.fingerprint = req.newFingerprint()
	req.identities = req.newIdentities()
	req.causes = slices.Concat(req.meta.Parts, req.identities)
}

// writeField adds a field with its length, so that no two lists of fields are alike.
func writeField(h hash.Hash, s string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(s))
}
