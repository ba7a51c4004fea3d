package forwards

import (
	"time"

	"gypsumshelf.example/gypsumshelf/attempts"
)

// usedBudgetShare is the part of the configured bound that daemons use. The rest
// covers daemons that do not know of each other yet.
const usedBudgetShare = 0.75

// RetryBudget is the retry budget of a service over all daemons: Ratio retries per
// request plus Slack retries in each Window.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// minBurst lets each daemon make a retry at any size of the deployment: with a smaller
// burst its budget would never hold a whole one. Where many daemons make their parts
// of the slack smaller than this, their requests earn far more than the difference.
const minBurst = 1

// daemonBudget returns one daemon's part of the budget. Its burst and its refill
// during one window are half of its slack each.
func (r RetryBudget) daemonBudget(daemons int) attempts.BudgetConfig {
	slack := usedBudgetShare * r.Slack / float64(max(1, daemons))
	return attempts.BudgetConfig{
		RetryRatio: usedBudgetShare * r.Ratio,
		PerSecond:  slack / 2 / r.Window.Seconds(),
		Burst:      max(minBurst, slack/2),
	}
}
