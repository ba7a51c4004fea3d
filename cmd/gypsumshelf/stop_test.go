package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/entries"
	"gypsumshelf.example/gypsumshelf/loadtests"
	"gypsumshelf.example/gypsumshelf/standins"
)

// startDaemonsWithFleet starts three daemons with a fleet of stand-ins behind
// them.
func startDaemonsWithFleet(t *testing.T, cfg standins.FleetConfig) ([]*testDaemon, []*process) {
	t.Helper()
	d := startDeployment(t, 3, false)
	for _, td := range d.daemons {
		cfg.DaemonAddresses = append(cfg.DaemonAddresses, td.addresses["backend-servers"])
	}
	cfg.AnnouncePeriod, cfg.DataCentres = 200*time.Millisecond, []string{"wien-nord", "linz-hafen", "graz-sued"}
	cfg.Service, cfg.Engine.Model, cfg.Engine.PrefillRate = "federkiel", "quill", 1e6
	fleet, err := standins.NewFleet(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	for _, td := range d.daemons {
		waitForServers(t, td, cfg.Engines+cfg.PlainServers)
	}
	return d.daemons, d.processes
}

// startLongRequest starts a request that takes about two seconds. It returns
// after the first token has arrived; the channel yields the outcome.
func startLongRequest(t *testing.T, td *testDaemon) <-chan loadtests.Outcome {
	t.Helper()
	id := fmt.Sprintf("long-%s", td.name)
	ended, out := tryLongRequest(t, td, id)
	if ended == nil && td.lostLeaseInPause(out) {
		t.Logf("%s: %v, after a pause", id, out.Err)
		td.waitReady(t)
		ended, out = tryLongRequest(t, td, id+"-again")
	}
	if ended == nil {
		t.Fatalf("%s ended before its first token: %v", id, out.Err)
	}
	return ended
}

// tryLongRequest returns nil and the outcome if the request ends before its first token.
func tryLongRequest(t *testing.T, td *testDaemon, id string) (<-chan loadtests.Outcome, loadtests.Outcome) {
	t.Helper()
	ended := make(chan loadtests.Outcome, 1)
	go func() {
		ended <- loadtests.NewCaller().Do(context.Background(), loadtests.Request{
			Address: td.addresses["callers"], Model: "quill", PromptTokens: 1000, MaxTokens: 20, Seed: 7, RequestID: id,
		})
	}()
	waitFor(t, "first token of "+id, func() bool { return len(ended) > 0 || td.explains(id, "first token") })
	if td.explains(id, "first token") {
		return ended, loadtests.Outcome{}
	}
	return nil, <-ended
}

// explains reports whether a daemon's notes on a request contain a text.
func (td *testDaemon) explains(id, text string) bool {
	resp, err := http.Get("http://" + td.addresses["operators"] + "/explain/" + id)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(body), text)
}

func slowFleet() standins.FleetConfig {
	return standins.FleetConfig{Engines: 3, Engine: standins.EngineConfig{TokenInterval: 100 * time.Millisecond}}
}

func readRefusal(t *testing.T, resp *http.Response) (code gypsumshelf.Code, verdict string) {
	t.Helper()
	defer resp.Body.Close()
	var body struct {
		Code gypsumshelf.Code `json:"code"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&body)
	return body.Code, resp.Header.Get(entries.HeaderVerdict)
}

// Guards against a graceful stop that interrupts a request in progress, accepts
// new requests, or exits with a status other than 0.
func TestPlannedStop(t *testing.T) {
	daemons, processes := startDaemonsWithFleet(t, slowFleet())
	ended := startLongRequest(t, daemons[0])
	_ = processes[0].cmd.Process.Signal(syscall.SIGTERM)
	url := "http://" + daemons[0].addresses["callers"]
	waitFor(t, "not ready", func() bool {
		resp, err := http.Get(url + "/readyz")
		if err != nil {
			t.Fatalf("daemon stopped before its request ended: %v", err)
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	resp, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(`{"model":"quill","prompt":"p"}`))
	if err != nil {
		t.Fatal(err)
	}
	if code, verdict := readRefusal(t, resp); code != gypsumshelf.CodeStopping || verdict != "not-run" {
		t.Errorf("new request got %s with verdict %s", code, verdict)
	}
	if out := <-ended; out.Err != nil {
		t.Errorf("request in progress: %v", out.Err)
	}
	if err := processes[0].cmd.Wait(); err != nil {
		t.Errorf("daemon exited with %v, want status 0", err)
	}
}

// Guards against a second stop signal that is ignored, or that interrupts
// requests without logging their ids.
func TestSecondStopSignal(t *testing.T) {
	daemons, processes := startDaemonsWithFleet(t, slowFleet())
	ended := startLongRequest(t, daemons[0])
	_ = processes[0].cmd.Process.Signal(syscall.SIGTERM)
	waitFor(t, "stop to begin", func() bool { return strings.Contains(processes[0].log.String(), "stopping") })
	_ = processes[0].cmd.Process.Signal(syscall.SIGTERM)
	if err := processes[0].cmd.Wait(); err == nil {
		t.Error("daemon exited with status 0 although it interrupted a request")
	}
	if out := <-ended; out.Err == nil {
		t.Error("request was not interrupted")
	}
	if log := processes[0].log.String(); !strings.Contains(log, "long-"+daemons[0].name) {
		t.Errorf("log does not name the interrupted request:\n%s", log)
	}
}

// interruptedRequest is a request whose daemon is interrupted.
type interruptedRequest struct {
	url, id string

	code    gypsumshelf.Code
	verdict string
	err     error
	ended   time.Time
}

func (r *interruptedRequest) run() {
	defer func() { r.ended = time.Now() }()
	body := fmt.Sprintf(`{"model":"quill","prompt":%q,"max_tokens":40}`, strings.Repeat("four", 1000))
	req, err := http.NewRequest(http.MethodPost, r.url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		r.err = err
		return
	}
	req.Header.Set(entries.HeaderRequestID, r.id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	r.verdict = resp.Header.Get(entries.HeaderVerdict)
	var answer struct {
		Code gypsumshelf.Code `json:"code"`
	}
	if r.err = json.NewDecoder(resp.Body).Decode(&answer); r.err == nil {
		r.code = answer.Code
	}
}

// Guards against requests that wait, when a stop begins, until those at work have ended or
// their deadlines have passed, and against a stop that ends those at work.
func TestPlannedStopRefusesWaitingRequests(t *testing.T) {
	daemons, processes := startDaemonsWithFleet(t, oneSmallEngine())
	requests, wait := startTooManyRequests(t, daemons[0])
	signalled := time.Now()
	_ = processes[0].cmd.Process.Signal(syscall.SIGTERM)
	wait()
	if err := processes[0].cmd.Wait(); err != nil {
		t.Errorf("daemon exited with %v, want status 0", err)
	}
	const atOnce = time.Second // allows for a busy machine; an answer takes 4 s
	codes := map[gypsumshelf.Code]int{}
	for _, r := range requests {
		codes[r.code]++
		took := r.ended.Sub(signalled)
		isRefusal := r.code == gypsumshelf.CodeStopping && r.verdict == "not-run" && took < atOnce
		if r.err != nil || r.code != "" && !isRefusal {
			t.Errorf("%s ended %v after the signal with code %q, verdict %q, error %v, want an answer or a refusal at once", r.id, took, r.code, r.verdict, r.err)
		}
	}
	if codes[""] == 0 || codes[gypsumshelf.CodeStopping] == 0 {
		t.Errorf("the codes are %v, want some of requests that waited and some of those at work", codes)
	}
}

// oneSmallEngine has memory for two of the requests of startTooManyRequests.
func oneSmallEngine() standins.FleetConfig {
	return standins.FleetConfig{Engines: 1, Engine: standins.EngineConfig{TokenInterval: 100 * time.Millisecond, MemoryTokens: 2500}}
}

// startTooManyRequests sends more requests than one small engine takes and returns when one
// of them has its first token. The returned function waits for their ends.
func startTooManyRequests(t *testing.T, td *testDaemon) (requests []*interruptedRequest, wait func()) {
	t.Helper()
	var wg sync.WaitGroup
	requests = make([]*interruptedRequest, 6)
	for i := range requests {
		requests[i] = &interruptedRequest{url: "http://" + td.addresses["callers"], id: fmt.Sprint("stopped-", i)}
		wg.Go(requests[i].run)
	}
	begun := func(r *interruptedRequest) bool { return td.explains(r.id, "first token") }
	waitFor(t, "a first token", func() bool { return slices.ContainsFunc(requests, begun) })
	return requests, wg.Wait
}

// Guards against a second stop signal that cuts requests without an answer, and against
// answers and log lines which say that their callers have left.
func TestSecondStopSignalAnswersRequests(t *testing.T) {
	daemons, processes := startDaemonsWithFleet(t, oneSmallEngine())
	requests, wait := startTooManyRequests(t, daemons[0])
	_ = processes[0].cmd.Process.Signal(syscall.SIGTERM)
	waitFor(t, "stop to begin", func() bool { return strings.Contains(processes[0].log.String(), "stopping") })
	_ = processes[0].cmd.Process.Signal(syscall.SIGTERM)
	if err := processes[0].cmd.Wait(); err == nil {
		t.Error("daemon exited with status 0 although it interrupted requests")
	}
	wait()
	verdicts := map[string]int{}
	for _, r := range requests {
		verdicts[r.verdict]++
		want := map[string]gypsumshelf.Code{"not-run": gypsumshelf.CodeStopping, "may-have-run": gypsumshelf.CodeInterrupted}[r.verdict]
		if r.err != nil || r.code != want {
			t.Errorf("%s ended with code %q, verdict %q, error %v", r.id, r.code, r.verdict, r.err)
		}
	}
	if verdicts["not-run"] == 0 || verdicts["may-have-run"] == 0 {
		t.Errorf("the verdicts are %v, want some of requests that waited and some of those at work", verdicts)
	}
}

// Guards against a call with an idempotency key that runs again when it is
// resent to another daemon, and against a request that crashes engines and,
// resent under new ids to other daemons, crashes more than two of them.
func TestResends(t *testing.T) {
	daemons, _ := startDaemonsWithFleet(t, standins.FleetConfig{
		Engines: 4, PlainServers: 1, PlainService: "book", RestartAfter: 300 * time.Millisecond,
		Engine: standins.EngineConfig{TokenInterval: time.Millisecond, CrashMark: "poison"},
	})
	t.Run("keyed call", func(t *testing.T) {
		var answers []string
		for i, td := range daemons {
			r, _ := http.NewRequest(http.MethodPost, "http://"+td.addresses["callers"]+"/services/book/orders", strings.NewReader("10"))
			r.Header.Set(entries.HeaderKey, "k-1")
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			answers = append(answers, string(body))
			if replayed := resp.Header.Get(entries.HeaderReplayed) != ""; replayed != (i > 0) || answers[i] != answers[0] {
				t.Errorf("%s: status %d, replayed %v, answer %q", td.name, resp.StatusCode, replayed, body)
			}
		}
	})
	t.Run("poison request", func(t *testing.T) {
		before := incarnations(t, daemons[0])
		for i, td := range append(daemons, daemons...) {
			resp, err := http.Post("http://"+td.addresses["callers"]+"/v1/completions", "application/json",
				strings.NewReader(`{"model":"quill","prompt":"poison","max_tokens":4}`))
			if err != nil {
				t.Fatal(err)
			}
			code, verdict := readRefusal(t, resp)
			if code != gypsumshelf.CodeQuarantined || i > 0 && verdict != "not-run" {
				t.Errorf("send %d to %s got %s with verdict %s", i+1, td.name, code, verdict)
			}
		}
		time.Sleep(time.Second) // enough for a crashed engine to restart and announce itself
		crashed := 0
		for server, incarnation := range incarnations(t, daemons[0]) {
			if before[server] != incarnation {
				crashed++
			}
		}
		if crashed == 0 || crashed > 2 {
			t.Errorf("%d engines crashed, want 1 or 2", crashed)
		}
		assertServed(t, daemons[0], 1000)
	})
}

// incarnations returns the incarnation of each backend server known to a daemon.
func incarnations(t *testing.T, td *testDaemon) map[string]string {
	t.Helper()
	resp, err := http.Get("http://" + td.addresses["operators"] + "/status")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var status struct {
		Servers []struct {
			Name        string `json:"backend-server"`
			Incarnation string `json:"incarnation"`
		} `json:"backend-servers"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		t.Fatal(err)
	}
	all := map[string]string{}
	for _, s := range status.Servers {
		all[s.Name] = s.Incarnation
	}
	return all
}
