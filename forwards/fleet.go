package forwards

import (
	"slices"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

const (
	// firstRest is the time for which a backend server that failed gets no new
	// work from this daemon while others can take it; it doubles with each
	// further failure, up to maxRest.
	firstRest = 500 * time.Millisecond
	maxRest   = 8 * time.Second
	// failureWeight is the weight of the newest answer in the failure share.
	failureWeight = 0.2
	// loadLife is the time for which a stated load is believed.
	loadLife = 500 * time.Millisecond
	// forgetSilent is the time after which a silent backend server is forgotten.
	forgetSilent = time.Minute
)

// health is what this daemon has seen of a backend server.
type health struct {
	born     int64
	running  int       // own requests in progress
	failures int       // consecutive
	share    float64   // of answers that were failures, smoothed
	rest     time.Time // no new work before
	load     int       // stated by the backend server, all callers
	loadAt   time.Time
}

// Fleet is an entry daemon's view of the backend servers.
type Fleet struct {
	dataCentre string
	now        func() time.Time

	mu     sync.Mutex
	roster *rosters.Roster
	out    map[string]bool
	health map[gypsumshelf.ServerID]*health
}

// NewFleet returns an empty Fleet of a daemon in a data centre.
func NewFleet(dataCentre string, now func() time.Time) *Fleet {
	return &Fleet{dataCentre: dataCentre, now: now, roster: rosters.New(), out: map[string]bool{}, health: map[gypsumshelf.ServerID]*health{}}
}

// Merge takes records and reports whether any was news.
func (f *Fleet) Merge(records []rosters.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := false
	for _, r := range records {
		news = f.roster.Merge(f.now(), r) || news
	}
	f.roster.Prune(f.now(), forgetSilent)
	for id := range f.health {
		if _, ok := f.roster.Get(id); !ok {
			delete(f.health, id)
		}
	}
	return news
}

// SetOut replaces the data centres that are out of service.
func (f *Fleet) SetOut(out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out = map[string]bool{}
	for _, dc := range out {
		f.out[dc] = true
	}
}

// Records returns all records and the data centres out of service.
func (f *Fleet) Records() ([]rosters.Known, map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.All(), f.out
}

// Usable returns the record of a backend server that may get new work.
func (f *Fleet) Usable(id gypsumshelf.ServerID) (rosters.Known, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k, ok := f.roster.Get(id)
	return k, ok && k.Usable() && !f.out[k.DataCentre]
}

// MarkGone notes that another backend server answers at a record's address.
func (f *Fleet) MarkGone(k rosters.Known) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := k.Record
	r.Gone = true
	f.roster.Merge(f.now(), r)
}

func (f *Fleet) healthOf(k rosters.Known) *health {
	h := f.health[k.ID]
	if h == nil || h.born != k.Born {
		h = &health{born: k.Born}
		f.health[k.ID] = h
	}
	return h
}

// Choose returns the least loaded backend server of a service that may get new
// work. Those that rest after failures, are silent or were tried come last.
func (f *Fleet) Choose(service string, tried []gypsumshelf.ServerID) (rosters.Known, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var best rosters.Known
	bestScore, found := 0.0, false
	for _, k := range f.roster.All() {
		if k.Service != service || !k.Usable() || f.out[k.DataCentre] || slices.Contains(tried, k.ID) {
			continue
		}
		score := f.score(now, k)
		if !found || score < bestScore {
			best, bestScore, found = k, score, true
		}
	}
	return best, found
}

// Scores of Choose; each is larger than any sum of those below it.
const (
	scoreResting = 10000.0
	scoreSilent  = 1000.0
	scoreFailing = 100.0
	scoreRemote  = 0.5
)

func (f *Fleet) score(now time.Time, k rosters.Known) float64 {
	h := f.healthOf(k)
	load := float64(h.running)
	if now.Sub(h.loadAt) < loadLife {
		load = max(load, float64(h.load))
	}
	score := load/float64(max(1, k.Slots)) + scoreFailing*h.share
	if now.Before(h.rest) {
		score += scoreResting
	}
	if k.Silent {
		score += scoreSilent
	}
	if k.DataCentre != f.dataCentre {
		score += scoreRemote
	}
	return score
}

// Avoided returns the backend servers of a service that rest after failures.
func (f *Fleet) Avoided(service string) []gypsumshelf.ServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var avoided []gypsumshelf.ServerID
	for _, k := range f.roster.All() {
		if k.Service == service && f.health[k.ID] != nil && now.Before(f.health[k.ID].rest) {
			avoided = append(avoided, k.ID)
		}
	}
	return avoided
}

// Begin notes that a request goes to a backend server.
func (f *Fleet) Begin(k rosters.Known) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healthOf(k).running++
}

// End notes how a request at a backend server ended.
func (f *Fleet) End(k rosters.Known, outcome schedules.Outcome, reply Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	h := f.healthOf(k)
	h.running = max(0, h.running-1)
	if reply.Loaded {
		h.load, h.loadAt = reply.Running+reply.Queued, now
	}
	switch {
	case outcome == schedules.Rejected:
		// A full backend server is not a broken one.
		h.rest = now.Add(firstRest / 5)
	case outcome.Failure():
		h.share += failureWeight * (1 - h.share)
		h.rest = now.Add(min(maxRest, firstRest<<min(h.failures, 6)))
		h.failures++
	case outcome == schedules.Completed:
		h.share -= failureWeight * h.share
		h.failures = 0
	}
}
