package admissions

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

var epoch = time.Unix(1_700_000_000, 0)

func request(id, workspace string, arrived time.Duration) gypsumshelf.Request {
	return gypsumshelf.Request{
		ID: gypsumshelf.RequestID(id), Workspace: workspace, PromptTokens: 1000, Arrived: epoch.Add(arrived),
		Class: gypsumshelf.Class{Name: "default", Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}},
	}
}

func newQueue() *Queue { return New(gypsumshelf.Request.FirstTokenDeadline) }

func assertOrder(t *testing.T, q *Queue, want ...gypsumshelf.RequestID) {
	t.Helper()
	var got []gypsumshelf.RequestID
	q.StartWaiting(func(r gypsumshelf.Request) bool {
		got = append(got, r.ID)
		return false
	})
	if !slices.Equal(got, want) {
		t.Fatalf("order is %v, want %v", got, want)
	}
}

// Guards against fairness changing the order while no workspace exceeds its fair
// share, and against requests of a workspace above its share starting first.
func TestOrder(t *testing.T) {
	q := newQueue()
	q.Push(request("a", "large", 0))
	q.Push(request("c", "large", 2*time.Second))
	q.Push(request("b", "small", time.Second))
	assertOrder(t, q, "a", "b", "c")
	q.RecordUsage(epoch, "large", 9000)
	q.RecordUsage(epoch, "small", 1000)
	assertOrder(t, q, "b", "a", "c")
	q.Remove("b")
	assertOrder(t, q, "a", "c")
}

// Guards against an unbounded queue and against a large workspace evicting a
// request of a small one or a retry.
func TestQueueIsBounded(t *testing.T) {
	q := newQueue()
	q.Push(request("retry", "large", time.Hour))
	if evicted := q.Offer(request("small", "small", time.Hour)); evicted != nil {
		t.Fatalf("%s was evicted from a queue that is not full", evicted.ID)
	}
	for i := range 2 * maxWaiting {
		evicted := q.Offer(request(fmt.Sprint(i), "large", 0))
		if evicted != nil && (evicted.ID == "retry" || evicted.ID == "small") {
			t.Fatalf("%s was evicted, want a request of the large workspace", evicted.ID)
		}
	}
	if q.Len() > maxWaiting {
		t.Fatalf("%d requests wait, want at most %d", q.Len(), maxWaiting)
	}
}

// Guards against admitting a request that no server can finish in time and against
// refusing one that a server can.
func TestDecide(t *testing.T) {
	fast := Estimate{FirstToken: 100 * time.Millisecond, Finish: 2 * time.Second}
	for _, c := range []struct {
		name    string
		servers []Estimate
		queue   time.Duration
		code    gypsumshelf.Code
	}{
		{"no server", nil, 0, gypsumshelf.CodeNoBackendServer},
		{"unknown speed", []Estimate{{}}, 0, ""},
		{"one of two in time", []Estimate{{Finish: 2 * time.Minute}, fast}, 0, ""},
		{"none in time", []Estimate{{Finish: 2 * time.Minute}}, 0, gypsumshelf.CodeDeadline},
		{"queue too long for the finish time", []Estimate{fast}, time.Minute, gypsumshelf.CodeDeadline},
		{"queue too long for the first token", []Estimate{fast}, 10 * time.Second, gypsumshelf.CodeOverloaded},
		{"long prompt may wait longer", []Estimate{{FirstToken: 5 * time.Second, Finish: 6 * time.Second}}, 10 * time.Second, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := Decide(epoch, request("a", "w", 0), c.servers, c.queue)
			switch {
			case err == nil && c.code != "":
				t.Fatalf("admitted, want %s", c.code)
			case err != nil && (err.Code != c.code || err.Verdict != gypsumshelf.NotRun):
				t.Fatalf("refused with %v, want code %q and not-run", err, c.code)
			}
		})
	}
}
