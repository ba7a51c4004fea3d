package servers

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// maxReplacedIncarnations is the number of replaced incarnations kept for a
	// server.
	maxReplacedIncarnations = 16
	// replacedTTL is the time for which replaced incarnations of an expired server
	// are kept; no daemon delays a forwarded announcement that long.
	replacedTTL = 10 * time.Minute
)

// replacedIncarnations holds the replaced incarnations of one server id, oldest
// first.
type replacedIncarnations struct {
	ids       []string
	lastAdded time.Time
}

func (r *replacedIncarnations) add(now time.Time, incarnation string) {
	r.lastAdded = now
	if slices.Contains(r.ids, incarnation) {
		return
	}
	r.ids = append(r.ids, incarnation)
	if len(r.ids) > maxReplacedIncarnations {
		r.ids = r.ids[1:]
	}
}

// stateRank orders the states through which an incarnation passes.
var stateRank = map[gypsumshelf.ServerState]int{
	gypsumshelf.ServerStarting: 0,
	gypsumshelf.ServerReady:    1,
	gypsumshelf.ServerLeaving:  2,
}

// outdated reports whether an announcement is older than the known one. Forwarded
// announcements may arrive late and out of order:
//   - a replaced incarnation never returns;
//   - within an incarnation, leaving is final and the sequence must grow; without
//     a sequence the state may only advance;
//   - a forwarded announcement of another incarnation must have a higher sequence
//     than the known one, unless the known one has expired. A direct announcement
//     need not, since the clock of a host may be set back.
func (t *Table) outdated(now time.Time, a gypsumshelf.Announcement, forwarded bool) bool {
	if r := t.replaced[a.Server]; r != nil && slices.Contains(r.ids, a.Incarnation) {
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
