package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

// Guards against refusals that are not logged, and against lines that a log
// collector cannot parse or search by request ID.
func TestObserverLogsRefusalsAsJSON(t *testing.T) {
	var buffer bytes.Buffer
	log, err := New(Config{Writer: &buffer, Level: "info", Daemon: "wien-1"})
	if err != nil {
		t.Fatal(err)
	}
	refusal := attempts.Refuse{Request: "r1", Err: gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeDeadline, "no time left")}
	o := NewObserver(ObserverConfig{Log: log, Revision: func() gypsumshelf.Revision { return 7 }})
	o.Observe(time.Time{}, attempts.Arrived{}, []gypsumshelf.Effect{refusal})
	var line map[string]any
	if err := json.Unmarshal(buffer.Bytes(), &line); err != nil {
		t.Fatalf("log line %q: %v", buffer.String(), err)
	}
	for key, want := range map[string]string{
		KeyDaemon: "wien-1", KeyRequest: "r1", KeyCode: "deadline", KeyVerdict: "not-run", "msg": "no time left", KeyRevision: "7",
	} {
		if fmt.Sprint(line[key]) != want {
			t.Errorf("field %s is %v, want %s", key, line[key], want)
		}
	}
	t.Run("failed attempt is logged with its backend server and then forgotten", func(t *testing.T) {
		buffer.Reset()
		o.Observe(time.Time{}, attempts.Arrived{}, []gypsumshelf.Effect{attempts.Start{Request: "r2", Attempt: "r2.1", Server: "fk-01"}})
		o.Observe(time.Time{}, attempts.Failed{Attempt: "r2.1", Failure: refusal.Err}, nil)
		if err := json.Unmarshal(buffer.Bytes(), &line); err != nil || line[KeyServer] != "fk-01" {
			t.Errorf("log line %q: %v", buffer.String(), err)
		}
		if len(o.serverByAttempt) != 0 {
			t.Errorf("observer still holds %d ended attempts, want 0", len(o.serverByAttempt))
		}
	})
}
