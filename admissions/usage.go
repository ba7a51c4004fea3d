package admissions

import (
	"math"
	"time"
)

const (
	// usageMemory is the time after which work counts 1/e in a workspace's usage.
	usageTimeConstant = 30 * time.Second
	// fairTolerance is the part above the mean usage at which a workspace
	// gives way; below it the order by deadline is kept.
	fairTolerance = 1.25
	// usageRebase bounds the exponent of the stored weights.
	usageRebaseInterval = 20 * usageTimeConstant
)

// usage sums the recent work of each workspace. Work is stored with a weight
// that grows with time, which has the effect of a common decay.
type usage struct {
	rebasedAt time.Time
	weighted  map[string]float64
}

func (u *usage) add(now time.Time, workspace string, tokens int) {
	if u.weighted == nil {
		u.weighted = map[string]float64{}
		u.rebasedAt = now
	}
	if now.Sub(u.rebasedAt) > usageRebaseInterval {
		decay := math.Exp(-now.Sub(u.rebasedAt).Seconds() / usageTimeConstant.Seconds())
		for w, x := range u.weighted {
			if x *= decay; x < 1 {
				delete(u.weighted, w)
			} else {
				u.weighted[w] = x
			}
		}
		u.rebasedAt = now
	}
	u.weighted[workspace] += float64(tokens) * math.Exp(now.Sub(u.rebasedAt).Seconds()/usageTimeConstant.Seconds())
}

// above returns the workspaces that have had more than their fair part among
// those that wait.
func (u *usage) aboveFairShare(waiting map[string]int) map[string]bool {
	sum := 0.0
	for w := range waiting {
		sum += u.weighted[w]
	}
	above := map[string]bool{}
	for w := range waiting {
		above[w] = u.weighted[w] > fairTolerance*sum/float64(len(waiting))
	}
	return above
}
