package servers

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// maxReplacedIncarnations bounds the replaced incarnations remembered for a server.
	maxReplacedIncarnations = 16
	// replacedTTL is the time for which replaced incarnations of a silent server
	// are remembered; no daemon delays a forwarded announcement that long.
	replacedTTL = 10 * time.Minute
)

// replacedIncarnations remembers the replaced incarnations of one server id.
type replacedIncarnations struct {
	ids       []string
	lastAdded time.Time
}

func (h *replacedIncarnations) add(now time.Time, incarnation string) {
	h.lastAdded = now
	if slices.Contains(h.ids, incarnation) {
		return
	}
	h.ids = append(h.ids, incarnation)
	if len(h.ids) > maxReplacedIncarnations {
		h.ids = h.ids[1:]
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
	if h := t.replaced[a.Server]; h != nil && slices.Contains(h.ids, a.Incarnation) {
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
