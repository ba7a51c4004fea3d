package crashes

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an answer that clears a request long afterwards, since nothing else was
// answered meanwhile.
func TestAnswersAreForgotten(t *testing.T) {
	for name, idle := range map[string]bool{"no other answers": true, "an answer at the end": false} {
		t.Run(name, func(t *testing.T) {
			l := newCrashLog(t)
			l.d.RecordCompleted(l.now, copyOf("r", "session"))
			l.now = l.now.Add(2*wideSuccessRetention + time.Second)
			if !idle {
				l.d.RecordCompleted(l.now, copyOf("other", "another"))
			}
			for range quarantineStrikes - 1 {
				l.assertQuarantined(l.crash(copyOf("r", "session")))
			}
			l.assertQuarantined(l.crash(copyOf("r", "session")), RequestCause("rsession"))
		})
	}
}

// Guards against memory that grows with the number of prompts.
func TestRememberedPartsAreBounded(t *testing.T) {
	l := newCrashLog(t)
	for n := range 3 * maxRecentCauses {
		l.d.RecordCompleted(l.now, prompt(Cause(fmt.Sprint(n)), AnyPromptCause(fmt.Sprint(n))))
	}
	for _, a := range []*Answers{l.d.answers, l.d.wideAnswers} {
		if n := len(a.recent) + len(a.older); n > 2*maxRecentCauses {
			t.Errorf("%d causes are remembered, want at most %d", n, 2*maxRecentCauses)
		}
	}
}
