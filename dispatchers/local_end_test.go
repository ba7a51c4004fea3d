package dispatchers

import (
	"context"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// Guards against slots that the local scheduler assigns to jobs which ended while they
// waited there: their callers have left, or a stop has handed them back.
func TestJobThatEndsWhileItWaitsLocally(t *testing.T) {
	c := newClient(t)
	c.cfg.Local = newDispatcher(t, 1)
	c.cfg.Local.SetActive(true)
	assertPlacedBy(t, c, "running", "")
	assertEndsWaiting(t, c, "leaves")
	c.End("running", schedules.Completed, "")
	assertNothingHeld(t, c, "")
}

// assertEndsWaiting ends a job that waits, as the forwarder does for a caller that leaves.
func assertEndsWaiting(t *testing.T, c *Client, id string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	p := &placement{client: c, job: job(id), decision: make(chan schedules.Decision, 1)}
	go p.run(ctx)
	for deadline := time.Now().Add(10 * time.Second); !isPending(c.cfg.Local, p.job.ID); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the job does not arrive at the local scheduler")
		}
	}
	cancel()
	c.End(p.job.ID, schedules.Cancelled, "")
	if d := <-p.decision; d.Placement != nil {
		t.Errorf("decision %+v for a job whose caller has left, want none", d)
	}
}

func isPending(d *Dispatcher, id schedules.JobID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending[id] != nil
}
