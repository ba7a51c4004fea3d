package schedules

import (
	"math"
	"time"
)

const (
	// forecastStep is the time for which arrivals are counted together. It is less than
	// half of the shortest target, so that a burst is seen before the first prompts of it
	// are late.
	forecastStep = 100 * time.Millisecond
	// forecastWindow is the time whose arrivals are used. Loads of callers double within a
	// second; a longer window would see that too late, and a shorter one holds too few
	// arrivals to tell a trend from chance.
	forecastWindow = time.Second
	// forecastSteps is the number of complete steps of the window.
	forecastSteps = int(forecastWindow / forecastStep)
	// maxForecastTime bounds how far a trend is continued. Nothing that is seen within the
	// window supports a longer one.
	maxForecastTime = forecastWindow
	// risingDeviations is the number of standard deviations by which a rise has to exceed
	// chance to count as the begin of a burst. At 1.5, one of 15 seconds with a steady load
	// is taken for one, which delays few long prompts and never makes them late. At 2, a
	// rate of 50/s that doubles within a second is noticed only when it has done so. The
	// burst lasts while the rise exceeds one deviation.
	risingDeviations = 1.5
)

// forecast predicts the rate of arrivals from those of the last second. Arrivals are
// assumed to be independent of each other, so that their number varies by chance with its
// square root. It answers loads whose rate doubles within a second.
type forecast struct {
	counts [forecastSteps + 1]int // by step; the last one is not complete
	step   time.Time              // begin of the last step
	began  time.Time              // first arrival, rounded down to a step
}

// advance drops the counts of steps that have left the window.
func (f *forecast) advance(now time.Time) {
	passed := now.Sub(f.step) / forecastStep
	switch {
	case passed <= 0:
		return
	case int64(passed) > int64(forecastSteps):
		f.counts = [forecastSteps + 1]int{}
		f.step = now.Truncate(forecastStep)
		return
	}
	n := copy(f.counts[:], f.counts[passed:])
	clear(f.counts[n:])
	f.step = f.step.Add(passed * forecastStep)
}

// record counts an arrival.
func (f *forecast) record(now time.Time) {
	if f.began.IsZero() {
		f.step = now.Truncate(forecastStep)
		f.began = f.step
	}
	f.advance(now)
	f.counts[forecastSteps]++
}

// trend is a line through the rates of the window.
type trend struct {
	perSecond float64 // mean rate of arrivals
	slope     float64 // change of the rate per second
	deviation float64 // standard deviation of slope if the rate is constant
	age       float64 // of the middle of the window, in seconds
}

// trend fits a line to the counts. Steps before the first arrival and the part of the
// last step that is still to come do not count. Half a window is needed at least: the
// jobs that daemons submit again to a new leader come all at once.
func (f *forecast) trend(now time.Time) trend {
	if f.began.IsZero() || now.Sub(f.began) < forecastWindow/2 {
		return trend{}
	}
	f.advance(now)
	if now.Before(f.step) {
		now = f.step // the clock was set back
	}
	type step struct{ middle, length, count float64 } // in seconds, relative to now
	steps := make([]step, 0, len(f.counts))
	var arrivals, seconds, moment float64
	for i, n := range f.counts {
		begin := f.step.Add(time.Duration(i-forecastSteps) * forecastStep)
		if begin.Before(f.began) {
			continue
		}
		length := min(forecastStep, max(0, now.Sub(begin)))
		s := step{middle: begin.Add(length / 2).Sub(now).Seconds(), length: length.Seconds(), count: float64(n)}
		steps = append(steps, s)
		arrivals += s.count
		seconds += s.length
		moment += s.middle * s.length
	}
	middle := moment / seconds
	t := trend{perSecond: arrivals / seconds, age: -middle}
	var spread, tilt float64
	for _, s := range steps {
		spread += s.length * (s.middle - middle) * (s.middle - middle)
		tilt += (s.count - t.perSecond*s.length) * (s.middle - middle)
	}
	t.slope, t.deviation = tilt/spread, math.Sqrt(t.perSecond/spread)
	return t
}

// certainSlope returns the part of the slope that exceeds one deviation.
func (t trend) certainSlope() float64 {
	return math.Copysign(max(0, math.Abs(t.slope)-t.deviation), t.slope)
}

// rate predicts the arrivals per second at a time ahead.
func (t trend) rate(ahead time.Duration) float64 {
	return max(0, t.perSecond+t.certainSlope()*(t.age+min(ahead, maxForecastTime).Seconds()))
}

// timeUntil returns the time until the predicted rate exceeds a rate, and false if it is
// not predicted to.
func (t trend) timeUntil(perSecond float64) (time.Duration, bool) {
	switch {
	case t.rate(0) > perSecond:
		return 0, true
	case t.rate(maxForecastTime) <= perSecond:
		return 0, false
	}
	ahead := (perSecond-t.perSecond)/t.certainSlope() - t.age
	return time.Duration(ahead * float64(time.Second)), true
}

// isRising reports whether a burst begins, or still rises if it has begun.
func (t trend) isRising(begun bool) bool {
	if begun {
		return t.slope > t.deviation
	}
	return t.slope > risingDeviations*t.deviation
}
