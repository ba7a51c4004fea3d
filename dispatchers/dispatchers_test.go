package dispatchers

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func newDispatcher(t *testing.T, slots int) *Dispatcher {
	t.Helper()
	service := timers.New(timers.Config{})
	t.Cleanup(service.Close)
	d := New(Config{Log: discardLog(), Timers: service})
	profile := &costs.Profile{
		Slots: slots, MemoryTokens: 100_000, StepTime: time.Millisecond, PrefillRate: 256_000, PrefillChunk: 2048, StepsPerPass: 46, MeanPromptTokens: 5000, MeanAnswerTokens: 500,
	}
	d.UpdateEngines(map[string]*costs.Profile{"llm": profile}, []Engine{{State: schedules.EngineState{ID: "e1", Service: "llm"}}})
	return d
}

func job(id string) schedules.Job {
	return schedules.Job{
		ID: schedules.JobID(id), Service: "llm", Prompt: 1000, Answer: 500, Expected: 500, Target: time.Second,
		Patience: 5 * time.Second, Deadline: 10 * time.Second, Gap: 200 * time.Millisecond,
	}
}

// serveDispatcher serves a dispatcher as the leading control daemon does.
func serveDispatcher(t *testing.T, d *Dispatcher) (address string, server *directories.Server) {
	t.Helper()
	return serve(t, NewService(d))
}

func serve(t *testing.T, service any) (address string, server *directories.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := directories.NewServer(l, map[string]any{directories.ServiceName: directories.NewPublisher(discardLog()), ServiceName: service})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return l.Addr().String(), s
}

func newClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c := newOpenClient(t, addresses...)
	t.Cleanup(c.Close)
	return c
}

// newOpenClient returns a client that the test closes.
func newOpenClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	feeds := directories.NewSubscriber(directories.SubscriberConfig{
		Daemon: "d", Seeds: addresses, Log: discardLog(), HandleView: func(string, directories.View) {},
	})
	feeds.Run()
	t.Cleanup(feeds.Close)
	for _, a := range addresses {
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if _, alive := feeds.Client(a); alive {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("no connection to %s", a)
			}
		}
	}
	return NewClient(ClientConfig{Feeds: feeds, Local: newDispatcher(t, 4), Log: discardLog()})
}

func assertPlacedBy(t *testing.T, c *Client, id, scheduler string) {
	t.Helper()
	d, err := c.Place(t.Context(), job(id))
	if err != nil || d.Placement == nil || d.Scheduler != scheduler {
		t.Errorf("%s: decision %+v with error %v, want a placement by %q", id, d, err, scheduler)
	}
}

// Guards against requests that fail or wait while the scheduling daemon is
// unavailable.
func TestClientSchedulesLocallyWithoutLeader(t *testing.T) {
	dispatcher := newDispatcher(t, 4)
	dispatcher.SetActive(true)
	address, server := serveDispatcher(t, dispatcher)
	c := newClient(t, address)
	assertPlacedBy(t, c, "a", "")
	c.SetLeader(address, 1)
	assertPlacedBy(t, c, "b", address)
	t.Run("it does not lead any more", func(t *testing.T) {
		dispatcher.SetActive(false)
		assertPlacedBy(t, c, "c", "")
	})
	t.Run("its process ends", func(t *testing.T) {
		server.Close()
		begin := time.Now()
		assertPlacedBy(t, c, "d", "")
		if took := time.Since(begin); took > 5*placeTimeout {
			t.Errorf("the request waited %v, want at most %v", took, 5*placeTimeout)
		}
	})
}

// Guards against a new leader that assigns slots which are in use.
func TestNewLeaderAdoptsActiveJobs(t *testing.T) {
	first, second := newDispatcher(t, 1), newDispatcher(t, 1)
	first.SetActive(true)
	second.SetActive(true)
	a, _ := serveDispatcher(t, first)
	b, _ := serveDispatcher(t, second)
	c := newClient(t, a, b)
	c.SetLeader(a, 1)
	assertPlacedBy(t, c, "a", a)
	c.SetLeader(b, 2)
	decisions := make(chan schedules.Decision, 1)
	go func() {
		d, _ := c.Place(context.Background(), job("b"))
		decisions <- d
	}()
	select {
	case d := <-decisions:
		t.Fatalf("the only slot is assigned twice: %+v", d)
	case <-time.After(200 * time.Millisecond):
	}
	c.End("a", schedules.Completed, "")
	if d := <-decisions; d.Placement == nil || d.Scheduler != b {
		t.Errorf("got decision %+v, want a placement by the new leader", d)
	}
	c.SetLeader(a, 1)
	if c.leader != b {
		t.Error("an older term replaced the leader")
	}
}

// Guards against slots that are assigned twice by a leader which has lost and regained
// the lead.
func TestReelectedLeaderAdoptsActiveJobs(t *testing.T) {
	dispatcher := newDispatcher(t, 1)
	dispatcher.SetActive(true)
	address, _ := serveDispatcher(t, dispatcher)
	c := newClient(t, address)
	c.SetLeader(address, 1)
	assertPlacedBy(t, c, "a", address)
	dispatcher.SetActive(false)
	c.SetLeader(address, 2) // the news arrives before the leader schedules again
	time.Sleep(100 * time.Millisecond)
	dispatcher.SetActive(true)
	time.Sleep(2 * handOverRetryDelay)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if d, err := c.Place(ctx, job("b")); err == nil {
		t.Errorf("the only slot is assigned twice: %+v", d)
	}
}

// delayedService delays answers of Await beyond the timeout of their callers,
// as a link with packet loss does.
type delayedService struct {
	*Service
	delays chan time.Duration
}

func (s *delayedService) Await(id schedules.JobID, reply *Reply) error {
	err := s.Service.Await(id, reply)
	select {
	case d := <-s.delays:
		time.Sleep(d)
	default:
	}
	return err
}

// Guards against a job that leaves the leader's queue because an answer is
// late. The local scheduler does not know the jobs of other daemons: on
// trouble-3 of Schriftgilde it placed a review that had waited for 5.5 s on five
// engines with 60 short answers.
func TestLateAnswerKeepsTheJobAtTheLeader(t *testing.T) {
	dispatcher := newDispatcher(t, 1)
	dispatcher.SetActive(true)
	s := &delayedService{Service: NewService(dispatcher), delays: make(chan time.Duration, 1)}
	address, _ := serve(t, s)
	c := newClient(t, address)
	c.SetLeader(address, 1)
	assertPlacedBy(t, c, "first", address)
	s.delays <- maxAwait + 2*placeTimeout
	go func() {
		time.Sleep(maxAwait / 2)
		c.End("first", schedules.Completed, "")
	}()
	assertPlacedBy(t, c, "second", address)
	t.Run("also when it carried the decision", func(t *testing.T) {
		s.delays <- 2 * maxAwait
		go func() {
			time.Sleep(maxAwait / 2)
			c.End("second", schedules.Completed, "")
		}()
		assertPlacedBy(t, c, "third", address)
	})
}

// Guards against the local placement of a long prompt as soon as its leader is
// gone, although the next one is available within half a second.
func TestLongPromptWaitsForTheNextLeader(t *testing.T) {
	dispatcher := newDispatcher(t, 4)
	dispatcher.SetActive(true)
	address, _ := serveDispatcher(t, dispatcher)
	c := newClient(t, address)
	long := job("long")
	long.Target = 3 * time.Second
	time.AfterFunc(maxLeaderWait(long)/2, func() { c.SetLeader(address, 1) })
	d, err := c.Place(t.Context(), long)
	if err != nil || d.Scheduler != address {
		t.Errorf("decision %+v with error %v, want a placement by the new leader", d, err)
	}
	short := job("short")
	short.Target = 300 * time.Millisecond
	if wait := maxLeaderWait(short); wait != 0 {
		t.Errorf("a short prompt waits %v for a leader, want 0", wait)
	}
}
