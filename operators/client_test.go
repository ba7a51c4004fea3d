package operators

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
)

// fakeDaemon applies commands to a local state machine.
type fakeDaemon struct {
	state           *configs.State
	unknownOutcomes int // number of applied commands still to be reported as unknown
	receivedIDs     []string
}

func (f *fakeDaemon) operate(_ context.Context, c configs.OperatorCommand) (configs.Result, error) {
	f.receivedIDs = append(f.receivedIDs, c.CommandID)
	result := f.state.Apply(f.state.Index()+1, time.Now(), c)
	if f.unknownOutcomes > 0 {
		f.unknownOutcomes--
		return configs.Result{}, errors.New("no answer")
	}
	return result, nil
}

func (f *fakeDaemon) serve(t *testing.T) string {
	server := httptest.NewServer(New(Config{
		Execute: f.operate,
		Status: func(context.Context) (Status, bool) {
			return Status{Daemon: "entry-1", Revision: f.state.Revision()}, true
		},
		History: func(context.Context) ([]configs.AcceptedChange, bool) { return f.state.History(), true },
		Explain: func(_ context.Context, id gypsumshelf.RequestID) ([]attempts.Note, bool) {
			return []attempts.Note{{Text: "routed"}}, id == "a/b"
		},
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func command(id string, revision gypsumshelf.Revision, name string) configs.OperatorCommand {
	return configs.OperatorCommand{CommandID: id, Operator: "ada", Revision: revision, Change: configs.Change{Action: configs.ActionTakeOut, Name: name}}
}

// Guards against a client that does not try the next daemon when one is down,
// and against a command that is applied twice when its response is lost.
func TestClient(t *testing.T) {
	ctx := context.Background()
	f := &fakeDaemon{state: configs.New(), unknownOutcomes: 1}
	client := NewClient(ClientConfig{DaemonAddresses: []string{unusedAddress(t), f.serve(t)}})
	t.Run("resends under the same id", func(t *testing.T) {
		answer, err := client.Execute(ctx, command("a", 0, "wien-nord"))
		if err != nil || !answer.Accepted || answer.Revision != 1 || answer.CommandID != "a" {
			t.Fatalf("answer %+v, %v", answer, err)
		}
		if len(f.receivedIDs) != 2 || f.state.Revision() != 1 {
			t.Errorf("daemon received commands %v and is at revision %d, want 2 commands and revision 1", f.receivedIDs, f.state.Revision())
		}
	})
	t.Run("refusal names the winner", func(t *testing.T) {
		answer, err := client.Execute(ctx, command("b", 0, "linz-hafen"))
		if err != nil || answer.Accepted || answer.Winner == nil || answer.Winner.CommandID != "a" {
			t.Fatalf("answer %+v, %v", answer, err)
		}
	})
	t.Run("queries", func(t *testing.T) {
		status, err := client.Status(ctx)
		if err != nil || status.Revision != 1 {
			t.Errorf("status %+v, %v", status, err)
		}
		history, err := client.History(ctx)
		if err != nil || len(history) != 1 || history[0].CommandID != "a" {
			t.Errorf("history %+v, %v", history, err)
		}
		if notes, err := client.Explain(ctx, "a/b"); err != nil || len(notes) != 1 {
			t.Errorf("explanation %+v, %v", notes, err)
		}
		if _, err := client.Explain(ctx, "unknown"); err == nil || !strings.Contains(err.Error(), CodeUnknownRequest) {
			t.Errorf("explanation of an unknown request: error %v, want code %s", err, CodeUnknownRequest)
		}
	})
	t.Run("all daemons down", func(t *testing.T) {
		if _, err := NewClient(ClientConfig{DaemonAddresses: []string{unusedAddress(t)}}).Status(ctx); err == nil {
			t.Error("status query succeeded without a daemon, want an error")
		}
	})
}

// Guards against malformed commands that are proposed to the replicated log.
func TestHandlerRefusesMalformedCommands(t *testing.T) {
	f := &fakeDaemon{state: configs.New()}
	url := "http://" + f.serve(t) + "/commands"
	for _, body := range []string{
		"{", `{"command-id":"a"}`, `{"command-id":"a","operator":"ada","weight":3}`,
		`{"command-id":"a","operator":"ada","change":{"action":"class-set","first-token":"soon"}}`,
		`{"command-id":"` + strings.Repeat("a", maxCommandBytes) + `"}`,
	} {
		resp, err := http.Post(url, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest || len(f.receivedIDs) > 0 {
			t.Errorf("body %.60s: status %d, proposed commands %v; want status 400 and none", body, resp.StatusCode, f.receivedIDs)
		}
	}
}
