package controls

import "gypsumshelf.example/gypsumshelf/paces"

// PaceCounts returns the number of backend servers by the phase of their pace, 0 while this
// daemon does not schedule.
func (d *Daemon) PaceCounts() map[paces.Phase]int { return d.dispatcher.PaceCounts() }

// RefusedGrowth returns how often the pace of a backend server did not grow, by reason.
func (d *Daemon) RefusedGrowth() map[string]uint64 { return d.dispatcher.RefusedGrowth() }
