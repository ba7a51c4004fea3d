package dispatchers

import (
	"context"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// assertNothingHeld checks that the client keeps no job, and that the only slot is free.
func assertNothingHeld(t *testing.T, c *Client, scheduler string) {
	t.Helper()
	c.mu.Lock()
	kept := len(c.jobs)
	c.mu.Unlock()
	if kept != 0 {
		t.Errorf("%d jobs that have ended are kept for the next leader, want none", kept)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	d, err := c.Place(ctx, job("next"))
	if err != nil || d.Placement == nil || d.Scheduler != scheduler {
		t.Errorf("the slot of a job that has ended is not free: decision %+v, error %v", d, err)
	}
}

// lateService delays each Place until release is closed.
type lateService struct {
	*Service
	arrived chan struct{}
	release chan struct{}
}

func (s *lateService) Place(job schedules.Job, reply *Reply) error {
	s.arrived <- struct{}{}
	<-s.release
	return s.Service.Place(job, reply)
}

// Guards against slots that stay assigned, at each later leader again, to jobs that ended
// before their placement: a caller may leave, or a silent engine go on, at that moment.
func TestJobThatEndsBeforeItsPlacement(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	t.Run("before it is submitted", func(t *testing.T) {
		leader := newDispatcher(t, 1)
		leader.SetActive(true)
		address, _ := serveDispatcher(t, leader)
		c := newClient(t, address)
		c.SetLeader(address, 1)
		c.End("a", schedules.Cancelled, "")
		if _, err := c.Place(cancelled, job("a")); err == nil {
			t.Error("a job that has ended is placed")
		}
		assertNothingHeld(t, c, address)
	})
	t.Run("before it is submitted, without a leader", func(t *testing.T) {
		c := newClient(t)
		c.cfg.Local = newDispatcher(t, 1)
		c.cfg.Local.SetActive(true)
		c.End("a", schedules.Cancelled, "")
		if _, err := c.Place(cancelled, job("a")); err == nil {
			t.Error("a job that has ended is placed")
		}
		assertNothingHeld(t, c, "")
	})
	t.Run("while the leader decides", func(t *testing.T) {
		leader := newDispatcher(t, 1)
		leader.SetActive(true)
		late := &lateService{Service: NewService(leader), arrived: make(chan struct{}, 2), release: make(chan struct{})}
		address, _ := serve(t, late)
		c := newClient(t, address)
		c.SetLeader(address, 1)
		ctx, cancel := context.WithCancel(t.Context())
		placed := make(chan struct{})
		go func() {
			defer close(placed)
			_, _ = c.Place(ctx, job("a"))
		}()
		<-late.arrived
		cancel()
		c.End("a", schedules.Cancelled, "")
		time.Sleep(10 * updateBatchDelay) // the leader hears of the end before it places the job
		close(late.release)
		<-placed
		assertNothingHeld(t, c, address)
	})
}

// Guards against slots that stay assigned until the deadline of a job whose end was
// reported while there was no connection to the leader.
func TestEndIsReportedAfterALostConnection(t *testing.T) {
	leader := newDispatcher(t, 1)
	leader.SetActive(true)
	address, _ := serveDispatcher(t, leader)
	c := newClient(t, address)
	c.SetLeader(address, 1)
	assertPlacedBy(t, c, "a", address)
	client, _ := c.cfg.Feeds.Client(address)
	client.Close()
	c.End("a", schedules.Completed, "")
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if next, alive := c.cfg.Feeds.Client(address); alive && next != client {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no connection is made again")
		}
	}
	assertNothingHeld(t, c, address)
}

// Guards against a request that waits until its deadline for a decision about a job which
// the leader has dropped, because its daemon did not poll during a pause.
func TestWaitingJobOfAPausedDaemonIsPlacedAfterwards(t *testing.T) {
	leader := newDispatcher(t, 1)
	leader.SetActive(true)
	address, _ := serveDispatcher(t, leader)
	c := newClient(t, address)
	c.SetLeader(address, 1)
	assertPlacedBy(t, c, "holds-the-slot", address)
	waiting := job("waits")
	waiting.Daemon = "d"
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	decided := make(chan error, 1)
	go func() {
		_, err := c.Place(ctx, waiting)
		decided <- err
	}()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		leader.mu.Lock()
		known := leader.pending[waiting.ID] != nil
		leader.mu.Unlock()
		if known {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the job does not arrive at the leader")
		}
	}
	leader.EndDaemonJobs("d")
	c.End("holds-the-slot", schedules.Completed, "")
	if err := <-decided; err != nil {
		t.Errorf("the job gets no decision: %v", err)
	}
}
