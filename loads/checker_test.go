package loads

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/standins"
)

const testPrompt = "a prompt"

func tok(i int) string { return standins.Token(testPrompt, i) }

func part(id, text, rest string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"text\":%q%s}]}\n\n", id, text, rest)
}

const (
	finish = `,"finish_reason":"stop"`
	end    = "data: [DONE]\n\n"
)

func newTestChecker(n int) *checker {
	return newChecker(Order{RequestID: "r", MaxTokens: n}, testPrompt, time.Now())
}

// Guards against a wrong answer that is counted as whole or as an honest failure.
func TestStreamCheck(t *testing.T) {
	failure := `data: {"error":{"code":"broken-stream","text":"x","verdict":"may-have-run"}}` + "\n\n"
	for _, tc := range []struct {
		name, stream string
		want         Result
	}{
		{"whole", part("r", tok(0), "") + part("r", tok(1), finish) + end, Whole},
		{"two tokens in a part", part("r", tok(0)+tok(1), finish) + end, Whole},
		{"foreign id", part("other", tok(0), "") + part("r", tok(1), finish) + end, Wrong},
		{"foreign token", part("r", standins.Token("other", 0), "") + part("r", tok(1), finish) + end, Wrong},
		{"foreign token, then an error", part("r", standins.Token("other", 0), "") + failure, Wrong},
		{"missing first token", part("r", tok(1), finish) + end, Wrong},
		{"missing last token", part("r", tok(0), finish) + end, Wrong},
		{"repeated token", part("r", tok(0), "") + part("r", tok(0), "") + part("r", tok(1), finish) + end, Wrong},
		{"surplus token", part("r", tok(0), "") + part("r", tok(1), "") + part("r", tok(2), finish) + end, Wrong},
		{"whole without finish reason", part("r", tok(0), "") + part("r", tok(1), "") + end, Wrong},
		{"end marker only", end, Wrong},
		{"malformed", "data: {\n\n" + end, Wrong},
		{"no end marker", part("r", tok(0), "") + part("r", tok(1), finish), Broken},
		{"reported error", part("r", tok(0), "") + failure, Broken},
		{"nothing", "", Broken},
	} {
		out := newTestChecker(2).stream(strings.NewReader(tc.stream))
		assertResult(t, tc.name, out, tc.want)
	}
	out := newTestChecker(2).stream(strings.NewReader(failure))
	if out.Code != gypsumshelf.CodeBrokenStream || out.Verdict != gypsumshelf.MayHaveRun {
		t.Errorf("reported error: got code %q, verdict %s", out.Code, out.Verdict)
	}
}

func assertResult(t *testing.T, name string, out Outcome, want Result) {
	t.Helper()
	if out.Result != want || (out.Err == nil) != (want == Whole) {
		t.Errorf("%s: got %q (%v), want %q", name, out.Result, out.Err, want)
	}
}

// Guards against a cut off or foreign answer that is not streamed.
func TestWholeCheck(t *testing.T) {
	body := func(id, text, rest string) string {
		return strings.TrimPrefix(strings.TrimSpace(part(id, text, rest)), "data: ")
	}
	for _, tc := range []struct {
		name, body string
		want       Result
	}{
		{"whole", body("r", tok(0)+tok(1), finish), Whole},
		{"missing token", body("r", tok(0), finish), Wrong},
		{"foreign", body("other", tok(0)+tok(1), finish), Wrong},
		{"cut off", body("r", tok(0)+tok(1), finish)[:20], Wrong},
	} {
		assertResult(t, tc.name, newTestChecker(2).whole(strings.NewReader(tc.body)), tc.want)
	}
}

// Guards against a verdict on plain calls that is not compared with the counters.
func TestPlainCheck(t *testing.T) {
	for _, tc := range []struct {
		name          string
		call          plainCall
		runs          int
		twice, untrue int
	}{
		{"answered, ran once", plainCall{post: true, ok: true, verdict: gypsumshelf.Ran}, 1, 0, 0},
		{"answered, ran twice", plainCall{post: true, ok: true, verdict: gypsumshelf.Ran}, 2, 1, 0},
		{"answered, never ran", plainCall{post: true, ok: true, verdict: gypsumshelf.Ran}, 0, 0, 1},
		{"not-run, ran", plainCall{post: true, verdict: gypsumshelf.NotRun}, 1, 0, 1},
		{"not-run, never ran", plainCall{post: true, verdict: gypsumshelf.NotRun}, 0, 0, 0},
		{"may-have-run, ran", plainCall{post: true, verdict: gypsumshelf.MayHaveRun}, 1, 0, 0},
		{"not-run copy of a call that ran", plainCall{post: true, key: true, again: true, verdict: gypsumshelf.NotRun}, 1, 0, 0},
		{"repeatable call", plainCall{ok: true, verdict: gypsumshelf.Ran}, 0, 0, 0},
	} {
		p := newPlainRecorder()
		tc.call.id = "x"
		p.add(tc.call, "x", "")
		got := p.check(map[string]int{"x": tc.runs})
		if got.Twice != tc.twice || got.Untrue != tc.untrue || (got.Err() == nil) != (tc.twice+tc.untrue == 0) {
			t.Errorf("%s: got %+v", tc.name, got)
		}
	}
	p := newPlainRecorder()
	p.add(plainCall{id: "x", ok: true}, "y", "")
	if p.report.Foreign != 1 {
		t.Error("answer to another call is not counted")
	}
}
