package dispatchers

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/timers"
)

// leader is a dispatcher that another daemon reaches, with what it has found.
type leader struct {
	*Dispatcher
	address string
	found   chan []crashes.Quarantine
}

func newLeader(t *testing.T) *leader {
	t.Helper()
	service := timers.New(timers.Config{})
	t.Cleanup(service.Close)
	l := &leader{found: make(chan []crashes.Quarantine, 16)}
	l.Dispatcher = New(Config{Log: discardLog(), Timers: service, HandleQuarantines: func(q []crashes.Quarantine) { l.found <- q }})
	l.SetActive(true)
	l.address, _ = serveDispatcher(t, l.Dispatcher)
	return l
}

func (l *leader) assertFinds(t *testing.T, cause crashes.Cause) {
	t.Helper()
	select {
	case q := <-l.found:
		if len(q) != 1 || q[0].Cause != cause {
			t.Errorf("found %+v, want %s", q, cause)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("%s was not found", cause)
	}
}

func (l *leader) assertFindsNothing(t *testing.T) {
	t.Helper()
	select {
	case q := <-l.found:
		t.Errorf("found %+v, want nothing", q)
	case <-time.After(500 * time.Millisecond):
	}
}

var crashedServers atomic.Int64

// newCrash returns the report of the end of another backend server under a request.
func newCrash(causes ...crashes.Cause) crashes.Report {
	return crashes.Report{
		Server: gypsumshelf.ServerID(fmt.Sprint("p", crashedServers.Add(1))), Runs: []crashes.Run{{Causes: causes, Duration: 30 * time.Millisecond}},
	}
}

// reportCrash reports the end of another backend server under a request.
func reportCrash(c *Client, causes ...crashes.Cause) {
	time.Sleep(100 * time.Millisecond) // separate crashes, not a common failure
	c.ReportCrash(newCrash(causes...))
}

// Guards against evidence that is lost with a leader: with the third crash after a
// change of leaders, the new leader knows the first two, also from daemons that lose
// nothing any more.
func TestChangeOfLeadersKeepsCrashes(t *testing.T) {
	const cause = crashes.Cause("request:r")
	t.Run("another leader", func(t *testing.T) {
		first, second := newLeader(t), newLeader(t)
		one, two := newClient(t, first.address, second.address), newClient(t, first.address, second.address)
		for _, c := range []*Client{one, two} {
			c.SetLeader(first.address, 1)
			reportCrash(c, cause)
		}
		first.assertFindsNothing(t)
		for _, c := range []*Client{one, two} {
			c.SetLeader(second.address, 2)
		}
		second.assertFindsNothing(t)
		reportCrash(two, cause)
		second.assertFinds(t, cause)
	})
	t.Run("the same leader again", func(t *testing.T) {
		l := newLeader(t)
		c := newClient(t, l.address)
		c.SetLeader(l.address, 1)
		reportCrash(c, cause)
		reportCrash(c, cause)
		l.assertFindsNothing(t)
		l.SetActive(false)
		l.SetActive(true)
		c.SetLeader(l.address, 2)
		reportCrash(c, cause)
		l.assertFinds(t, cause)
	})
	t.Run("a completed copy in between", func(t *testing.T) {
		first, second := newLeader(t), newLeader(t)
		c := newClient(t, first.address, second.address)
		c.SetLeader(first.address, 1)
		reportCrash(c, cause)
		reportCrash(c, cause)
		c.ReportCompleted([]crashes.Cause{cause})
		c.SetLeader(second.address, 2)
		reportCrash(c, cause)
		second.assertFindsNothing(t)
	})
}

// Guards against a request that goes on crashing backend servers while there is no
// leader.
func TestCrashesAreFoundWithoutLeader(t *testing.T) {
	local := newLeader(t)
	c := NewClient(ClientConfig{Feeds: newClient(t).cfg.Feeds, Local: local.Dispatcher, Log: discardLog()})
	t.Cleanup(c.Close)
	for range 3 {
		reportCrash(c, "request:r")
	}
	local.assertFinds(t, "request:r")
}

// Guards against a change of leaders that lets a request crash more backend servers, whose
// copies come in other sessions, and against sound requests that the next leader refuses
// since it does not know of their answers.
func TestChangeOfLeadersKeepsCrashesOfCopiesInOtherSessions(t *testing.T) {
	const wide = crashes.Cause("any-session:r")
	for _, c := range []struct {
		name     string
		answered int // client that answers a request with the identity before the change, 0 for none
	}{
		{name: "not answered"},
		{name: "answered by the daemon that has lost the requests", answered: 1},
		{name: "answered by another daemon", answered: 2},
		{name: "answered by another daemon that loses the next one", answered: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first, second := newLeader(t), newLeader(t)
			second.SetActive(false)
			var clients []*Client
			for range 3 {
				client := newClient(t, first.address, second.address)
				client.SetLeader(first.address, 1)
				clients = append(clients, client)
			}
			sessions := 0
			crash := func(client *Client) {
				sessions++
				reportCrash(client, crashes.RequestCause(fmt.Sprint(sessions)), wide)
			}
			crash(clients[0])
			crash(clients[0])
			first.assertFindsNothing(t)
			if c.answered > 0 {
				// The old leader ends before it could hear of the answer.
				first.SetActive(false)
				clients[c.answered-1].ReportCompleted([]crashes.Cause{wide})
				time.Sleep(10 * updateBatchDelay)
			}
			second.SetActive(true)
			for _, client := range clients {
				client.SetLeader(second.address, 2)
			}
			time.Sleep(answersCollectTime)
			crash(clients[2])
			if c.answered > 0 {
				second.assertFindsNothing(t)
			} else {
				second.assertFinds(t, wide)
			}
		})
	}
}

// Guards against a crash that counts against nobody, since the connection to the leader was
// lost when it was reported, and the same leader is back.
func TestCrashReportedWithoutAConnectionIsHandedOver(t *testing.T) {
	const cause = crashes.Cause("request:r")
	l := newLeader(t)
	c := newClient(t, l.address)
	c.SetLeader(l.address, 1)
	reportCrash(c, cause)
	reportCrash(c, cause)
	l.assertFindsNothing(t)
	client, _ := c.connection()
	client.Close()
	c.ReportCrash(newCrash(cause))
	l.assertFinds(t, cause)
}
