package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

func scrape(r *Recorder) string {
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func assertScraped(t *testing.T, r *Recorder, lines ...string) {
	t.Helper()
	text := scrape(r)
	for _, line := range lines {
		if !strings.Contains(text, line) {
			t.Errorf("scraped metrics do not contain %q", line)
		}
	}
}

// Guards against requests that are counted twice, not at all or with a wrong
// verdict, and against state that is kept after a request has ended.
func TestRecorderCountsEachRequestOnce(t *testing.T) {
	r := New()
	now := time.Unix(1000, 0)
	arrive := func(id gypsumshelf.RequestID, tokens int) {
		r.Observe(now, attempts.Arrived{Request: gypsumshelf.Request{ID: id, PromptTokens: tokens, Arrived: now}},
			[]gypsumshelf.Effect{attempts.Start{Request: id, Attempt: gypsumshelf.AttemptID(id + ".1")}})
	}
	t.Run("whole answer", func(t *testing.T) {
		arrive("a", 1000)
		r.Observe(now.Add(300*time.Millisecond), attempts.FirstToken{Attempt: "a.1"}, nil)
		r.Observe(now.Add(time.Second), attempts.Ended{Attempt: "a.1"}, []gypsumshelf.Effect{attempts.Finish{Request: "a"}})
		assertScraped(t, r, `gypsumshelf_requests_total{code="ok",verdict="ran"} 1`,
			`gypsumshelf_first_token_seconds_sum{prompt_tokens="le-2000"} 0.3`)
	})
	t.Run("refusal", func(t *testing.T) {
		arrive("b", 200_000)
		refusal := attempts.Refuse{Request: "b", Err: gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeDeadline, "late")}
		r.Observe(now, attempts.Failed{Attempt: "b.1", Failure: refusal.Err}, []gypsumshelf.Effect{refusal})
		r.Observe(now, attempts.CallerGone{Request: "b"}, nil)
		assertScraped(t, r, `gypsumshelf_requests_total{code="deadline",verdict="not-run"} 1`, `gypsumshelf_requests_in_progress 0`)
	})
	if len(r.openRequests) != 0 || len(r.requestByAttempt) != 0 {
		t.Errorf("recorder still holds %d requests and %d attempts, want none", len(r.openRequests), len(r.requestByAttempt))
	}
}

// leaderless is a member that has heard no leader for a while.
type leaderless struct{}

func (leaderless) IsLeader() bool                  { return false }
func (leaderless) Voters() int                     { return 5 }
func (leaderless) Condition() string               { return "halted" }
func (leaderless) LeaderMissingFor() time.Duration { return 4 * time.Second }
func (leaderless) MembersHeard() int               { return 3 }
func (leaderless) Elections() uint64               { return 7 }

// Guards against a missing leader that no metric shows.
func TestReplicationIsScraped(t *testing.T) {
	r := New()
	RegisterReplication(r, leaderless{})
	assertScraped(t, r, "gypsumshelf_leader 0", "gypsumshelf_voters 5", "gypsumshelf_leader_missing_seconds 4", "gypsumshelf_members_heard 3",
		"gypsumshelf_elections_total 7", `gypsumshelf_log_state{state="halted"} 1`)
}
