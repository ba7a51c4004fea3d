package forwards

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/crashes"
)

// identified returns a request after a change.
func identified(change func(*proxyRequest)) *proxyRequest {
	req := &proxyRequest{
		r: httptest.NewRequest("POST", "http://x.example/a/b?c=1", nil), body: []byte("body"), workspace: &catalogs.Workspace{Name: "w"},
		meta: RequestMeta{ID: "r1", Key: "k1", Parts: []crashes.Cause{"aa", "bb"}},
	}
	change(req)
	return req
}

// fingerprintOf returns the fingerprint of a request after a change.
func fingerprintOf(change func(*proxyRequest)) string {
	return identified(change).identify().fingerprint
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

// Guards against copies of a request that share no identity since their caller sends them
// in another session or another way, and against identities that requests with another
// caller, path or body share.
func TestIdentities(t *testing.T) {
	const exact, anySession, anyPrompt, none = "request:", "any-session:", "any-prompt:", ""
	original := identified(func(*proxyRequest) {})
	for name, c := range map[string]struct {
		narrowest string // identity that both have
		change    func(*proxyRequest)
	}{
		"request ID":          {exact, func(req *proxyRequest) { req.meta.ID = "r2" }},
		"token counts":        {exact, func(req *proxyRequest) { req.meta.PromptTokens, req.meta.ExpectedAnswerTokens = 1, 2 }},
		"key":                 {exact, func(req *proxyRequest) { req.meta.Key = "k2" }},
		"last event":          {exact, func(req *proxyRequest) { req.meta.LastEvent = 7 }},
		"session":             {anySession, func(req *proxyRequest) { req.meta.Parts = []crashes.Cause{"aa", "cc"} }},
		"host":                {anySession, func(req *proxyRequest) { req.r.Host = "y.example" }},
		"method":              {anySession, func(req *proxyRequest) { req.r.Method = "PUT" }},
		"session and host":    {anySession, func(req *proxyRequest) { req.meta.Parts, req.r.Host = []crashes.Cause{"aa", "cc"}, "y.example" }},
		"prompt":              {anyPrompt, func(req *proxyRequest) { req.meta.Parts = []crashes.Cause{"dd", "bb"} }},
		"number of parts":     {anyPrompt, func(req *proxyRequest) { req.meta.Parts = []crashes.Cause{"aa", "bb", "cc"} }},
		"prompt, that it has": {anyPrompt, func(req *proxyRequest) { req.meta.Parts, req.r.URL.RawQuery = nil, "" }},
		"query":               {anyPrompt, func(req *proxyRequest) { req.r.URL.RawQuery, req.r.RequestURI = "c=2", "/a/b?c=2" }},
		"workspace":           {none, func(req *proxyRequest) { req.workspace = &catalogs.Workspace{Name: "v"} }},
		"path":                {none, func(req *proxyRequest) { req.r.URL.Path, req.r.RequestURI = "/a/c", "/a/c?c=1" }},
		"body":                {none, func(req *proxyRequest) { req.body = []byte("Body") }},
		"empty body":          {none, func(req *proxyRequest) { req.body = nil }},
	} {
		t.Run("another "+name, func(t *testing.T) { assertNarrowest(t, original, identified(c.change), c.narrowest) })
	}
}

// assertNarrowest fails unless the narrowest identity that two requests share has a prefix.
func assertNarrowest(t *testing.T, a, b *proxyRequest, prefix string) {
	t.Helper()
	i := slices.IndexFunc(a.identify().copies, func(c crashes.Cause) bool { return slices.Contains(b.identify().copies, c) })
	switch {
	case i < 0 && prefix != "":
		t.Errorf("%v and %v share nothing, want %s", a.identify().copies, b.identify().copies, prefix)
	case i >= 0 && (prefix == "" || !strings.HasPrefix(string(a.identify().copies[i]), prefix)):
		t.Errorf("%v and %v share %s, want %q", a.identify().copies, b.identify().copies, a.identify().copies[i], prefix)
	}
}

// BenchmarkIdentities measures the identities of a request.
func BenchmarkIdentities(b *testing.B) {
	req := identified(func(req *proxyRequest) { req.body = make([]byte, benchmarkBodyBytes) })
	b.ReportAllocs()
	for b.Loop() {
		req.identity = nil
		req.identify()
	}
}

// Guards against hashes that another build computes in another way: quarantines come from
// daemons of all builds of a deployment.
func TestIdentitiesStayTheSame(t *testing.T) {
	want := []crashes.Cause{
		"request:bca54684aa43fe66721e544ec0eadd1a", "any-session:484546a9fc234e28a3ec0d9dc2945642", "any-prompt:e1cbdcae3819a937cba5096038a76fb4",
	}
	if got := identified(func(*proxyRequest) {}).identify().copies; !slices.Equal(got, want) {
		t.Errorf("the identities are %v, want %v", got, want)
	}
}
