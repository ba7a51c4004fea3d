package paths

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// decayTime is the time constant of the exponential decay of the evidence. Streams
	// between two data centres bring enough events in it to tell 1% of lost packets
	// from none, and a path that has recovered is used again after a few of it.
	decayTime = time.Second
	// priorStallRate and priorEvents are the evidence of a sound path with which each
	// path begins, so that a single stall does not count as a bad path.
	priorStallRate = 0.002
	priorEvents    = 200
	// lossyStreamShare is the share of streams that stall from which a path is lossy,
	// and soundStreamShare the one below which it is sound again.
	lossyStreamShare = 0.2
	soundStreamShare = 0.1
	// minUnreached is the number of connections that could not be made directly from
	// which a path may be lost. A single one may be due to a lost packet.
	minUnreached = 2
	// lostShare is the share of such connections from which a path is lost, and
	// regainedShare the one below which it is not lost any more.
	lostShare     = 0.5
	regainedShare = 0.25
	// lostRetention is the time for which a path counts as lost without any further
	// evidence. Connections are rarely tried while it is lost.
	lostRetention = 10 * time.Second
	// reportTTL is the time for which a report of another daemon is used.
	reportTTL = 5 * time.Second
	// trialsPerSecond bounds the streams that show whether a bad path is sound again.
	trialsPerSecond = 2
	// maxPairs bounds the table. It is above the pairs of data centres of any
	// deployment; samples of further pairs are ignored.
	maxPairs = 4096
	// defaultStreamEvents is the assumed number of events of a stream.
	defaultStreamEvents = 30
)

// pair identifies a path. Loss in either direction delays a connection, so that both
// directions are one path.
type pair struct{ a, b string }

func pairOf(from, to string) pair {
	if from > to {
		from, to = to, from
	}
	return pair{a: from, b: to}
}

// path is the evidence about one path and its state.
type path struct {
	at        time.Time // to which the sums have decayed
	events    float64
	stalls    float64
	unreached float64
	direct    float64 // connections that were made directly
	evidence  time.Time
	state     State
	trials    *rate.Limiter
}

// Change is a change of the state of a path.
type Change struct {
	From, To    string
	State       State
	StallRate   float64 // of events
	StreamShare float64 // share of usual streams that stall
}

// Table holds the states of the paths between data centres. It is not safe for concurrent
// use.
type Table struct {
	streamEvents int
	paths        map[pair]*path
	reported     map[pair]reported
	changes      []Change
}

type reported struct {
	state State
	at    time.Time
}

// NewTable returns a Table in which all paths are sound.
func NewTable() *Table {
	return &Table{streamEvents: defaultStreamEvents, paths: map[pair]*path{}, reported: map[pair]reported{}}
}

// SetStreamEvents sets the number of events of a usual stream, by which a stall rate is
// judged.
func (t *Table) SetStreamEvents(n int) {
	if n > 0 {
		t.streamEvents = n
	}
}

// Record adds a sample. It returns an error if the sample is invalid.
func (t *Table) Record(now time.Time, s Sample) error {
	if err := s.Validate(); err != nil {
		return err
	}
	key := pairOf(s.From, s.To)
	p := t.paths[key]
	if p == nil {
		if len(t.paths) >= maxPairs {
			return nil
		}
		p = &path{at: now, trials: rate.NewLimiter(trialsPerSecond, 1)}
		t.paths[key] = p
	}
	p.decay(now)
	p.events += float64(s.Events)
	p.stalls += float64(s.Stalls)
	p.unreached += float64(s.Unreached)
	if s.Events > 0 && s.Unreached == 0 {
		p.direct++
	}
	if !s.IsEmpty() {
		p.evidence = now
	}
	t.judge(now, key, p)
	return nil
}

func (p *path) decay(now time.Time) {
	if d := now.Sub(p.at); d > 0 {
		factor := math.Exp(-d.Seconds() / decayTime.Seconds())
		p.events *= factor
		p.stalls *= factor
		p.unreached *= factor
		p.direct *= factor
		p.at = now
	}
}

// stallRate returns the estimated share of events that stall.
func (p *path) stallRate() float64 {
	return (p.stalls + priorStallRate*priorEvents) / (p.events + priorEvents)
}

// streamShare returns the share of streams with that many events in which one stalls.
func streamShare(stallRate float64, events int) float64 {
	return 1 - math.Pow(1-min(1, stallRate), float64(events))
}

// judge updates the state of a path, with hysteresis.
func (t *Table) judge(now time.Time, key pair, p *path) {
	share := streamShare(p.stallRate(), t.streamEvents)
	unreachedShare := p.unreached / max(1, p.unreached+p.direct)
	state := p.state
	switch {
	case p.unreached >= minUnreached && unreachedShare >= lostShare:
		state = Lost
	case p.state == Lost && now.Sub(p.evidence) < lostRetention && (p.direct < 1 || unreachedShare >= regainedShare):
	case share >= lossyStreamShare:
		state = Lossy
	case p.state != Lossy || share < soundStreamShare:
		state = Sound
	}
	if state != p.state {
		p.state = state
		t.changes = append(t.changes, Change{From: key.a, To: key.b, State: state, StallRate: p.stallRate(), StreamShare: share})
	}
}

// State returns the state of the path between two data centres. It is the worse one of
// what this table has evidence for and what another daemon reported lately.
func (t *Table) State(now time.Time, from, to string) State {
	if from == to {
		return Sound
	}
	key := pairOf(from, to)
	state := Sound
	if p := t.paths[key]; p != nil {
		p.decay(now)
		t.judge(now, key, p)
		state = p.state
	}
	if r, ok := t.reported[key]; ok {
		if now.Sub(r.at) > reportTTL {
			delete(t.reported, key)
		} else {
			state = max(state, r.state)
		}
	}
	return state
}

// AllowTrial reports whether a stream may use a path that is not sound, to find out
// whether it is sound again, and counts that stream.
func (t *Table) AllowTrial(now time.Time, from, to string) bool {
	p := t.paths[pairOf(from, to)]
	return p != nil && p.state != Sound && p.trials.AllowN(now, 1)
}

// States returns the paths of a data centre that are not sound, by their other end.
func (t *Table) States(now time.Time, from string) []Report {
	var reports []Report
	for key := range t.paths {
		if key.a != from && key.b != from {
			continue
		}
		if state := t.State(now, key.a, key.b); state != Sound {
			to := key.a
			if to == from {
				to = key.b
			}
			reports = append(reports, Report{From: from, To: to, State: state})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.To, b.To) })
	return reports
}

// Merge replaces what other daemons have reported about the paths of a data centre.
func (t *Table) Merge(now time.Time, from string, reports []Report) {
	for key := range t.reported {
		if key.a == from || key.b == from {
			delete(t.reported, key)
		}
	}
	for _, r := range reports {
		if r.From == from && r.To != "" && r.To != from && r.State <= Lost && len(t.reported) < maxPairs {
			t.reported[pairOf(r.From, r.To)] = reported{state: r.State, at: now}
		}
	}
}

// Samples returns the evidence of the table, for a daemon that has none.
func (t *Table) Samples(now time.Time) []Sample {
	var samples []Sample
	for key, p := range t.paths {
		p.decay(now)
		s := Sample{From: key.a, To: key.b, Events: int(p.events), Stalls: int(math.Round(p.stalls)), Unreached: int(math.Round(p.unreached))}
		s.Stalls = min(s.Stalls, s.Events)
		if s.Stalls > 0 || s.Unreached > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}

// TakeChanges returns the changes of states since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Copy returns a table with the same states, of which changes do not affect the original.
func (t *Table) Copy(now time.Time) *Table {
	out := &Table{streamEvents: t.streamEvents, paths: make(map[pair]*path, len(t.paths)), reported: maps.Clone(t.reported)}
	for key, p := range t.paths {
		c := *p
		c.trials = rate.NewLimiter(trialsPerSecond, 1)
		if p.trials.TokensAt(now) < 1 {
			c.trials.AllowN(now, 1)
		}
		out.paths[key] = &c
	}
	return out
}
