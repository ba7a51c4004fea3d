package dispatchers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// Guards against a slot that two leaders assign. The old leader decides about a waiting
// job after the daemon has handed its jobs over to the new one, which would not know of
// the placement.
func TestLateDecisionOfTheOldLeaderIsHandedOver(t *testing.T) {
	old, next := newDispatcher(t, 1), newDispatcher(t, 1)
	old.SetActive(true)
	next.SetActive(true)
	a, _ := serveDispatcher(t, old)
	b, _ := serveDispatcher(t, next)
	c := newClient(t, a, b)
	c.SetLeader(a, 1)
	assertPlacedBy(t, c, "holds-the-slot", a)
	decided := make(chan schedules.Decision, 1)
	go func() {
		d, _ := c.Place(context.Background(), job("waits-at-the-old-leader"))
		decided <- d
	}()
	time.Sleep(50 * time.Millisecond)

	// The new leader takes over while the old one still acts: it knows two engines, of
	// which one is in use.
	profiles := next.profiles
	two := []Engine{{State: schedules.EngineState{ID: "e1", Service: "llm"}}, {State: schedules.EngineState{ID: "e2", Service: "llm"}}}
	c.SetLeader(b, 2)
	next.UpdateEngines(profiles, two)
	if client, leader := c.connection(); client == nil || leader != b {
		t.Fatalf("the daemon talks to %q, want %q", leader, b)
	}
	old.UpdateEngines(profiles, two)
	d := <-decided
	if d.Placement == nil || d.Placement.Server != "e2" {
		t.Fatalf("the old leader decided %+v, want a placement on e2", d)
	}

	third := make(chan schedules.Decision, 1)
	go func() {
		d, _ := c.Place(context.Background(), job("third"))
		third <- d
	}()
	select {
	case d := <-third:
		t.Fatalf("both slots are in use, and the new leader assigned %+v", d.Placement)
	case <-time.After(200 * time.Millisecond):
	}
	c.End("waits-at-the-old-leader", schedules.Completed, "")
	if d := <-third; d.Placement == nil || d.Placement.Server != "e2" {
		t.Errorf("got %+v, want a placement on e2 after its job has ended", d)
	}
}

// hangingService is a leader that never answers a hand-over.
type hangingService struct{ stop chan struct{} }

// Adopt hangs until the end of the test.
func (s *hangingService) Adopt([]AdoptedJob, *struct{}) error {
	<-s.stop
	return nil
}

// Guards against requests that wait for a leader that does not answer one after the
// other: each of them tried to hand over the jobs again.
func TestRequestsDoNotQueueForAHangingLeader(t *testing.T) {
	hanging := &hangingService{stop: make(chan struct{})}
	address, _ := serve(t, hanging)
	t.Cleanup(func() { close(hanging.stop) }) // before the server waits for its calls
	c := newClient(t, address)
	c.SetLeader(address, 1)
	const requests = 20
	took := make(chan time.Duration, requests)
	for i := range requests {
		go func() {
			begin := time.Now()
			// Requests without a slot are still waiting at the end of the test.
			if d, err := c.Place(t.Context(), job(fmt.Sprint("j", i))); err == nil && d.Placement != nil {
				took <- time.Since(begin)
			}
		}()
	}
	placed := 0
	for end := time.After(5 * placeTimeout); placed < 4; { // the slots of the local engine
		select {
		case <-took:
			placed++
		case <-end:
			t.Fatalf("%d of 4 requests were placed within %v", placed, 5*placeTimeout)
		}
	}
}
