package desks

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

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func newDesk(t *testing.T, slots int) *Desk {
	t.Helper()
	service := timers.New(timers.Config{})
	t.Cleanup(service.Close)
	d := New(Config{Log: quiet(), Timers: service})
	figures := &costs.Engine{
		Slots: slots, MemoryTokens: 100_000, Step: time.Millisecond, ReadRate: 256_000, Chunk: 2048, Stride: 46, UsualPrompt: 5000, UsualAnswer: 500,
	}
	d.Update(map[string]*costs.Engine{"llm": figures}, []Engine{{State: schedules.EngineState{ID: "e1", Service: "llm"}}})
	return d
}

func job(id string) schedules.Job {
	return schedules.Job{
		ID: schedules.JobID(id), Service: "llm", Prompt: 1000, Answer: 500, Expected: 500, Target: time.Second,
		Patience: 5 * time.Second, Deadline: 10 * time.Second, Gap: 200 * time.Millisecond,
	}
}

// leader serves a desk as the leading control daemon does.
func leader(t *testing.T, d *Desk) (address string, server *directories.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := directories.NewServer(l, map[string]any{directories.ServiceName: directories.NewPublisher(), ServiceName: NewService(d)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return l.Addr().String(), s
}

func newClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	feeds := directories.NewSubscriber(directories.SubscriberConfig{
		Daemon: "d", Seeds: addresses, Log: quiet(), Receive: func(string, directories.View) {},
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
	c := NewClient(ClientConfig{Feeds: feeds, Local: newDesk(t, 4), Log: quiet()})
	t.Cleanup(c.Close)
	return c
}

func assertPlacedBy(t *testing.T, c *Client, id, scheduler string) {
	t.Helper()
	d, err := c.Place(t.Context(), job(id))
	if err != nil || d.Placement == nil || d.Scheduler != scheduler {
		t.Errorf("%s: decision %+v with error %v, want a placement by %q", id, d, err, scheduler)
	}
}

// Guards against requests that fail or wait while the scheduling daemon is gone.
func TestClientGoesOnWithoutLeader(t *testing.T) {
	desk := newDesk(t, 4)
	desk.SetActive(true)
	address, server := leader(t, desk)
	c := newClient(t, address)
	assertPlacedBy(t, c, "a", "")
	c.SetLeader(address, 1)
	assertPlacedBy(t, c, "b", address)
	t.Run("it does not lead any more", func(t *testing.T) {
		desk.SetActive(false)
		assertPlacedBy(t, c, "c", "")
	})
	t.Run("its process ends", func(t *testing.T) {
		server.Close()
		begin := time.Now()
		assertPlacedBy(t, c, "d", "")
		if took := time.Since(begin); took > 5*placeTimeout {
			t.Errorf("the request waited %v", took)
		}
	})
}

// Guards against a new leader that gives slots away which are in use.
func TestNewLeaderKnowsOfJobsInProgress(t *testing.T) {
	first, second := newDesk(t, 1), newDesk(t, 1)
	first.SetActive(true)
	second.SetActive(true)
	a, _ := leader(t, first)
	b, _ := leader(t, second)
	c := newClient(t, a, b)
	c.SetLeader(a, 1)
	assertPlacedBy(t, c, "a", a)
	c.SetLeader(b, 2)
	waits := make(chan schedules.Decision, 1)
	go func() {
		d, _ := c.Place(context.Background(), job("b"))
		waits <- d
	}()
	select {
	case d := <-waits:
		t.Fatalf("the only slot is given away twice: %+v", d)
	case <-time.After(200 * time.Millisecond):
	}
	c.End("a", schedules.Completed, "")
	if d := <-waits; d.Placement == nil || d.Scheduler != b {
		t.Errorf("decision is %+v, want a placement by the new leader", d)
	}
	c.SetLeader(a, 1)
	if c.leader != b {
		t.Error("an older term replaced the leader")
	}
}
