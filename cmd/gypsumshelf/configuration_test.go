package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/loadtests"
	"gypsumshelf.example/gypsumshelf/operators"
	"gypsumshelf.example/gypsumshelf/standins"
)

// leaseExpiry is longer than the longest lease of a daemon, which is 3 s.
const leaseExpiry = 5 * time.Second

// sendRequest sends a short request to a daemon and returns its outcome.
func (td *testDaemon) sendRequest(class, id string) loadtests.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return loadtests.NewCaller().Do(ctx, loadtests.Request{
		Address: td.addresses["callers"], Model: "quill", Class: class, RequestID: id, PromptTokens: 1_000, MaxTokens: 4, Seed: 1,
	})
}

// attemptsReceived returns the number of attempts that the stand-ins of a data
// centre received.
func attemptsReceived(f *standins.Fleet, dataCentre string) (n int) {
	for _, s := range f.Status() {
		if s.DataCentre == dataCentre {
			n += s.Arrivals
		}
	}
	return n
}

func (td *testDaemon) history(t testing.TB) (history []configs.AcceptedChange) {
	t.Helper()
	history, err := operators.NewClient(operators.ClientConfig{DaemonAddresses: []string{td.addresses["operators"]}}).History(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return history
}

func assertRecordedOnce(t testing.TB, history []configs.AcceptedChange, id string) {
	t.Helper()
	n := 0
	for _, r := range history {
		if r.CommandID == id {
			n++
		}
	}
	if n != 1 {
		t.Errorf("command %s is %d times in the history, want 1", id, n)
	}
}

// Guards against operator commands whose names, flags or exit codes differ from
// the documentation, and against refused commands that do not name the change
// that was accepted instead.
func TestOperatorCommands(t *testing.T) {
	d := startDeployment(t, 3, false)
	d.startEngines(3)
	all := []int{0, 1, 2}
	t.Run("every command", func(t *testing.T) {
		for _, line := range []string{
			"class set interactive --first-token 500ms --finish 10s", "class remove interactive",
			"name add data-centre wien-nord airport VIE", "data-centre take-out VIE", "data-centre bring-back wien-nord",
		} {
			r := d.requireAccepted(d.runOperator(all, strings.Fields(line)...))
			if !strings.Contains(r.stderr, "command-id: "+r.answer.CommandID) {
				t.Errorf("%s does not print its command id: %s", line, r.stderr)
			}
		}
	})
	t.Run("one of two operators wins", func(t *testing.T) {
		d.requireAccepted(d.runOperator([]int{0}, "class", "set", "a", "--first-token", "1s", "--finish", "9s", "--revision", "5", "--operator", "ada"))
		r := d.runOperator([]int{1}, "class", "set", "b", "--first-token", "1s", "--finish", "9s", "--revision", "5", "--operator", "bob")
		if r.code != 1 || r.answer.Winner == nil || r.answer.Winner.Operator != "ada" || !strings.Contains(r.stderr, "class set a") {
			t.Errorf("exit %d, answer %+v, stderr %s", r.code, r.answer, r.stderr)
		}
	})
	t.Run("same id at another daemon, then with another command", func(t *testing.T) {
		first := d.requireAccepted(d.runOperator([]int{0}, "data-centre", "take-out", "graz-sued", "--command-id", "mine"))
		again := d.requireAccepted(d.runOperator([]int{2}, "data-centre", "take-out", "graz-sued", "--command-id", "mine"))
		if first.answer.Revision != again.answer.Revision {
			t.Errorf("revisions %d and %d", first.answer.Revision, again.answer.Revision)
		}
		if r := d.runOperator(all, "data-centre", "take-out", "wien-nord", "--command-id", "mine"); r.code != 1 || r.answer.Code != configs.CodeCommandIDReused {
			t.Errorf("exit %d, answer %+v", r.code, r.answer)
		}
	})
	t.Run("usage errors", func(t *testing.T) {
		for _, line := range []string{"class", "class frob", "data-centre take-out", "class set a", "name add data-centre a b", "status --server localhost:1", "config history --output xml"} {
			if r := d.runOperator(all, strings.Fields(line)...); r.code != 2 {
				t.Errorf("%s: exit %d, want 2", line, r.code)
			}
		}
	})
	t.Run("classes apply to requests", func(t *testing.T) {
		d.waitRevision(1, 6)
		if out := d.daemons[1].sendRequest("a", ""); out.Err != nil {
			t.Error(out.Err)
		}
		if out := d.daemons[1].sendRequest("missing", ""); out.Code != gypsumshelf.CodeUnknownClass {
			t.Errorf("code %q", out.Code)
		}
	})
	t.Run("a daemon explains the request of another", func(t *testing.T) {
		if out := d.daemons[0].sendRequest("", "request-of-entry-1"); out.Err != nil {
			t.Fatal(out.Err)
		}
		r := d.runOperator([]int{2}, "explain", "request-of-entry-1")
		if r.code != 0 || !strings.Contains(r.stdout, "routed to") {
			t.Errorf("exit %d: %s %s", r.code, r.stdout, r.stderr)
		}
		if r := d.runOperator(all, "explain", "no-such-request"); r.code != 1 {
			t.Errorf("exit %d for an unknown request", r.code)
		}
	})
}

// Guards against a command that is lost or applied twice when the leader is
// killed before the operator has received the answer.
func TestLeaderKilledDuringCommand(t *testing.T) {
	d := startDeployment(t, 4, false)
	for round := range 3 {
		id := fmt.Sprintf("killed-%d", round)
		leader := d.leader()
		to := d.other(leader)
		args := []string{"data-centre", "take-out", fmt.Sprintf("dc-%d", round), "--command-id", id, "--revision", fmt.Sprint(round)}
		var wg sync.WaitGroup
		wg.Go(func() { d.runOperator([]int{leader}, args...) }) // may fail, as the leader is killed
		time.Sleep(time.Duration(round*15) * time.Millisecond)
		d.processes[leader].kill()
		again := d.requireAccepted(d.runOperator([]int{to}, args...))
		if again.answer.Revision != gypsumshelf.Revision(round+1) {
			t.Errorf("revision %d, want %d", again.answer.Revision, round+1)
		}
		wg.Wait()
		d.restart(leader)
		for i, td := range d.daemons {
			d.waitRevision(i, gypsumshelf.Revision(round+1))
			assertRecordedOnce(t, td.history(t), id)
		}
	}
}

// Guards against a daemon that, after it was suspended, sends new work to a
// data centre that was taken out in the meantime (R4 in docs/design.md).
func TestFrozenDaemonSendsNoNewWork(t *testing.T) {
	d := startDeployment(t, 4, false)
	fleet := d.startEngines(3)
	frozen := d.other(d.leader())
	td := d.daemons[frozen]
	if out := td.sendRequest("", ""); out.Err != nil {
		t.Fatal(out.Err)
	}
	d.signal(frozen, syscall.SIGSTOP)
	var wg sync.WaitGroup
	for range 20 { // these wait in the sockets of the suspended daemon
		wg.Go(func() { td.sendRequest("", "") })
	}
	r := d.requireAccepted(d.runOperator([]int{d.other(frozen)}, "data-centre", "take-out", "wien-nord"))
	time.Sleep(leaseExpiry)
	before := attemptsReceived(fleet, "wien-nord")
	d.signal(frozen, syscall.SIGCONT)
	for range 200 {
		td.sendRequest("", "")
	}
	wg.Wait()
	d.waitRevision(frozen, r.answer.Revision)
	d.waitReady(frozen)
	served := attemptsReceived(fleet, "linz-hafen") + attemptsReceived(fleet, "graz-sued")
	for range 20 {
		if out := td.sendRequest("", ""); out.Err != nil {
			t.Error(out.Err)
		}
	}
	if n := attemptsReceived(fleet, "wien-nord") - before; n > 0 {
		t.Errorf("%d attempts reached the data centre that was taken out", n)
	}
	if attemptsReceived(fleet, "linz-hafen")+attemptsReceived(fleet, "graz-sued") < served+20 {
		t.Error("the daemon does not serve requests after it continued")
	}
}

// Guards against a daemon that accepts work while it is partitioned from all
// others, a majority that stops serving without it, and a configuration that
// reverts to an older revision.
func TestCutOffDaemonRefuses(t *testing.T) {
	d := startDeployment(t, 4, true)
	fleet := d.startEngines(3)
	for _, who := range []string{"follower", "leader"} {
		t.Run(who, func(t *testing.T) {
			cut := d.leader()
			if who == "follower" {
				cut = d.other(cut)
			}
			rest := d.other(cut)
			d.setCutOff(cut, true)
			r := d.requireAccepted(d.runOperator([]int{rest}, "data-centre", "take-out", "wien-nord"))
			waitFor(t, "the daemon that is cut off refuses", func() bool {
				return d.daemons[cut].readyz() == http.StatusServiceUnavailable
			})
			before := attemptsReceived(fleet, "wien-nord")
			out := d.daemons[cut].sendRequest("", "")
			if out.Code != gypsumshelf.CodeNotReady || out.Verdict != gypsumshelf.NotRun {
				t.Errorf("code %q, verdict %s, %v", out.Code, out.Verdict, out.Err)
			}
			assertServed(t, d.daemons[rest], 1_000)
			d.setCutOff(cut, false)
			d.waitRevision(cut, r.answer.Revision)
			d.waitReady(cut)
			assertServed(t, d.daemons[cut], 1_000)
			if n := attemptsReceived(fleet, "wien-nord") - before; n > 0 {
				t.Errorf("%d attempts reached the data centre that was taken out", n)
			}
			d.requireAccepted(d.runOperator([]int{cut}, "data-centre", "bring-back", "wien-nord"))
		})
	}
}

// Guards against the loss of accepted changes when a daemon loses its disk.
func TestWipedDataFolder(t *testing.T) {
	d := startDeployment(t, 4, false)
	d.requireAccepted(d.runOperator([]int{0}, "class", "set", "interactive", "--first-token", "1s", "--finish", "9s", "--command-id", "kept"))
	for _, wiped := range []int{d.leader(), d.other(d.leader(), 3)} {
		d.processes[wiped].kill()
		if err := os.RemoveAll(d.daemons[wiped].dataFolder); err != nil {
			t.Fatal(err)
		}
		d.restart(wiped)
		d.waitReady(wiped)
		d.requireAccepted(d.runOperator([]int{wiped}, "data-centre", "take-out", fmt.Sprint("dc-", wiped)))
		assertRecordedOnce(t, d.daemons[wiped].history(t), "kept")
	}
	r := d.requireAccepted(d.runOperator([]int{3}, "class", "set", "interactive", "--first-token", "1s", "--finish", "9s", "--command-id", "kept"))
	if r.answer.Revision != 1 {
		t.Errorf("the resent command has revision %d, want 1 as in the first answer", r.answer.Revision)
	}
}

// Guards against a daemon without a data folder that does not become ready,
// leads, or serves after a restart without the configuration.
func TestDaemonWithoutDataFolder(t *testing.T) {
	d := startDeployment(t, 4, false)
	const diskless = 3
	td := d.daemons[diskless]
	d.processes[diskless].kill()
	td.dataFolder = ""
	td.writeSettings(t, td.peers)
	for round := range 2 {
		d.restart(diskless)
		d.waitReady(diskless)
		r := d.requireAccepted(d.runOperator([]int{diskless}, "data-centre", "take-out", fmt.Sprint("dc-", round)))
		if s, ok := td.status(); !ok || s.Revision != gypsumshelf.Revision(round+1) || r.answer.Revision != s.Revision {
			t.Errorf("status %+v, answer %+v, want revision %d", s, r.answer, round+1)
		}
		if d.leader() == diskless {
			t.Error("a daemon without a data folder is the leader")
		}
		d.processes[diskless].kill()
	}
}
