package forwards

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

const (
	// initialBackoff is the time after a failure in which this daemon prefers other
	// backend servers; it doubles with each consecutive failure, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// failureRateWeight is the weight of the newest attempt in the smoothed failure
	// rate.
	failureRateWeight = 0.2
	// loadReportTTL is the time for which a reported load is used.
	loadReportTTL = 500 * time.Millisecond
	// silentServerTTL is the time after which a silent backend server is removed.
	silentServerTTL = time.Minute
)

// serverHealth is this daemon's own record of a backend server.
type serverHealth struct {
	serverStart         int64 // Born of the record; a restart resets the health
	replaced            bool  // another start has answered at its address, and it had not announced its end
	ownRequests         int   // this daemon's requests in progress
	consecutiveFailures int
	failureRate         float64 // smoothed share of failed attempts
	backoffUntil        time.Time
	reportedLoad        int // reported by the backend server, for all daemons
	reportedAt          time.Time
	limit               *namedLimit // nil if it names none
	noRoomUntil         time.Time   // its rate is used up until this time, as of askedAt
	askedAt             time.Time
	pausedUntil         time.Time // it wants nothing from this daemon until this time
	pace                serverPace
}

// Fleet is an entry daemon's view of the backend servers.
type Fleet struct {
	dataCentre string
	now        func() time.Time

	mu           sync.Mutex
	roster       *rosters.Roster
	outOfService map[string]bool
	health       map[gypsumshelf.ServerID]*serverHealth
	pausesEnd    time.Time // end of the last pause that a backend server has asked for
}

// NewFleet returns an empty Fleet of a daemon in dataCentre.
func NewFleet(dataCentre string, now func() time.Time) *Fleet {
	return &Fleet{dataCentre: dataCentre, now: now, roster: rosters.New(), outOfService: map[string]bool{}, health: map[gypsumshelf.ServerID]*serverHealth{}}
}

// Merge adds records and reports whether any of them was new.
func (f *Fleet) Merge(records []rosters.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = f.roster.Merge(f.now(), r) || changed
	}
	f.roster.Prune(f.now(), silentServerTTL)
	for id := range f.health {
		if _, ok := f.roster.Get(id); !ok {
			delete(f.health, id)
		}
	}
	return changed
}

// SetOutOfService replaces the set of data centres that are out of service. Backend servers
// of those that return count as cold for the time that warmUp returns for their service.
func (f *Fleet) SetOutOfService(dataCentres []string, warmUp func(service string) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outOfService = f.roster.SetOutOfService(f.now(), f.outOfService, dataCentres, warmUp)
}

// Records returns all records and the data centres that are out of service.
func (f *Fleet) Records() ([]rosters.Entry, map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.All(), f.outOfService
}

// Usable returns the record of a backend server and reports whether it may get new
// work.
func (f *Fleet) Usable(id gypsumshelf.ServerID) (rosters.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.roster.Get(id)
	return entry, ok && f.takesNewWork(entry)
}

// takesNewWork reports whether a backend server may get new work. The caller holds mu.
func (f *Fleet) takesNewWork(entry rosters.Entry) bool {
	return entry.Usable() && !f.outOfService[entry.DataCentre]
}

// Get returns the record of a backend server.
func (f *Fleet) Get(id gypsumshelf.ServerID) (rosters.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Get(id)
}

// IsReplaced reports whether a later start than that of entry is known under its ID or at
// its address, or another one has answered there, so that the start of entry has ended.
func (f *Fleet) IsReplaced(entry rosters.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current, known := f.roster.Get(entry.ID)
	successor, occupied := f.roster.At(entry.Address)
	if h := f.health[entry.ID]; h != nil && h.serverStart == entry.Born && h.replaced {
		return true
	}
	return known && current.Born > entry.Born || occupied && successor.Born > entry.Born
}

// ServiceAt implements relays.Servers.
func (f *Fleet) ServiceAt(address string) (service string, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, known := f.roster.At(address)
	return entry.Service, known
}

// UsableAt implements relays.Servers.
func (f *Fleet) UsableAt(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, known := f.roster.At(address)
	return known && f.takesNewWork(entry)
}

// AddressesOf implements relays.Servers.
func (f *Fleet) AddressesOf(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, entry := range f.roster.All() {
		if entry.Service == service && f.takesNewWork(entry) && !entry.Silent {
			addresses = append(addresses, entry.Address)
		}
	}
	return addresses
}

// MarkGone marks a record as gone, because another backend server responded at its
// address.
func (f *Fleet) MarkGone(entry rosters.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := entry.Record
	r.Gone = true
	if current, known := f.roster.Get(entry.ID); known && current.Born == entry.Born && current.Usable() {
		f.healthOf(entry).replaced = true
	}
	f.roster.Merge(f.now(), r)
}

// hasAnnouncedEnd reports whether the start of entry has announced that it ends. That it is
// gone may also be known from its successor at the address.
func (f *Fleet) hasAnnouncedEnd(entry rosters.Entry) bool {
	replaced := f.IsReplaced(entry)
	f.mu.Lock()
	defer f.mu.Unlock()
	current, known := f.roster.Get(entry.ID)
	return known && current.Born == entry.Born && (current.Leaving || current.SaidLeaving || current.Gone && !replaced)
}

// markLeaving records that a start of a backend server has said that it leaves. It
// returns false if that was known, or the backend server has started again.
func (f *Fleet) markLeaving(entry rosters.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, marked := f.roster.MarkLeaving(f.now(), entry.ID, entry.Born)
	return marked
}

func (f *Fleet) healthOf(entry rosters.Entry) *serverHealth {
	h := f.health[entry.ID]
	if h == nil || h.serverStart != entry.Born {
		h = &serverHealth{serverStart: entry.Born}
		f.health[entry.ID] = h
	}
	return h
}

// candidate is a backend server that may get a request.
type candidate struct {
	rosters.Entry
	score   float64
	limited bool                  // it takes requests at a limited rate only
	limit   schedules.ServerLimit // the rate, if limited
	noRoom  time.Duration         // for which the rate is used up, as far as known
}

// candidates returns the backend servers of a service that may get new work and were not
// tried, the one with the lowest score first. Servers in backoff or silent ones come
// after all others. coldRate is what a cold one takes in requests per second, 0 for no
// limit.
func (f *Fleet) candidates(service string, coldRate float64, tried []gypsumshelf.ServerID) []candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var candidates []candidate
	for _, entry := range f.roster.All() {
		if entry.Service != service || !f.takesNewWork(entry) || slices.Contains(tried, entry.ID) {
			continue
		}
		h := f.healthOf(entry)
		if now.Before(h.pausedUntil) {
			continue
		}
		c := candidate{Entry: entry, score: f.score(now, entry), limit: schedules.ServerLimit{Server: entry.ID, Born: entry.Born, Named: true}}
		if h.limit != nil {
			c.limited, c.limit.PerSecond, c.limit.Age = true, h.limit.perSecond, now.Sub(h.limit.namedAt)
		}
		if coldRate > 0 && now.Before(entry.ColdUntil) && (!c.limited || coldRate < c.limit.PerSecond) {
			c.limited, c.limit.PerSecond, c.limit.Age = true, coldRate, 0
		}
		if now.Sub(h.askedAt) < noRoomTTL {
			c.noRoom = max(0, h.noRoomUntil.Sub(now))
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return candidates
}

// setNoRoom records that the rates of backend servers are used up for a time.
func (f *Fleet) setNoRoom(servers []schedules.ServerLimit, now time.Time, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range servers {
		if h := f.health[s.Server]; h != nil && h.serverStart == s.Born {
			h.noRoomUntil, h.askedAt = now.Add(wait), now
		}
	}
}

// Score penalties of candidates; each is larger than the sum of those below it.
const (
	penaltyBackoff = 10000.0
	penaltySilent  = 1000.0
	penaltyFailing = 100.0
	penaltyRemote  = 0.5
)

func (f *Fleet) score(now time.Time, entry rosters.Entry) float64 {
	h := f.healthOf(entry)
	load := float64(h.ownRequests)
	if now.Sub(h.reportedAt) < loadReportTTL {
		load = max(load, float64(h.reportedLoad))
	}
	score := load/float64(max(1, entry.Slots)) + penaltyFailing*h.failureRate
	if now.Before(h.backoffUntil) {
		score += penaltyBackoff
	}
	if entry.Silent {
		score += penaltySilent
	}
	if entry.DataCentre != f.dataCentre {
		score += penaltyRemote
	}
	return score
}

// Avoided returns the backend servers of a service that are in backoff or have asked this
// daemon for a pause.
func (f *Fleet) Avoided(service string) []gypsumshelf.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var avoided []gypsumshelf.ServerID
	for _, entry := range f.roster.All() {
		if entry.Service == service && f.health[entry.ID] != nil && (now.Before(f.health[entry.ID].backoffUntil) || now.Before(f.healthOf(entry).pausedUntil)) {
			avoided = append(avoided, entry.ID)
		}
	}
	return avoided
}

// load is a request that is counted at a backend server until end is called.
type load struct {
	fleet  *Fleet
	server rosters.Entry
	ended  bool
}

// track counts a request that is sent to a backend server.
func (f *Fleet) track(server rosters.Entry) *load {
	f.Begin(server)
	return &load{fleet: f, server: server}
}

// end records the outcome of the request. Further calls have no effect.
func (l *load) end(outcome schedules.Outcome, reply ResponseMeta) {
	if l == nil || l.ended {
		return
	}
	l.ended = true
	l.fleet.End(l.server, outcome, reply)
}

// abandon ends the request if an unexpected error has kept end from being called.
func (l *load) abandon() { l.end(schedules.Cancelled, ResponseMeta{}) }

// Begin counts a request that is sent to a backend server.
func (f *Fleet) Begin(entry rosters.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healthOf(entry).ownRequests++
}

// End records the outcome of a request counted by Begin.
func (f *Fleet) End(entry rosters.Entry, outcome schedules.Outcome, reply ResponseMeta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	h := f.healthOf(entry)
	h.ownRequests = max(0, h.ownRequests-1)
	if reply.HasLoad {
		h.reportedLoad, h.reportedAt = reply.Running+reply.Queued, now
	}
	switch {
	case outcome == schedules.Rejected:
		// A full backend server is healthy, so it gets a short backoff and no failure.
		h.backoffUntil = now.Add(initialBackoff / 5)
	case outcome.IsFailure():
		h.failureRate += failureRateWeight * (1 - h.failureRate)
		h.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(h.consecutiveFailures, 6)))
		h.consecutiveFailures++
	case outcome == schedules.Completed:
		h.failureRate -= failureRateWeight * h.failureRate
		h.consecutiveFailures = 0
	}
}
