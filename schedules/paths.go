package schedules

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf/paths"
)

// RecordPath records evidence about a path. It returns an error if the sample is invalid.
func (s *Scheduler) RecordPath(now time.Time, sample paths.Sample) error {
	if s.paths == nil {
		return nil
	}
	return s.paths.Record(now, sample)
}

// MergePaths replaces what the leader has reported about the paths of a data centre.
func (s *Scheduler) MergePaths(now time.Time, dataCentre string, reports []paths.Report) {
	if s.paths != nil {
		s.paths.Merge(now, dataCentre, reports)
	}
}

// PathState returns the state of the path between two data centres.
func (s *Scheduler) PathState(now time.Time, from, to string) paths.State {
	if s.paths == nil {
		return paths.Sound
	}
	return s.paths.State(now, from, to)
}

// PathReports returns the paths of a data centre that are not sound.
func (s *Scheduler) PathReports(now time.Time, dataCentre string) []paths.Report {
	if s.paths == nil {
		return nil
	}
	return s.paths.States(now, dataCentre)
}

// PathSamples returns the evidence about paths that are not sound, for another scheduler.
func (s *Scheduler) PathSamples(now time.Time) []paths.Sample {
	if s.paths == nil {
		return nil
	}
	return s.paths.Samples(now)
}

// HasJob reports whether a job is known and has not ended.
func (s *Scheduler) HasJob(id JobID) bool { return s.jobs[id] != nil }

// TakePathChanges returns the changes of the states of paths since the last call.
func (s *Scheduler) TakePathChanges() []paths.Change {
	if s.paths == nil {
		return nil
	}
	return s.paths.TakeChanges()
}

// pathState returns the state of the path between two data centres.
func (p *pool) pathState(now time.Time, from, to string) paths.State {
	if p.paths == nil {
		return paths.Sound
	}
	return p.paths.State(now, from, to)
}

// enginesByPath returns the engines over paths from a data centre in a certain state or a
// better one.
func (p *pool) enginesByPath(now time.Time, engines []*engine, from string, worst paths.State) []*engine {
	states := map[string]paths.State{}
	return slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool {
		state, known := states[e.state.DataCentre]
		if !known {
			state = p.pathState(now, from, e.state.DataCentre)
			states[e.state.DataCentre] = state
		}
		return state > worst
	})
}

// placeShortByPath places a short prompt on an engine over a sound path, if one can meet
// the target, and on any engine otherwise. It answers bursts of short prompts while the
// links of one data centre lose packets: a stream over them stalls for 200 ms and more
// with each lost packet, which is worse than a busy engine behind a sound path. A few
// streams are placed over bad paths to find out whether they are sound again.
func (p *pool) placeShortByPath(now time.Time, j *jobState, candidates candidateSet) *Placement {
	if p.paths == nil {
		return p.placeShort(now, j, candidates)
	}
	from := j.request.DataCentre
	sound := p.enginesByPath(now, candidates.engines, from, paths.Sound)
	if len(sound) == len(candidates.engines) {
		return p.placeShort(now, j, candidates)
	}
	if trial := p.placeTrial(now, j, candidates); trial != nil {
		return trial
	}
	onSound := p.placeShort(now, j, candidates.restrict(sound))
	if onSound != nil && p.isOnTime(now, j, onSound) {
		return onSound
	}
	reachable := candidates
	if engines := p.enginesByPath(now, candidates.engines, from, paths.Lossy); len(engines) > 0 {
		reachable = candidates.restrict(engines)
	}
	if anywhere := p.placeShort(now, j, reachable); anywhere != nil && (onSound == nil || p.isOnTime(now, j, anywhere)) {
		return anywhere
	}
	return onSound
}

// isOnTime reports whether a placement is predicted to meet the target of its job.
func (p *pool) isOnTime(now time.Time, j *jobState, placement *Placement) bool {
	return !now.Add(placement.First).After(j.due(j.request.Target))
}

// placeTrial places a short prompt over a path that is not sound, if the path is due for a
// trial and the target can be met. It returns nil otherwise.
func (p *pool) placeTrial(now time.Time, j *jobState, candidates candidateSet) *Placement {
	for _, r := range p.paths.States(now, j.request.DataCentre) {
		over := slices.DeleteFunc(slices.Clone(candidates.engines), func(e *engine) bool { return e.state.DataCentre != r.To })
		placement := p.placeShort(now, j, candidates.restrict(over))
		if placement != nil && p.isOnTime(now, j, placement) && p.paths.AllowTrial(now, r.From, r.To) {
			return placement
		}
	}
	return nil
}

// placeWithinReach places a prompt on a group of engines that reach each other, and that
// the entry daemon reaches. A helper that its primary engine does not reach stalls the
// prompt. The primary engine is one over a sound path if there is a placement.
func (p *pool) placeWithinReach(now time.Time, j *jobState, candidates candidateSet, place func(time.Time, *jobState, candidateSet) *Placement) *Placement {
	if p.paths == nil {
		return place(now, j, candidates)
	}
	reachable := p.enginesByPath(now, candidates.engines, j.request.DataCentre, paths.Lossy)
	if len(reachable) == 0 {
		return place(now, j, candidates)
	}
	var best *Placement
	for _, group := range p.connectedGroups(now, reachable) {
		placement := place(now, j, candidates.restrict(group))
		if placement != nil && (best == nil || placement.First < best.First) {
			best = placement
		}
	}
	return p.preferSoundPrimary(now, j, best)
}

// preferSoundPrimary makes an engine over a sound path the primary one of a placement
// without memory reservations, if one of its helpers is. The streams of long prompts have
// as many events as those of short ones.
func (p *pool) preferSoundPrimary(now time.Time, j *jobState, placement *Placement) *Placement {
	if placement == nil || len(placement.Holds) > 0 {
		return placement
	}
	from := j.request.DataCentre
	if primary := p.engines[placement.Server]; primary == nil || p.pathState(now, from, primary.state.DataCentre) == paths.Sound {
		return placement
	}
	for i, id := range placement.Helpers {
		e := p.engines[id]
		if e == nil || p.pathState(now, from, e.state.DataCentre) != paths.Sound || e.activeAnswers(now) >= p.profile.Slots || e.freeTokens() < j.request.Prompt+j.request.Answer {
			continue
		}
		placement.Helpers[i], placement.Server = placement.Server, id
		return placement
	}
	return placement
}

// withoutLost returns the engines that a primary engine reaches.
func (p *pool) withoutLost(now time.Time, engines []*engine, primary *engine) []*engine {
	if p.paths == nil {
		return engines
	}
	return p.enginesByPath(now, engines, primary.state.DataCentre, paths.Lossy)
}

// maxLostPairs bounds the lost paths among engines that are taken apart, since each one
// doubles the groups. With more of them the fault is hardly one of paths.
const maxLostPairs = 3

// connectedGroups returns the largest groups of engines whose data centres have no lost
// path between them.
func (p *pool) connectedGroups(now time.Time, engines []*engine) [][]*engine {
	var dataCentres []string
	for _, e := range engines {
		if !slices.Contains(dataCentres, e.state.DataCentre) {
			dataCentres = append(dataCentres, e.state.DataCentre)
		}
	}
	excluded := []map[string]bool{{}}
	lost := 0
	for i, a := range dataCentres {
		for _, b := range dataCentres[i+1:] {
			if p.pathState(now, a, b) != paths.Lost || lost >= maxLostPairs {
				continue
			}
			lost++
			excluded = append(withExcluded(excluded, a), withExcluded(excluded, b)...)
		}
	}
	groups := make([][]*engine, 0, len(excluded))
	for _, without := range excluded {
		group := slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool { return without[e.state.DataCentre] })
		if len(group) > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}

// withExcluded returns copies of sets of data centres with another one in each.
func withExcluded(sets []map[string]bool, dataCentre string) []map[string]bool {
	out := make([]map[string]bool, 0, len(sets))
	for _, set := range sets {
		extended := map[string]bool{dataCentre: true}
		for name := range set {
			extended[name] = true
		}
		out = append(out, extended)
	}
	return out
}
