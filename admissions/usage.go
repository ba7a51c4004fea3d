package admissions

import (
	"math"
	"time"
)

const (
	// usageMemory is the time after which work counts 1/e in a workspace's usage.
	usageMemory = 30 * time.Second
	// fairTolerance is the part above the mean usage at which a workspace
	// gives way; below it the order by deadline is kept.
	fairTolerance = 1.25
	// usageRebase bounds the exponent of the stored weights.
	usageRebase = 20 * usageMemory
)

// usage sums the recent work of each workspace. Work is stored with a weight
// that grows with time, which has the effect of a common decay.
type usage struct {
	start  time.Time
	tokens map[string]float64
}

func (u *usage) add(now time.Time, workspace string, tokens int) {
	if u.tokens == nil {
		u.tokens = map[string]float64{}
		u.start = now
	}
	if now.Sub(u.start) > usageRebase {
		decay := math.Exp(-now.Sub(u.start).Seconds() / usageMemory.Seconds())
		for w, x := range u.tokens {
			if x *= decay; x < 1 {
				delete(u.tokens, w)
			} else {
				u.tokens[w] = x
			}
		}
		u.start = now
	}
	u.tokens[workspace] += float64(tokens) * math.Exp(now.Sub(u.start).Seconds()/usageMemory.Seconds())
}

// above returns the workspaces that have had more than their fair part among
// those that wait.
func (u *usage) above(waiting map[string]int) map[string]bool {
	sum := 0.0
	for w := range waiting {
		sum += u.tokens[w]
	}
	above := map[string]bool{}
	for w := range waiting {
		above[w] = u.tokens[w] > fairTolerance*sum/float64(len(waiting))
	}
	return above
}
