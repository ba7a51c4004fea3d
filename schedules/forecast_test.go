package schedules

import (
	"math"
	"testing"
	"time"
)

// arrivalsAt records arrivals at a rate that depends on the time.
func arrivalsAt(length time.Duration, perSecond func(at time.Duration) float64) (*forecast, time.Time) {
	f := &forecast{}
	due := 0.0
	const step = time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		for due += perSecond(at) * step.Seconds(); due >= 1; due-- {
			f.record(origin.Add(at))
		}
	}
	return f, origin.Add(length)
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

func assertAbout(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.IsNaN(got) || math.Abs(got-want) > tolerance {
		t.Errorf("%s is %.1f, want %.1f within %.1f", what, got, want, tolerance)
	}
}

// Guards against forecasts that see bursts where there are none, and that see them too late.
func TestForecast(t *testing.T) {
	t.Run("no arrivals", func(t *testing.T) {
		var f forecast
		assertAbout(t, "rate", f.trend(origin).rate(time.Second), 0, 0)
	})
	t.Run("steady", func(t *testing.T) {
		for _, rate := range []float64{30, 75, 400} {
			f, now := arrivalsAt(3*time.Second, steady(rate))
			tr := f.trend(now)
			assertAbout(t, "rate", tr.rate(time.Second), rate, rate/20)
			if tr.isRising(false) {
				t.Errorf("a steady load of %v/s is taken for a burst", rate)
			}
		}
	})
	t.Run("doubles within a second", func(t *testing.T) {
		for _, rate := range []float64{30, 75, 400} {
			f, now := arrivalsAt(2800*time.Millisecond, func(at time.Duration) float64 {
				return rate * (1 + max(0, (at-2*time.Second).Seconds()))
			})
			tr := f.trend(now)
			if rate > 50 && !tr.isRising(false) {
				t.Errorf("%v/s that have nearly doubled are not taken for a burst", rate)
			}
			least := 1.5 * rate
			if rate < 50 {
				least = 1.4 * rate // chance explains more of the rise of few arrivals
			}
			if got := tr.rate(500 * time.Millisecond); got < least || got > 3*rate {
				t.Errorf("rate %.0f/s is predicted, want %.0f to %.0f/s", got, least, 3*rate)
			}
		}
	})
	t.Run("ends", func(t *testing.T) {
		f, now := arrivalsAt(3*time.Second, func(at time.Duration) float64 {
			if at < 2400*time.Millisecond {
				return 200
			}
			return 60
		})
		if got := f.trend(now).rate(time.Second); got > 100 {
			t.Errorf("rate %.0f/s is predicted after a burst, want at most 100/s", got)
		}
		assertAbout(t, "rate after a pause", f.trend(now.Add(time.Minute)).rate(time.Second), 0, 0)
	})
	t.Run("begins with a rush", func(t *testing.T) { // jobs that wait for a new leader
		f := &forecast{}
		for range 100 {
			f.record(origin)
		}
		assertAbout(t, "rate", f.trend(origin.Add(forecastWindow/2-1)).rate(0), 0, 0)
	})
	t.Run("clock goes back", func(t *testing.T) {
		f, now := arrivalsAt(3*time.Second, steady(100))
		f.record(now.Add(-time.Second))
		assertAbout(t, "rate", f.trend(now.Add(-time.Second)).rate(0), 100, 100)
	})
}

// Guards against a prediction of the time at which a rate is reached that contradicts the
// predicted rates.
func TestTimeUntilRate(t *testing.T) {
	f, now := arrivalsAt(3*time.Second, func(at time.Duration) float64 { return 100 + 100*max(0, (at-2*time.Second).Seconds()) })
	tr := f.trend(now)
	middle := (tr.rate(0) + tr.rate(time.Second)) / 2
	for _, test := range []struct {
		name    string
		rate    float64
		want    time.Duration
		reached bool
	}{
		{"exceeded", tr.rate(0) - 1, 0, true},
		{"within reach", middle, 500 * time.Millisecond, true},
		{"out of reach", tr.rate(time.Second) + 1, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, reached := tr.timeUntil(test.rate)
			if reached != test.reached {
				t.Fatalf("reached is %t, want %t", reached, test.reached)
			}
			assertAbout(t, "time in ms", float64(got.Milliseconds()), float64(test.want.Milliseconds()), 1)
		})
	}
}
