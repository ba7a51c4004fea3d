package forwards

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/paces"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// fakeAnswers collects reported answers.
type fakeAnswers struct {
	mu      sync.Mutex
	answers []schedules.ServerAnswer
}

func (a *fakeAnswers) ReportAnswer(answer schedules.ServerAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, answer)
}

// paceFixture is a forwarder with one plain server that has run for a time.
type paceFixture struct {
	*fixture
	keeper  *fakeLimits
	answers *fakeAnswers
	backend *fakeBackend
}

func newPaceFixture(t *testing.T, age time.Duration, admission schedules.Admission, handler func(*http.Request, string, net.Conn)) *paceFixture {
	backend := newFakeBackend(t, "p1", "plain", handler)
	backend.record.Born = time.Now().Add(-age).UnixMilli()
	backend.record.Slots = 6
	p := &paceFixture{fixture: newStartedFixture(t, backend), keeper: &fakeLimits{admission: admission}, answers: &fakeAnswers{}, backend: backend}
	p.forwarder.cfg.Limits, p.forwarder.cfg.Answers = p.keeper, p.answers
	return p
}

func respondWithStatus(status int) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, _ string, conn net.Conn) {
		fmt.Fprint(conn, responseHeader(r, status, "Content-Length: 0\r\n"))
	}
}

// Guards against messages about servers that have run for long, and against started ones
// that are used without room.
func TestStartedPlainServersAreAskedFor(t *testing.T) {
	const old = 2 * paces.SettledAge
	room, none := schedules.Admission{Server: "p1"}, schedules.Admission{Wait: time.Second, Busy: true}
	for _, c := range []struct {
		name        string
		age         time.Duration
		off         bool // the deployment does not ask for the pace
		admission   schedules.Admission
		requests    int
		wantStatus  int
		wantAsked   int
		wantAnswers int
	}{
		{name: "started", admission: room, requests: 2, wantStatus: 200, wantAsked: 2, wantAnswers: 2},
		{name: "started and steady", admission: schedules.Admission{Server: "p1", Steady: true}, requests: 3, wantStatus: 200, wantAsked: 1, wantAnswers: 1},
		{name: "no room", admission: none, requests: 1, wantStatus: 503, wantAsked: 1},
		{name: "long-running", age: old, admission: none, requests: 2, wantStatus: 200},
		{name: "off", off: true, admission: none, requests: 2, wantStatus: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPaceFixture(t, c.age, c.admission, respondWithStatus(200))
			if c.off {
				p.forwarder.cfg.Answers = nil
			}
			for range c.requests {
				response := p.send("POST", "/unsafe/x", "body")
				assertAnswer(t, response, c.wantStatus, "")
				if retry := response.header.Get("Retry-After"); (retry != "") != (c.wantStatus == 503) {
					t.Errorf("Retry-After is %q", retry)
				}
			}
			if len(p.keeper.asked) != c.wantAsked || len(p.answers.answers) != c.wantAnswers {
				t.Errorf("asked for room %d times with %d answers reported, want %d and %d", len(p.keeper.asked), len(p.answers.answers), c.wantAsked, c.wantAnswers)
			}
			for _, asked := range p.keeper.asked {
				if s := asked.Servers[0]; s.Named || s.Age != unknownLimitAge || s.Pace == nil || s.Pace.Slots != 6 || s.Pace.AnswerTime != 100*time.Millisecond {
					t.Errorf("asked for %+v, want a server without a limit whose pace is to be kept", s)
				}
			}
		})
	}
}

// Guards against a request that is refused although a started server soon has room.
func TestRequestsWaitForAStartedServer(t *testing.T) {
	p := newPaceFixture(t, 0, schedules.Admission{Wait: 10 * time.Millisecond, Busy: true}, respondWithStatus(200))
	time.AfterFunc(20*time.Millisecond, func() {
		p.keeper.mu.Lock()
		defer p.keeper.mu.Unlock()
		p.keeper.admission = schedules.Admission{Server: "p1"}
	})
	assertAnswer(t, p.send("POST", "/unsafe/x", "body"), 200, "")
	if n := len(p.keeper.asked); n < 2 || n > 10 {
		t.Errorf("asked for room %d times, want 2 to 10", n)
	}
}

// Guards against a long-running server that is held back for a request that fails by itself,
// and against one that gets its full load at once after it has broken off requests.
func TestFailuresOfPlainServers(t *testing.T) {
	breakOff := func(_ *http.Request, _ string, conn net.Conn) { conn.Close() }
	refuse := func(r *http.Request, _ string, conn net.Conn) {
		fmt.Fprint(conn, responseHeader(r, 503, "Not-Run: full\r\nContent-Length: 0\r\n"))
	}
	for _, c := range []struct {
		name    string
		handler func(*http.Request, string, net.Conn)
		want    bool // it is asked for afterwards
	}{
		{"status 500", respondWithStatus(500), false},
		{"refusal", refuse, false},
		{"connection closed", breakOff, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPaceFixture(t, 2*paces.SettledAge, schedules.Admission{Server: "p1"}, c.handler)
			for range 2 {
				p.send("POST", "/unsafe/x", "body")
			}
			if got := len(p.keeper.asked) > 0; got != c.want || (len(p.answers.answers) > 0) != c.want {
				t.Errorf("asked for room %d times with %d answers reported, want any: %v", len(p.keeper.asked), len(p.answers.answers), c.want)
			}
		})
	}
}
