package dispatchers

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

// admissions returns how many of n requests to a server with a limit are admitted at once.
func admissions(t *testing.T, c *Client, limit schedules.ServerLimit, n int) int {
	t.Helper()
	admitted := 0
	for range n {
		a, err := c.Admit(t.Context(), schedules.AdmissionRequest{Servers: []schedules.ServerLimit{limit}})
		if err != nil {
			t.Fatal(err)
		}
		if a.Server != "" {
			admitted++
		}
	}
	return admitted
}

// Guards against a limit that each daemon uses as a whole, and against one that is used
// again after a change of leaders or without a leader.
func TestLimitIsSharedByDaemons(t *testing.T) {
	limit := schedules.ServerLimit{Server: "p1", Born: 1, Named: true, PerSecond: 4}
	first, second := newLeader(t), newLeader(t)
	one, two := newClient(t, first.address, second.address), newClient(t, first.address, second.address)
	for _, c := range []*Client{one, two} {
		c.SetLeader(first.address, 1)
	}
	admissions(t, one, limit, 1)
	time.Sleep(300 * time.Millisecond) // room for one request, two at the most
	if n := admissions(t, one, limit, 10) + admissions(t, two, limit, 10); n < 1 || n > 2 {
		t.Errorf("%d requests admitted by two daemons in 0.3 s at 4 a second, want 1 or 2", n)
	}
	t.Run("another leader", func(t *testing.T) {
		for _, c := range []*Client{one, two} {
			c.SetLeader(second.address, 2)
		}
		if n := admissions(t, one, limit, 10) + admissions(t, two, limit, 10); n > 1 {
			t.Errorf("%d requests admitted by the new leader at once", n)
		}
	})
	t.Run("no leader", func(t *testing.T) {
		service := timers.New(timers.Config{})
		t.Cleanup(service.Close)
		alone := NewClient(ClientConfig{Feeds: newClient(t).cfg.Feeds, Local: New(Config{Log: discardLog(), Timers: service, Local: true}), Log: discardLog()})
		t.Cleanup(alone.Close)
		admissions(t, alone, limit, 1)
		time.Sleep(300 * time.Millisecond)
		if n := admissions(t, alone, limit, 10); n > 0 {
			t.Errorf("%d requests admitted in 0.3 s by one of %d daemons at 4 a second", n, minLocalSchedulers)
		}
	})
}

// Guards against engines that get a burst from a new leader which does not know their
// limit.
func TestChangeOfLeadersKeepsEngineLimits(t *testing.T) {
	first, second := newDispatcher(t, 100), newDispatcher(t, 100)
	first.SetActive(true)
	second.SetActive(true)
	a, _ := serveDispatcher(t, first)
	b, _ := serveDispatcher(t, second)
	c := newClient(t, a, b)
	c.SetLeader(a, 1)
	c.ReportLimit(schedules.ServerLimit{Server: "e1", Named: true, PerSecond: 1})
	time.Sleep(100 * time.Millisecond)
	c.SetLeader(b, 2)
	j := job("j")
	j.Target = 100 * time.Millisecond
	if d, err := c.Place(t.Context(), j); err != nil || d.Placement != nil || d.RetryAfter == 0 {
		t.Errorf("decision %+v with error %v, want a refusal with the time until there is room", d, err)
	}
}
