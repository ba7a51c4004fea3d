// Package servers keeps what a daemon knows of the backend servers: their
// announcements, the work in progress on them and how much they can bear.
package servers

import (
	"cmp"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Config configures a Table.
type Config struct {
	// Expiry is the time without an announcement after which a backend server
	// is taken for dead.
	Expiry time.Duration
}

// Server is one backend server as this daemon sees it.
type Server struct {
	announcement gypsumshelf.Announcement
	heard        time.Time
	inFlight     map[gypsumshelf.AttemptID]int // tokens of each attempt of this daemon
	tokens       int
}

// Announcement returns the last announcement.
func (s *Server) Announcement() gypsumshelf.Announcement { return s.announcement }

// InFlight returns the number of attempts and tokens that this daemon has in
// progress on the server.
func (s *Server) InFlight() (attempts, tokens int) { return len(s.inFlight), s.tokens }

// Table holds all known backend servers.
type Table struct {
	cfg     Config
	servers map[gypsumshelf.ServerID]*Server
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, servers: map[gypsumshelf.ServerID]*Server{}}
}

// Announce takes an announcement. It returns the attempts of an earlier
// incarnation, which can no longer be in progress.
func (t *Table) Announce(now time.Time, a gypsumshelf.Announcement) (lost []gypsumshelf.AttemptID) {
	s := t.servers[a.Server]
	if s == nil || s.announcement.Incarnation != a.Incarnation {
		if s != nil {
			lost = s.attempts()
		}
		s = &Server{inFlight: map[gypsumshelf.AttemptID]int{}}
		t.servers[a.Server] = s
	}
	s.announcement = a
	s.heard = now
	return lost
}

func (s *Server) attempts() []gypsumshelf.AttemptID {
	ids := make([]gypsumshelf.AttemptID, 0, len(s.inFlight))
	for id := range s.inFlight {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Expire drops servers that have not announced themselves for Config.Expiry
// and have no attempt in progress.
func (t *Table) Expire(now time.Time) {
	for id, s := range t.servers {
		if now.Sub(s.heard) > t.cfg.Expiry && len(s.inFlight) == 0 {
			delete(t.servers, id)
		}
	}
}

// Server returns a server by its id, or nil.
func (t *Table) Server(id gypsumshelf.ServerID) *Server { return t.servers[id] }

// Started records an attempt that is sent to a server.
func (t *Table) Started(id gypsumshelf.ServerID, attempt gypsumshelf.AttemptID, tokens int) {
	if s := t.servers[id]; s != nil {
		s.inFlight[attempt] = tokens
		s.tokens += tokens
	}
}

// Ended records the end of an attempt.
func (t *Table) Ended(id gypsumshelf.ServerID, attempt gypsumshelf.AttemptID) {
	s := t.servers[id]
	if s == nil {
		return
	}
	s.tokens -= s.inFlight[attempt]
	delete(s.inFlight, attempt)
}

// Ready returns the servers that may take new work for a service or model, in
// the order of their ids.
func (t *Table) Ready(now time.Time, service, model string) []*Server {
	var ready []*Server
	for _, s := range t.servers {
		if s.announcement.State != gypsumshelf.ServerReady || now.Sub(s.heard) > t.cfg.Expiry {
			continue
		}
		if s.serves(service, model) {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, func(a, b *Server) int { return cmp.Compare(a.announcement.Server, b.announcement.Server) })
	return ready
}

// Knows reports whether any server, ready or not, serves the service or model.
func (t *Table) Knows(service, model string) bool {
	for _, s := range t.servers {
		if s.serves(service, model) {
			return true
		}
	}
	return false
}

func (s *Server) serves(service, model string) bool {
	if model != "" {
		return slices.Contains(s.announcement.Models, model)
	}
	return s.announcement.Service == service && s.announcement.Kind == gypsumshelf.KindPlain
}

// All returns every known server in the order of their ids.
func (t *Table) All() []*Server {
	all := make([]*Server, 0, len(t.servers))
	for _, s := range t.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Server) int { return cmp.Compare(a.announcement.Server, b.announcement.Server) })
	return all
}
