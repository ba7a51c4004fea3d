package dispatchers

import (
	"context"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// placement is a call of Place that goes on.
type placement struct {
	client   *Client
	job      schedules.Job
	decision chan schedules.Decision
}

func (p *placement) run(ctx context.Context) {
	d, _ := p.client.Place(ctx, p.job) // without a decision, the test sees an empty one
	p.decision <- d
}

// startWaiting takes the only slot and starts a call for another job of a stopping daemon.
func startWaiting(t *testing.T, c *Client) *placement {
	t.Helper()
	if d, err := c.Place(t.Context(), job("running")); err != nil || d.Placement == nil {
		t.Fatalf("decision %+v with error %v, want a placement", d, err)
	}
	p := &placement{client: c, job: job("waiting"), decision: make(chan schedules.Decision, 1)}
	go p.run(t.Context())
	select {
	case d := <-p.decision:
		t.Fatalf("got decision %+v, want none while the slot is in use", d)
	case <-time.After(100 * time.Millisecond):
	}
	return p
}

func assertHandedBackIn(t *testing.T, p *placement, limit time.Duration) {
	t.Helper()
	select {
	case d := <-p.decision:
		if !d.HandedBack || d.RetryAfter <= 0 || d.Placement != nil {
			t.Errorf("got decision %+v, want one that hands the job back", d)
		}
	case <-time.After(limit):
		t.Errorf("no decision in %v, want one that hands the job back", limit)
	}
}

// Guards against jobs that wait at a scheduler that does not know of the stop of their
// daemon.
func TestSchedulersHearOfAStop(t *testing.T) {
	const soon = 50 * time.Millisecond // no job of the test can end in it
	newStoppingClient := func(t *testing.T, addresses ...string) *Client {
		c := newClient(t, addresses...)
		c.cfg.Daemon = job("").Daemon
		return c
	}
	t.Run("the leader", func(t *testing.T) {
		leader := newDispatcher(t, 1)
		leader.SetActive(true)
		a, _ := serveDispatcher(t, leader)
		c := newStoppingClient(t, a)
		c.SetLeader(a, 1)
		p := startWaiting(t, c)
		c.StopAt(time.Now().Add(soon))
		assertHandedBackIn(t, p, time.Second)
	})
	t.Run("the local scheduler", func(t *testing.T) {
		c := newStoppingClient(t)
		c.cfg.Local = newDispatcher(t, 1)
		c.cfg.Local.SetActive(true)
		p := startWaiting(t, c)
		c.StopAt(time.Now().Add(soon))
		assertHandedBackIn(t, p, time.Second)
	})
	t.Run("the next leader", func(t *testing.T) {
		first, second := newDispatcher(t, 1), newDispatcher(t, 1)
		first.SetActive(true)
		second.SetActive(true)
		a, _ := serveDispatcher(t, first)
		b, _ := serveDispatcher(t, second)
		c := newStoppingClient(t, a, b)
		c.SetLeader(a, 1)
		c.StopAt(time.Now().Add(10 * time.Second))
		p := startWaiting(t, c)
		c.StopAt(time.Now().Add(soon))
		first.SetActive(false)
		c.SetLeader(b, 2)
		assertHandedBackIn(t, p, 2*time.Second)
	})
	t.Run("with a later job", func(t *testing.T) {
		leader := newDispatcher(t, 1)
		leader.SetActive(true)
		a, _ := serveDispatcher(t, leader)
		c := newStoppingClient(t, a)
		c.SetLeader(a, 1)
		c.StopAt(time.Now().Add(soon))
		d, err := c.Place(t.Context(), job("late"))
		if err != nil || !d.HandedBack {
			t.Errorf("got decision %+v with error %v, want one that hands the job back", d, err)
		}
	})
}
