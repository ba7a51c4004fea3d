package dispatchers

import (
	"testing"
	"time"
)

// Guards against a new leader that is avoided since a call to the one before it has failed,
// which stops or has ended: the jobs that wait were placed without knowledge of others.
func TestEndOfTheOldLeaderIsNotTakenForTheNewOnes(t *testing.T) {
	old, next := newDispatcher(t, 1), newDispatcher(t, 4)
	old.SetActive(true)
	next.SetActive(true)
	a, _ := serveDispatcher(t, old)
	b, _ := serveDispatcher(t, next)
	c := newClient(t, a, b)
	c.SetLeader(a, 1)
	p := startWaiting(t, c)
	c.SetLeader(b, 2)
	old.SetActive(false) // its calls fail
	select {
	case d := <-p.decision:
		if d.Placement == nil || d.Scheduler != b {
			t.Errorf("the job that waited gets decision %+v, want a placement by the new leader", d)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the job that waited gets no decision")
	}
	assertPlacedBy(t, c, "next", b)
}
