package admissions

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time in which the weight of past work decays to 1/e.
	usageTimeConstant = 30 * time.Second
	// fairTolerance times the mean usage is the limit above which a workspace is
	// queued behind the others. Below it, only the due time decides.
	fairTolerance = 1.25
	// usageRebaseInterval bounds the exponent of the stored weights.
	usageRebaseInterval = 20 * usageTimeConstant
)

// usage is the exponentially decaying sum of the work of each workspace. Instead of
// decaying all sums, it weights new work with a factor that grows with time.
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

// aboveFairShare reports for each waiting workspace whether its usage exceeds its
// fair share among them.
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
