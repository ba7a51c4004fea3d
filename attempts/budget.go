package attempts

import (
	"math/rand/v2"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// BudgetConfig configures a Budget. Zero fields take the defaults below.
type BudgetConfig struct {
	RetryRatio float64       // retries earned by each first attempt
	PerSecond  float64       // retries earned per second regardless of traffic
	Burst      float64       // most retries that can accumulate
	BaseDelay  time.Duration // upper bound of the first delay; it doubles with each attempt
	MaxDelay   time.Duration // upper bound of all delays
	Rand       *rand.Rand    // source of jitter
}

const (
	defaultRetryRatio = 0.1
	defaultPerSecond  = 1
	defaultBurst      = 20
	defaultBaseDelay  = 25 * time.Millisecond // below the 50 ms tick, so that a resumed stream pauses for about one token
	defaultMaxDelay   = time.Second
)

// Budget is a token bucket for each service or model. It bounds retries to a
// ratio of first attempts, so that retries do not overload a fleet that has lost
// servers.
type Budget struct {
	cfg        BudgetConfig
	tokens     map[string]float64
	refilledAt map[string]time.Time
}

// NewBudget returns a Budget with a full bucket for every service and model.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.RetryRatio == 0 {
		cfg.RetryRatio = defaultRetryRatio
	}
	if cfg.PerSecond == 0 {
		cfg.PerSecond = defaultPerSecond
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultBurst
	}
	if cfg.BaseDelay == 0 {
		cfg.BaseDelay = defaultBaseDelay
	}
	if cfg.MaxDelay == 0 {
		cfg.MaxDelay = defaultMaxDelay
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Budget{cfg: cfg, tokens: map[string]float64{}, refilledAt: map[string]time.Time{}}
}

// BudgetKey returns the name of the bucket that a request's retries are taken
// from. Only known models and services have one, so their number is bounded.
func BudgetKey(req gypsumshelf.Request) string {
	if req.Model != "" {
		return "model " + req.Model
	}
	return "service " + req.Service
}

// Resize sets the retries per second and the burst, which depend on the number of
// daemons that share the budget.
func (b *Budget) Resize(perSecond, burst float64) {
	b.cfg.PerSecond, b.cfg.Burst = perSecond, burst
}

// Credit credits the bucket for one first attempt.
func (b *Budget) Credit(now time.Time, key string) {
	b.refill(now, key)
	b.tokens[key] = min(b.cfg.Burst, b.tokens[key]+b.cfg.RetryRatio)
}

// Spend takes one retry from the bucket. It returns false when none is left.
func (b *Budget) Spend(now time.Time, key string) bool {
	b.refill(now, key)
	if b.tokens[key] < 1 {
		return false
	}
	b.tokens[key]--
	return true
}

// refill adds the retries earned since the last refill.
func (b *Budget) refill(now time.Time, key string) {
	last, ok := b.refilledAt[key]
	switch {
	case !ok:
		b.tokens[key] = b.cfg.Burst
	case now.After(last):
		b.tokens[key] = min(b.cfg.Burst, b.tokens[key]+now.Sub(last).Seconds()*b.cfg.PerSecond)
	default:
		return
	}
	b.refilledAt[key] = now
}

// Delay returns the time to wait before the attempt after the n-th: uniform
// between zero and a bound that doubles with n (full jitter).
func (b *Budget) Delay(n int) time.Duration {
	bound := b.cfg.MaxDelay
	if shift := n - 1; shift < 16 {
		bound = min(bound, b.cfg.BaseDelay<<max(0, shift))
	}
	return time.Duration(b.cfg.Rand.Int64N(int64(bound) + 1))
}
