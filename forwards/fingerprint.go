package forwards

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"gypsumshelf.example/gypsumshelf/crashes"
)

// fingerprintBytes is the length of a fingerprint: with 16 bytes, two of a billion
// different requests have the same one with a probability below 1e-20.
const fingerprintBytes = 16

// hashedHeadBytes is above the size of what is hashed before the body of most requests.
const hashedHeadBytes = 512

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
	head := make([]byte, 0, hashedHeadBytes)
	for _, s := range fields {
		head = appendField(head, s)
	}
	for _, p := range parts {
		head = appendField(head, string(p))
	}
	h := sha256.New()
	_, _ = h.Write(head) // a hash.Hash never returns an error
	_, _ = h.Write(body)
	return h.Sum(nil)
}

func encodeHash(sum []byte) string { return hex.EncodeToString(sum[:fingerprintBytes]) }

// newIdentities returns the causes that copies of the request have in common, the narrowest
// first. A caller repeats its path and body, but may send them in another session, with
// another prompt, or to another name of the host. Answers show which of these
// identities sound requests have, too.
func (req *proxyRequest) newIdentities(fingerprint string) []crashes.Cause {
	content := hashOf(req.body, nil, req.caller(), req.r.URL.Path)
	identities := []crashes.Cause{crashes.RequestCause(fingerprint)}
	query, shared := req.r.URL.RawQuery, req.meta.Parts[:max(0, len(req.meta.Parts)-1)]
	if query != "" || len(shared) > 0 { // otherwise it is the same as with any prompt
		identities = append(identities, crashes.AnySessionCause(encodeHash(hashOf(content, shared, query))))
	}
	return append(identities, crashes.AnyPromptCause(encodeHash(content)))
}

// identity is what a request has in common with others that may crash backend servers.
type identity struct {
	fingerprint string          // the same for all exact copies that the caller sends
	copies      []crashes.Cause // what copies have in common, the narrowest first
	causes      []crashes.Cause // the prompt parts and copies
}

// identify returns the identity of a request whose body was read. It is computed when it
// is first needed, since it takes two hashes of the body. It is not safe for concurrent use.
func (req *proxyRequest) identify() *identity {
	if req.identity == nil {
		fingerprint := req.newFingerprint()
		copies := req.newIdentities(fingerprint)
		req.identity = &identity{fingerprint: fingerprint, copies: copies, causes: slices.Concat(req.meta.Parts, copies)}
	}
	return req.identity
}

// appendField appends a field with its length, so that no two lists of fields are alike.
func appendField(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint64(b, uint64(len(s))), s...)
}
