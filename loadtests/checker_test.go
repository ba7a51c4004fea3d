package loadtests

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/standins"
)

const testPrompt = "a prompt"

func tokenText(i int) string { return standins.Token(testPrompt, i) }

func streamEvent(id, text, extraFields string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"text\":%q%s}]}\n\n", id, text, extraFields)
}

const (
	finishReasonField = `,"finish_reason":"stop"`
	doneEvent         = "data: [DONE]\n\n"
)

func newTestChecker(n int) *checker {
	return newChecker(Request{RequestID: "r", MaxTokens: n}, testPrompt, time.Now())
}

// Guards against a wrong answer that is counted as whole or as a reported failure.
func TestCheckStream(t *testing.T) {
	failure := `data: {"error":{"code":"broken-stream","text":"x","verdict":"may-have-run"}}` + "\n\n"
	for _, tc := range []struct {
		name, stream string
		want         Result
	}{
		{"whole", streamEvent("r", tokenText(0), "") + streamEvent("r", tokenText(1), finishReasonField) + doneEvent, Whole},
		{"two tokens in a part", streamEvent("r", tokenText(0)+tokenText(1), finishReasonField) + doneEvent, Whole},
		{"foreign id", streamEvent("other", tokenText(0), "") + streamEvent("r", tokenText(1), finishReasonField) + doneEvent, Wrong},
		{"foreign token", streamEvent("r", standins.Token("other", 0), "") + streamEvent("r", tokenText(1), finishReasonField) + doneEvent, Wrong},
		{"foreign token, then an error", streamEvent("r", standins.Token("other", 0), "") + failure, Wrong},
		{"missing first token", streamEvent("r", tokenText(1), finishReasonField) + doneEvent, Wrong},
		{"missing last token", streamEvent("r", tokenText(0), finishReasonField) + doneEvent, Wrong},
		{"repeated token", streamEvent("r", tokenText(0), "") + streamEvent("r", tokenText(0), "") + streamEvent("r", tokenText(1), finishReasonField) + doneEvent, Wrong},
		{"surplus token", streamEvent("r", tokenText(0), "") + streamEvent("r", tokenText(1), "") + streamEvent("r", tokenText(2), finishReasonField) + doneEvent, Wrong},
		{"whole without finish reason", streamEvent("r", tokenText(0), "") + streamEvent("r", tokenText(1), "") + doneEvent, Wrong},
		{"end marker only", doneEvent, Wrong},
		{"malformed", "data: {\n\n" + doneEvent, Wrong},
		{"no end marker", streamEvent("r", tokenText(0), "") + streamEvent("r", tokenText(1), finishReasonField), Broken},
		{"reported error", streamEvent("r", tokenText(0), "") + failure, Broken},
		{"nothing", "", Broken},
	} {
		out := newTestChecker(2).checkStream(strings.NewReader(tc.stream))
		checkResult(t, tc.name, out, tc.want)
	}
	out := newTestChecker(2).checkStream(strings.NewReader(failure))
	if out.Code != gypsumshelf.CodeBrokenStream || out.Verdict != gypsumshelf.MayHaveRun {
		t.Errorf("reported error: got code %q, verdict %s", out.Code, out.Verdict)
	}
}

func checkResult(t *testing.T, name string, out Outcome, want Result) {
	t.Helper()
	if out.Result != want || (out.Err == nil) != (want == Whole) {
		t.Errorf("%s: got %q (%v), want %q", name, out.Result, out.Err, want)
	}
}

// Guards against an answer that is not streamed and is accepted although it is cut off
// or belongs to another request.
func TestCheckNonStreaming(t *testing.T) {
	body := func(id, text, extraFields string) string {
		return strings.TrimPrefix(strings.TrimSpace(streamEvent(id, text, extraFields)), "data: ")
	}
	for _, tc := range []struct {
		name, body string
		want       Result
	}{
		{"whole", body("r", tokenText(0)+tokenText(1), finishReasonField), Whole},
		{"missing token", body("r", tokenText(0), finishReasonField), Wrong},
		{"foreign", body("other", tokenText(0)+tokenText(1), finishReasonField), Wrong},
		{"cut off", body("r", tokenText(0)+tokenText(1), finishReasonField)[:20], Wrong},
	} {
		checkResult(t, tc.name, newTestChecker(2).checkNonStreaming(strings.NewReader(tc.body)), tc.want)
	}
}

// Guards against false verdicts on plain calls that are not detected by comparison with
// the run counts.
func TestComparePlainCallsWithRuns(t *testing.T) {
	for _, tc := range []struct {
		name          string
		call          plainCall
		runs          int
		twice, untrue int
	}{
		{"answered, ran once", plainCall{nonIdempotent: true, answered: true, verdict: gypsumshelf.Ran}, 1, 0, 0},
		{"answered, ran twice", plainCall{nonIdempotent: true, answered: true, verdict: gypsumshelf.Ran}, 2, 1, 0},
		{"answered, never ran", plainCall{nonIdempotent: true, answered: true, verdict: gypsumshelf.Ran}, 0, 0, 1},
		{"not-run, ran", plainCall{nonIdempotent: true, verdict: gypsumshelf.NotRun}, 1, 0, 1},
		{"not-run, never ran", plainCall{nonIdempotent: true, verdict: gypsumshelf.NotRun}, 0, 0, 0},
		{"may-have-run, ran", plainCall{nonIdempotent: true, verdict: gypsumshelf.MayHaveRun}, 1, 0, 0},
		{"not-run copy of a call that ran", plainCall{nonIdempotent: true, hasKey: true, sentTwice: true, verdict: gypsumshelf.NotRun}, 1, 0, 0},
		{"repeatable call", plainCall{answered: true, verdict: gypsumshelf.Ran}, 0, 0, 0},
	} {
		p := newPlainRecorder()
		tc.call.id = "x"
		p.add(tc.call, "x", "")
		got := p.compareWithRuns(map[string]int{"x": tc.runs})
		if got.DuplicateRuns != tc.twice || got.FalseVerdicts != tc.untrue || (got.Err() == nil) != (tc.twice+tc.untrue == 0) {
			t.Errorf("%s: got %+v", tc.name, got)
		}
	}
	p := newPlainRecorder()
	p.add(plainCall{id: "x", answered: true}, "y", "")
	if p.report.MismatchedAnswers != 1 {
		t.Error("answer to another call is not counted")
	}
}
