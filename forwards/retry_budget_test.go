package forwards

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/attempts"
)

// Guards against a large deployment whose daemons never retry, because the part of
// the budget that each of them holds is smaller than one retry.
func TestDaemonBudgetAllowsRetriesAtAnySize(t *testing.T) {
	bound := RetryBudget{Ratio: 0.2, Slack: 260, Window: 10 * time.Second}
	for _, daemons := range []int{4, 38, 300, 405, 1000} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			b := attempts.NewBudget(bound.daemonBudget(daemons))
			now := time.Now()
			if !b.Spend(now, "s") {
				t.Error("a daemon has no retry at its start")
			}
			for range int(1/bound.Ratio) + 3 { // requests that earn one retry
				b.Credit(now, "s")
			}
			if !b.Spend(now, "s") {
				t.Error("a daemon does not earn a retry")
			}
		})
	}
}

// Guards against daemons that exceed the budget of all together in the worst window:
// each one uses its burst at the beginning and all that it earns.
func TestDaemonBudgetsStayWithinTheBound(t *testing.T) {
	bound := RetryBudget{Ratio: 0.2, Slack: 260, Window: 10 * time.Second}
	for _, test := range []struct{ daemons, requestsPerSecond int }{{4, 20}, {38, 200}, {300, 1600}, {405, 21000}} {
		t.Run(fmt.Sprint(test.daemons), func(t *testing.T) {
			cfg := bound.daemonBudget(test.daemons)
			requests := float64(test.requestsPerSecond) * bound.Window.Seconds()
			used := float64(test.daemons)*(cfg.Burst+cfg.PerSecond*bound.Window.Seconds()) + cfg.RetryRatio*requests
			if limit := bound.Slack + bound.Ratio*requests; used > limit {
				t.Errorf("%.0f retries in %v, want at most %.0f", used, bound.Window, limit)
			}
		})
	}
}
