// Package servers holds a daemon's view of the backend servers: their
// announcements, the work in progress on them and their limits.
package servers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Config configures a Table.
type Config struct {
	// Expiry is the time without an announcement after which a backend server
	// is considered dead.
	Expiry time.Duration
	// InService reports whether a data centre may receive new work; nil when
	// all may. It must depend on the state of the reducer only.
	InService func(dataCentre string) bool
	SlowStart SlowStartConfig // DefaultSlowStart when zero
	// Canonical returns the canonical name of a service or model. Servers may
	// announce names of any naming scheme. It is nil when there is one scheme.
	Canonical func(kind gypsumshelf.NameKind, name string) string
}

// Table holds all known backend servers.
type Table struct {
	cfg       Config
	servers   map[gypsumshelf.ServerID]*Server
	byAttempt map[gypsumshelf.AttemptID]*Server
	replaced  map[gypsumshelf.ServerID]*replacedIncarnations
}

// New returns an empty Table.
func New(cfg Config) *Table {
	if cfg.SlowStart == (SlowStartConfig{}) {
		cfg.SlowStart = DefaultSlowStart
	}
	if cfg.InService == nil {
		cfg.InService = func(string) bool { return true }
	}
	if cfg.Canonical == nil {
		cfg.Canonical = func(_ gypsumshelf.NameKind, name string) string { return name }
	}
	return &Table{cfg: cfg, servers: map[gypsumshelf.ServerID]*Server{},
		byAttempt: map[gypsumshelf.AttemptID]*Server{}, replaced: map[gypsumshelf.ServerID]*replacedIncarnations{}}
}

// Update describes the changes made by an announcement.
type Update struct {
	Changed      bool                    // the announcement differs in more than load and sequence
	LostAttempts []gypsumshelf.AttemptID // attempts on a replaced incarnation, which cannot continue
}

// Announce applies an announcement received directly from the server.
func (t *Table) Announce(now time.Time, a gypsumshelf.Announcement) Update {
	return t.applyAnnouncement(now, a, false, now)
}

// AnnounceForwarded applies an announcement that another daemon received age ago.
func (t *Table) AnnounceForwarded(now time.Time, a gypsumshelf.Announcement, age time.Duration) Update {
	return t.applyAnnouncement(now, a, true, now.Add(-age))
}

// applyAnnouncement applies an announcement unless it is outdated.
func (t *Table) applyAnnouncement(now time.Time, a gypsumshelf.Announcement, forwarded bool, heard time.Time) (u Update) {
	if t.outdated(now, a, forwarded) {
		return Update{}
	}
	s := t.servers[a.Server]
	if s == nil || s.announcement.Incarnation != a.Incarnation {
		if s != nil {
			t.rememberReplaced(now, a.Server, s.announcement.Incarnation)
			u.LostAttempts = slices.Sorted(maps.Keys(s.inFlight))
			for _, id := range u.LostAttempts {
				delete(t.byAttempt, id)
			}
		}
		s = newServer(now, t.cfg.SlowStart, a)
		s.outOfService = !t.cfg.InService(a.DataCentre)
		t.servers[a.Server] = s
		s.digest, u.Changed = Digest(a), true
	} else if !equalExceptLoad(s.announcement, a) {
		s.digest, u.Changed = Digest(a), true
	}
	s.setAnnouncement(a)
	if heard.After(s.lastHeard) {
		s.lastHeard = heard
	}
	return u
}

// equalExceptLoad reports whether two announcements of one incarnation differ at
// most in load and sequence.
func equalExceptLoad(a, b gypsumshelf.Announcement) bool {
	return a.State == b.State && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Service == b.Service && a.Kind == b.Kind && slices.Equal(a.Models, b.Models) &&
		a.MemoryTokens == b.MemoryTokens && a.ChecksFencing == b.ChecksFencing
}

func (t *Table) rememberReplaced(now time.Time, id gypsumshelf.ServerID, incarnation string) {
	r := t.replaced[id]
	if r == nil {
		r = &replacedIncarnations{}
		t.replaced[id] = r
	}
	r.add(now, incarnation)
}

func (t *Table) silent(now time.Time, s *Server) bool { return now.Sub(s.lastHeard) > t.cfg.Expiry }

// Expire drops servers without an announcement for Config.Expiry and without an
// attempt in progress.
func (t *Table) Expire(now time.Time) {
	for id, s := range t.servers {
		t.observeDataCentre(now, s)
		if t.silent(now, s) && len(s.inFlight) == 0 {
			delete(t.servers, id)
		}
	}
	for id, r := range t.replaced {
		if now.Sub(r.lastAdded) > replacedTTL && t.servers[id] == nil {
			delete(t.replaced, id)
		}
	}
}

// observeDataCentre updates whether the server's data centre is in service. Slow
// start begins again when it returns to service.
func (t *Table) observeDataCentre(now time.Time, s *Server) {
	out := !t.cfg.InService(s.announcement.DataCentre)
	if s.outOfService && !out {
		s.slowStart.reset(now)
		s.cold = coldDetector{}
	}
	s.outOfService = out
}

// Server returns a server by its id, or nil.
func (t *Table) Server(id gypsumshelf.ServerID) *Server { return t.servers[id] }

// Accepts reports whether a server may take a new attempt: it is ready, not
// expired, has announced itself since it was last unreachable, and its data centre
// is in service.
func (t *Table) Accepts(now time.Time, s *Server) bool {
	t.observeDataCentre(now, s)
	reachable := s.unreachableAt.IsZero() || s.lastHeard.After(s.unreachableAt)
	return reachable && !s.outOfService && s.announcement.State == gypsumshelf.ServerReady && !t.silent(now, s)
}

// Ready returns the servers that may take new work for a service or model, sorted
// by id.
func (t *Table) Ready(now time.Time, service, model string) []*Server {
	var ready []*Server
	for _, s := range t.servers {
		if t.serves(s, service, model) && t.Accepts(now, s) {
			ready = append(ready, s)
		}
	}
	sortByID(ready)
	return ready
}

// IsServed reports whether any server, ready or not, serves the service or model.
func (t *Table) IsServed(service, model string) bool {
	for _, s := range t.servers {
		if t.serves(s, service, model) {
			return true
		}
	}
	return false
}

// All returns every known server, sorted by id.
func (t *Table) All() []*Server {
	all := make([]*Server, 0, len(t.servers))
	for _, s := range t.servers {
		all = append(all, s)
	}
	sortByID(all)
	return all
}

func sortByID(all []*Server) {
	slices.SortFunc(all, func(a, b *Server) int { return cmp.Compare(a.announcement.Server, b.announcement.Server) })
}
