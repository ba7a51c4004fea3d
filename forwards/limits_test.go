package forwards

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// fakeLimits grants or denies all requests for room and collects the reports.
type fakeLimits struct {
	mu        sync.Mutex
	reports   []schedules.ServerLimit
	asked     []schedules.AdmissionRequest
	admission schedules.Admission
}

func (l *fakeLimits) ReportLimit(r schedules.ServerLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, r)
}

func (l *fakeLimits) Admit(_ context.Context, r schedules.AdmissionRequest) (schedules.Admission, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, r)
	return l.admission, nil
}

// respondWithLimit returns a handler whose answers carry a Limit header.
func respondWithLimit(status int, limit, more string) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, _ string, conn net.Conn) {
		fmt.Fprint(conn, responseHeader(r, status, fmt.Sprintf("Limit: %s\r\nContent-Length: 0\r\n%s", limit, more)))
	}
}

// Guards against limits that are not read from some answers, and against values that
// are taken for another limit.
func TestLimitsAreReadFromAllAnswers(t *testing.T) {
	for _, c := range []struct {
		name, path, service, limit, more string
		status                           int
		want                             []schedules.ServerLimit
	}{
		{name: "success", limit: "2.5", status: 200, want: []schedules.ServerLimit{{Named: true, PerSecond: 2.5}}},
		{name: "zero", limit: "0", status: 200, want: []schedules.ServerLimit{{Named: true}}},
		{name: "failure", limit: "1", status: 500, want: []schedules.ServerLimit{{Named: true, PerSecond: 1}}},
		{name: "not run", limit: "1", status: 503, more: "Not-Run: full\r\n", want: []schedules.ServerLimit{{Named: true, PerSecond: 1}}},
		{name: "another server at its address", limit: "1", status: 421},
		{name: "unreadable", limit: "many", status: 200},
		{name: "engine that refuses", path: "/stream/x", service: "engines", limit: "1", status: 503, more: "Not-Run: full\r\n", want: []schedules.ServerLimit{{Named: true, PerSecond: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.service == "" {
				c.path, c.service = "/unsafe/x", "plain"
			}
			f := newStartedFixture(t, newFakeBackend(t, "p1", c.service, respondWithLimit(c.status, c.limit, c.more)))
			keeper := &fakeLimits{}
			f.forwarder.cfg.Limits = keeper
			f.send("POST", c.path, "body")
			if len(keeper.reports) != len(c.want) {
				t.Fatalf("reports are %+v, want %+v", keeper.reports, c.want)
			}
			for i, want := range c.want {
				want.Server, want.Born = "p1", 1
				if keeper.reports[i] != want {
					t.Errorf("report is %+v, want %+v", keeper.reports[i], want)
				}
			}
		})
	}
}

// Guards against requests that are sent beyond a limit while another server is free, that
// are refused although they could wait, and against refusals that do not say when there
// is room.
func TestRequestsKeepLimits(t *testing.T) {
	const used = 1500 * time.Millisecond
	for _, c := range []struct {
		name        string
		unlimited   bool // there is a second server
		admission   schedules.Admission
		wantStatus  int
		wantAnswer  string
		wantRetry   float64 // seconds
		wantMaxWait bool
	}{
		{name: "there is room", admission: schedules.Admission{Server: "p1"}, wantStatus: 200, wantAnswer: "limited", wantMaxWait: true},
		{name: "there is room soon", admission: schedules.Admission{Server: "p1", Wait: 20 * time.Millisecond}, wantStatus: 200, wantAnswer: "limited", wantMaxWait: true},
		{name: "no room, another server", unlimited: true, admission: schedules.Admission{Wait: used}, wantStatus: 200, wantAnswer: "free"},
		{name: "no room", admission: schedules.Admission{Wait: used}, wantStatus: 503, wantRetry: used.Seconds(), wantMaxWait: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := func(text string) func(*http.Request, string, net.Conn) {
				return func(r *http.Request, _ string, conn net.Conn) {
					limit := ""
					if text == "limited" {
						limit = "Limit: 1\r\n"
					}
					fmt.Fprint(conn, responseHeader(r, 200, fmt.Sprintf("%sContent-Length: %d\r\n", limit, len(text))), text)
				}
			}
			limited := newFakeBackend(t, "p1", "plain", answer("limited"))
			f := newStartedFixture(t, limited)
			keeper := &fakeLimits{admission: c.admission}
			f.forwarder.cfg.Limits = keeper
			assertAnswer(t, f.send("POST", "/unsafe/x", "body"), 200, "limited") // names its limit
			if c.unlimited {
				f.forwarder.cfg.Fleet.Merge([]rosters.Record{newFakeBackend(t, "p2", "plain", answer("free")).record})
			}
			for range 2 {
				begin := time.Now()
				response := f.send("POST", "/unsafe/x", "body")
				assertAnswer(t, response, c.wantStatus, "")
				if c.wantAnswer != "" && response.body != c.wantAnswer {
					t.Errorf("answered by %q, want %q", response.body, c.wantAnswer)
				}
				if retry, _ := strconv.ParseFloat(response.header.Get("Retry-After"), 64); retry > c.wantRetry || retry < c.wantRetry-0.2 {
					t.Errorf("Retry-After is %v, want about %v", retry, c.wantRetry)
				}
				if took := time.Since(begin); took < c.admission.Wait && c.admission.Server != "" || took > 500*time.Millisecond {
					t.Errorf("the request took %v", took)
				}
			}
			if wantAsked := map[bool]int{true: 2, false: 1}[c.admission.Server != ""]; len(keeper.asked) != wantAsked {
				t.Errorf("asked %d times for room, want %d", len(keeper.asked), wantAsked)
			}
			if got := keeper.asked[0].MaxWait > 0; got != c.wantMaxWait {
				t.Errorf("the request may wait: %v, want %v", got, c.wantMaxWait)
			}
		})
	}
}

// Guards against limits that outlive their end or the start of the server that named
// them.
func TestLimitOfAFleetEnds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fleet := NewFleet("a", func() time.Time { return now })
	record := rosters.Record{ID: "p1", Born: 1, Sequence: 1, Service: "plain", Address: "127.0.0.1:1", DataCentre: "a", Slots: 4}
	limited := func() bool { return fleet.candidates("plain", 0, nil)[0].limited }
	fleet.Merge([]rosters.Record{record})
	entry, _ := fleet.Get("p1")
	name := func() {
		fleet.recordLimit(entry, ResponseMeta{Limit: 1, HasLimit: true}, now, false)
		now = now.Add(time.Second)
	}
	name()
	if fleet.recordLimit(entry, ResponseMeta{}, now.Add(-2*time.Second), false); !limited() {
		t.Error("the limit ends with an answer to a request from before it was named")
	}
	if report, _ := fleet.recordLimit(entry, ResponseMeta{}, now, false); limited() || report == nil || report.Named {
		t.Errorf("the limit does not end with an answer without one; report is %+v", report)
	}
	if report, _ := fleet.recordLimit(entry, ResponseMeta{}, now, true); report == nil || report.Named {
		t.Errorf("the end is not reported for a limit that only the scheduler knows: %+v", report)
	}
	name()
	record.Born = 2
	fleet.Merge([]rosters.Record{record})
	if limited() {
		t.Error("the limit outlives the start of the server that named it")
	}
	if name(); limited() {
		t.Error("an answer of the earlier start limits the present one")
	}
}

// Guards against the full load for a plain backend server that became cold while its data
// centre was out of service, and crashes under it.
func TestReturnedServersGetTheLoadOfColdOnes(t *testing.T) {
	fleet := NewFleet("a", time.Now)
	fleet.Merge([]rosters.Record{{ID: "p1", Born: 1, Sequence: 1, Service: "plain", Address: "a:1", DataCentre: "a"}})
	warmUp := func(string) time.Duration { return 3 * time.Second }
	assertLimited := func(when string, want bool) {
		t.Helper()
		c := fleet.candidates("plain", 26, nil)
		if len(c) != 1 || c[0].limited != want {
			t.Errorf("%s: candidates are %+v, want one whose rate is limited: %v", when, c, want)
		}
	}
	fleet.SetOutOfService(nil, warmUp)
	assertLimited("in service", false)
	fleet.SetOutOfService([]string{"a"}, warmUp)
	fleet.SetOutOfService(nil, warmUp)
	assertLimited("returned", true)
}
