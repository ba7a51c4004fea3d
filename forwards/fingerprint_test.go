package forwards

import (
	"net/http/httptest"
	"testing"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/crashes"
)

// fingerprintOf returns the fingerprint of a request after a change.
func fingerprintOf(change func(*proxyRequest)) string {
	req := &proxyRequest{
		r: httptest.NewRequest("POST", "http://x.example/a/b?c=1", nil), body: []byte("body"), workspace: &catalogs.Workspace{Name: "w"},
		meta: RequestMeta{ID: "r1", Key: "k1", Parts: []crashes.Cause{"aa", "bb"}},
	}
	change(req)
	return req.newFingerprint()
}

// Guards against copies of a request that are not recognized, and against different
// requests that are taken for copies.
func TestFingerprint(t *testing.T) {
	original := fingerprintOf(func(*proxyRequest) {})
	for name, change := range map[string]func(*proxyRequest){
		"request ID":                   func(req *proxyRequest) { req.meta.ID = "r2" },
		"another key of the workspace": func(req *proxyRequest) { req.meta.Key = "k2" },
		"time limit":                   func(req *proxyRequest) { req.meta.Deadline = 7 },
		"last event":                   func(req *proxyRequest) { req.meta.LastEvent = 7 },
	} {
		t.Run("copy with another "+name, func(t *testing.T) {
			if fingerprintOf(change) != original {
				t.Error("the copy has another fingerprint")
			}
		})
	}
	for name, change := range map[string]func(*proxyRequest){
		"workspace":     func(req *proxyRequest) { req.workspace = &catalogs.Workspace{Name: "v"} },
		"host":          func(req *proxyRequest) { req.r.Host = "y.example" },
		"method":        func(req *proxyRequest) { req.r.Method = "PUT" },
		"path":          func(req *proxyRequest) { req.r.RequestURI = "/a/c?c=1" },
		"query":         func(req *proxyRequest) { req.r.RequestURI = "/a/b?c=2" },
		"body":          func(req *proxyRequest) { req.body = []byte("Body") },
		"parts":         func(req *proxyRequest) { req.meta.Parts = []crashes.Cause{"aa"} },
		"part and body": func(req *proxyRequest) { req.meta.Parts, req.body = []crashes.Cause{"aa"}, []byte("bbbody") },
	} {
		t.Run("request with another "+name, func(t *testing.T) {
			if fingerprintOf(change) == original {
				t.Error("both have the same fingerprint")
			}
		})
	}
}
