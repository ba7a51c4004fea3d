package dispatchers

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// placeInBackground submits a job and returns a channel that receives the decision.
func placeInBackground(t *testing.T, c *Client, j schedules.Job) <-chan schedules.Decision {
	t.Helper()
	decided := make(chan schedules.Decision, 1)
	p := &placing{client: c, job: j, decided: decided}
	go p.run(t)
	return decided
}

// placing is a call of Client.Place.
type placing struct {
	client  *Client
	job     schedules.Job
	decided chan<- schedules.Decision
}

func (p *placing) run(t *testing.T) {
	if d, err := p.client.Place(t.Context(), p.job); err == nil {
		p.decided <- d
	}
}

func assertHandedBack(t *testing.T, decided <-chan schedules.Decision) {
	t.Helper()
	select {
	case d := <-decided:
		if !d.HandedBack {
			t.Errorf("decision %+v, want the job handed back", d)
		}
	case <-time.After(2 * time.Second):
		t.Error("the job still waits, want it handed back")
	}
}

// Guards against jobs that wait until their daemon stops, since the leader did not hear of
// the stop.
func TestLeaderHearsOfAStop(t *testing.T) {
	start := func(t *testing.T) (*Client, string, <-chan schedules.Decision) {
		t.Helper()
		dispatcher := newDispatcher(t, 1)
		dispatcher.SetActive(true)
		address, _ := serveDispatcher(t, dispatcher)
		c := newClient(t, address)
		c.SetLeader(address, 1)
		assertPlacedBy(t, c, "holds-the-slot", address)
		j := job("waits")
		j.Target = 5 * time.Second
		decided := placeInBackground(t, c, j)
		time.Sleep(100 * time.Millisecond)
		return c, address, decided
	}
	t.Run("that answers", func(t *testing.T) {
		c, _, decided := start(t)
		c.StopAt(time.Now().Add(300 * time.Millisecond))
		assertHandedBack(t, decided)
	})
	t.Run("after its connection was made again", func(t *testing.T) {
		c, address, decided := start(t)
		client, _ := c.cfg.Feeds.Client(address)
		client.Close()
		c.StopAt(time.Now().Add(300 * time.Millisecond))
		assertHandedBack(t, decided)
	})
}

// busyService is a leader that takes some time for updates.
type busyService struct {
	*Service
	delay time.Duration
}

func (s *busyService) Tell(updates []JobUpdate, reply *struct{}) error {
	time.Sleep(s.delay)
	return s.Service.Tell(updates, reply)
}

// Guards against slots that stay in use after the stop of a daemon, which ends its last
// requests right before it.
func TestLastEndsReachTheLeader(t *testing.T) {
	const slots = 8
	dispatcher := newDispatcher(t, slots)
	dispatcher.SetActive(true)
	address, _ := serve(t, &busyService{Service: NewService(dispatcher), delay: 20 * time.Millisecond})
	for i := range slots / 2 {
		stopping := newOpenClient(t, address)
		stopping.SetLeader(address, 1)
		first, last := schedules.JobID(fmt.Sprint("first", i)), schedules.JobID(fmt.Sprint("last", i))
		assertPlacedBy(t, stopping, string(first), address)
		assertPlacedBy(t, stopping, string(last), address)
		stopping.End(first, schedules.Cancelled, "")
		time.Sleep(2 * updateBatchDelay) // the leader is busy with the first end
		stopping.End(last, schedules.Cancelled, "")
		stopping.Close()
	}
	other := newClient(t, address)
	other.SetLeader(address, 1)
	for i := range slots {
		select {
		case d := <-placeInBackground(t, other, job(fmt.Sprint("next", i))):
			if d.Placement == nil {
				t.Errorf("decision %+v, want a placement", d)
			}
		case <-time.After(time.Second):
			t.Fatalf("%d of %d slots are free again, want all", i, slots)
		}
	}
}
