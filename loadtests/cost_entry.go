package loadtests

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/entries"
	"gypsumshelf.example/gypsumshelf/streams"
)

// discardResponseWriter is an http.ResponseWriter that discards the body.
type discardResponseWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardResponseWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardResponseWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardResponseWriter) WriteHeader(int) {}

// workspaceCosts measures the cost of a request in the entry handler, up to its
// refusal by the reducer, by the number of configured workspaces. The heap is that
// of one workspace name.
func workspaceCosts() costCurve {
	curve := costCurve{operation: "request at the entry", sizeUnit: "workspaces"}
	body := []byte(`{"model":"quill","prompt":"` + Prompt(1, 4_000) + `","max_tokens":256,"stream":true}`)
	for _, n := range []int{10, 4_700, 47_000} {
		var names []string
		namesCost := measureCost(1, func(int) {
			for i := range n {
				names = append(names, fmt.Sprintf("workspace-%06d", i))
			}
		})
		h := newRefusingHandler(names)
		c := measureCost(eventsPerSample/10, func(i int) {
			r, err := http.NewRequest(http.MethodPost, "http://x/v1/completions", bytes.NewReader(body))
			if err != nil {
				panic(err)
			}
			r.Header.Set(entries.HeaderWorkspace, names[i*7919%n])
			h.ServeHTTP(discardResponseWriter{http.Header{}}, r)
		})
		c.heapBytes = namesCost.heapBytes / float64(n)
		curve.samples = append(curve.samples, costSample{n, c})
	}
	return curve
}

// newRefusingHandler returns a handler for callers that refuses every request as
// soon as it is submitted.
func newRefusingHandler(workspaces []string) *entries.Handler {
	var h *entries.Handler
	h = entries.New(entries.Config{
		Submit: func(ev gypsumshelf.Event) {
			if e, ok := ev.(attempts.Arrived); ok {
				h.Refuse(attempts.Refuse{Request: e.Request.ID, Err: gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeOverloaded, "measured")})
			}
		},
		Class: func(_ context.Context, name string) (gypsumshelf.Class, bool) {
			return gypsumshelf.Class{Name: name, Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}}, true
		},
		Workspaces: workspaces, MaxBodyBytes: 16 << 20, Now: time.Now,
	})
	return h
}

// tokenCosts measures the cost of reading the chunk of one token from an engine and
// encoding it for the caller, by the length of the stream.
func tokenCosts() costCurve {
	curve := costCurve{operation: "token read and encoded", sizeUnit: "tokens in a stream"}
	for _, n := range []int{64, 1_024, 16_384} {
		var stream bytes.Buffer
		for i := range n {
			c := streams.Chunk{ID: "a.1", Position: &i, Tokens: 1, Choices: []streams.Choice{{Text: "0123456789ab "}}}
			if i == n-1 {
				reason := "stop"
				c.Choices[0].FinishReason = &reason
			}
			data, err := json.Marshal(c)
			if err != nil {
				panic(err)
			}
			fmt.Fprintf(&stream, "data: %s\n\n", data)
		}
		stream.WriteString("data: [DONE]\n\n")
		rounds := max(1, eventsPerSample/n)
		c := measureCost(rounds, func(int) { readStream(stream.Bytes()) })
		c.cpu /= time.Duration(n)
		c.heapBytes /= float64(n)
		c.wireBytes = float64(stream.Len()) / float64(n)
		curve.samples = append(curve.samples, costSample{n, c})
	}
	return curve
}

// readStream reads an engine's stream and encodes each chunk for the caller.
func readStream(data []byte) {
	r := streams.NewReader(streams.ReaderConfig{Source: bytes.NewReader(data), AttemptID: "a.1"})
	for {
		chunk, err := r.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(err)
		}
		if _, err := json.Marshal(chunk); err != nil {
			panic(err)
		}
	}
}
