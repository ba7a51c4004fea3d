package dispatchers

import (
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
