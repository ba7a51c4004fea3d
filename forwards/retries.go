package forwards

import (
	"time"

	"gypsumshelf.example/gypsumshelf/attempts"
)

// retryShare is the part of the promised bound that daemons use. The rest covers
// daemons that do not know of each other yet.
const usedBudgetShare = 0.75

// Retries is the bound on second attempts at a service, over all daemons: Ratio
// for each request, and Slack beyond that in each Window.
type Retries struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// budget returns one daemon's part of the bound. What it saves up and what it
// gains in a window add up to its part of the slack.
func (r Retries) daemonBudget(daemons int) attempts.BudgetConfig {
	slack := usedBudgetShare * r.Slack / float64(max(1, daemons))
	return attempts.BudgetConfig{
		Share:     usedBudgetShare * r.Ratio,
		PerSecond: slack / 2 / r.Window.Seconds(),
		Burst:     slack / 2,
	}
}
