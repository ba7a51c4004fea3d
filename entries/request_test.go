package entries

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

func newTestHandler() *Handler {
	return New(Config{
		MaxBodyBytes: 1 << 10, Now: time.Now, Workspaces: []string{"", "small"},
		Class: func(_ context.Context, name string) (gypsumshelf.Class, bool) {
			return gypsumshelf.Class{Name: name}, name == gypsumshelf.DefaultClassName
		},
		Submit: func(gypsumshelf.Event) { panic("an invalid request reached the reducer") },
	})
}

// Guards against an invalid request that is admitted, or that is refused without
// an error code or the verdict not-run.
func TestInvalidInput(t *testing.T) {
	for _, tt := range []struct {
		name, body, header, value string
		code                      gypsumshelf.Code
	}{
		{"not JSON", `{`, "", "", gypsumshelf.CodeBadRequest},
		{"empty", ``, "", "", gypsumshelf.CodeBadRequest},
		{"no model", `{"prompt":"p"}`, "", "", gypsumshelf.CodeBadRequest},
		{"no prompt", `{"model":"m"}`, "", "", gypsumshelf.CodeBadRequest},
		{"negative length", `{"model":"m","prompt":"p","max_tokens":-1}`, "", "", gypsumshelf.CodeBadRequest},
		{"length that overflows", `{"model":"m","prompt":"p","max_tokens":9223372036854775807}`, "", "", gypsumshelf.CodeBadRequest},
		{"body too large", strings.Repeat(" ", 2<<10), "", "", gypsumshelf.CodeBodyTooLarge},
		{"unknown class", `{"model":"m","prompt":"p"}`, HeaderClass, "c", gypsumshelf.CodeUnknownClass},
		{"unknown workspace", `{"model":"m","prompt":"p"}`, HeaderWorkspace, "w", gypsumshelf.CodeUnknownWorkspace},
		{"request id that ends a path", `{"model":"m","prompt":"p"}`, HeaderRequestID, "a/../b", gypsumshelf.CodeBadRequest},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(tt.body))
			if tt.header != "" {
				r.Header.Set(tt.header, tt.value)
			}
			w := httptest.NewRecorder()
			newTestHandler().ServeHTTP(w, r)
			var body errorBody
			if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || body.Code != tt.code || body.RequestID == "" ||
				w.Header().Get(HeaderVerdict) != "not-run" || w.Code < 400 {
				t.Errorf("status %d, body %s, want code %s", w.Code, w.Body, tt.code)
			}
		})
	}
}

// Guards against an empty list of workspaces that lets requests of any workspace in.
func TestListOfWorkspaces(t *testing.T) {
	for _, c := range []struct {
		name       string
		workspaces []string
		want       gypsumshelf.Code
	}{
		{"no list", nil, gypsumshelf.CodeUnknownClass}, // the class is checked next
		{"empty list", []string{}, gypsumshelf.CodeUnknownWorkspace},
		{"list without it", []string{"v"}, gypsumshelf.CodeUnknownWorkspace},
		{"list with it", []string{"w"}, gypsumshelf.CodeUnknownClass},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := New(Config{MaxBodyBytes: 1 << 10, Now: time.Now, Workspaces: c.workspaces, Class: func(context.Context, string) (gypsumshelf.Class, bool) {
				return gypsumshelf.Class{}, false
			}})
			r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
			r.Header.Set(HeaderWorkspace, "w")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			var body errorBody
			if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || body.Code != c.want {
				t.Errorf("status %d, body %s, want code %s", w.Code, w.Body, c.want)
			}
		})
	}
}

// FuzzRequest guards against a body that causes a panic, is admitted without its
// required fields, or is sent to the engine without streaming.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":4,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"p"}],"stream":false,"top_p":0.5}`))
	f.Add([]byte(`{"model":"m","prompt":null}`))
	h := newTestHandler()
	f.Fuzz(func(t *testing.T, data []byte) {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewReader(data))
		req, body, failure := h.parseCompletion(httptest.NewRecorder(), r)
		if failure != nil {
			if failure.Verdict != gypsumshelf.NotRun {
				t.Fatalf("refused with verdict %s, want not-run", failure.Verdict)
			}
			return
		}
		if req.Model == "" || req.PromptTokens < 1 || req.MaxTokens < 1 || !req.Idempotent {
			t.Fatalf("request %+v was admitted, want a model, at least 1 prompt token and 1 generated token, and idempotent", req)
		}
		var sent, got map[string]json.RawMessage
		if json.Unmarshal(data, &sent) != nil || json.Unmarshal(body.data, &got) != nil {
			t.Fatalf("body %q is sent as %q, want both as JSON objects", data, body.data)
		}
		if !body.stream && string(got["stream"]) != "true" {
			t.Fatalf("body %q does not ask the engine for a stream", body.data)
		}
	})
}

// Guards against a body that names the model by an alias which the engine does
// not know, and against a rewrite of the body that loses other fields.
func TestBodyUsesModelNameOfEngine(t *testing.T) {
	original := `{"model":"model-7","prompt":"p","max_tokens":3}`
	for _, tt := range []struct{ name, want string }{
		{"", original},
		{"model-7", original},
		{"quill", `{"max_tokens":3,"model":"quill","prompt":"p"}`},
	} {
		b := &body{data: []byte(original), model: "model-7"}
		if got := string(b.withModel(tt.name)); got != tt.want {
			t.Errorf("body for model %q is %s, want %s", tt.name, got, tt.want)
		}
	}
}
