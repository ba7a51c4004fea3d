package servers

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// pastIncarnations bounds the replaced incarnations remembered for a server.
	pastIncarnations = 16
	// pastKeep is the time for which replaced incarnations of a silent server
	// are remembered; no daemon delays a forwarded announcement that long.
	pastKeep = 10 * time.Minute
)

// history remembers the replaced incarnations of one server id.
type history struct {
	past []string
	last time.Time
}

func (h *history) add(now time.Time, incarnation string) {
	h.last = now
	if slices.Contains(h.past, incarnation) {
		return
	}
	h.past = append(h.past, incarnation)
	if len(h.past) > pastIncarnations {
		h.past = h.past[1:]
	}
}

var stateRank = map[gypsumshelf.ServerState]int{
	gypsumshelf.ServerStarting: 0,
	gypsumshelf.ServerReady:    1,
	gypsumshelf.ServerLeaving:  2,
}

// outdated reports whether an announcement is older than what is known. A
// forwarded announcement may arrive late and out of order:
//   - a replaced incarnation never returns;
//   - within an incarnation, leaving is final and the sequence must grow;
//     without a sequence the state may only move forward;
//   - a forwarded announcement of an unknown incarnation must have a higher
//     sequence than the known one unless the known one is silent; a direct
//     announcement needs none, since the clock of a host may be set back.
func (t *Table) outdated(now time.Time, a gypsumshelf.Announcement, forwarded bool) bool {
	if h := t.past[a.Server]; h != nil && slices.Contains(h.past, a.Incarnation) {
		return true
	}
	s := t.servers[a.Server]
	if s == nil {
		return false
	}
	known := s.announcement
	ordered := a.Sequence != 0 && known.Sequence != 0
	if known.Incarnation != a.Incarnation {
		return forwarded && ordered && a.Sequence <= known.Sequence && !t.silent(now, s)
	}
	if known.State == gypsumshelf.ServerLeaving && a.State != gypsumshelf.ServerLeaving {
		return true
	}
	if ordered {
		return a.Sequence <= known.Sequence
	}
	return stateRank[a.State] < stateRank[known.State]
}
