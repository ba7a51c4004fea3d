package metrics

import (
	"testing"

	"gypsumshelf.example/gypsumshelf/paces"
)

// fakePaces has fixed counts.
type fakePaces struct{}

func (fakePaces) PaceCounts() map[paces.Phase]int {
	return map[paces.Phase]int{paces.Steady: 3, paces.BackingOff: 1}
}

func (fakePaces) RefusedGrowth() map[string]uint64 {
	return map[string]uint64{paces.ReasonFlapping: 2}
}

// Guards against phases and reasons that are missing while nothing is in them.
func TestPaceMetrics(t *testing.T) {
	r := New()
	RegisterPaces(r, fakePaces{})
	assertScraped(t, r,
		`gypsumshelf_server_pace{phase="starting"} 0`, `gypsumshelf_server_pace{phase="growing"} 0`,
		`gypsumshelf_server_pace{phase="steady"} 3`, `gypsumshelf_server_pace{phase="backing-off"} 1`,
		`gypsumshelf_server_pace_refused_growth_total{reason="flapping"} 2`, `gypsumshelf_server_pace_refused_growth_total{reason="unused"} 0`,
		`gypsumshelf_server_pace_refused_growth_total{reason="stress"} 0`)
}
