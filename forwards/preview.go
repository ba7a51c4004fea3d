package forwards

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// Previewer states what would become of a job.
type Previewer interface {
	// Preview also returns the address of the scheduler that would decide, empty for
	// that of this daemon.
	Preview(job schedules.Job) (schedules.Preview, string, error)
}

// Errors of previews.
var (
	ErrNoRoute        = errors.New("no route for this host and path")
	ErrInvalidPreview = errors.New("invalid request for a preview")
	errNoCatalog      = errors.New("the daemon has no catalog yet")
	errNoPreviews     = errors.New("the daemon answers no previews")
)

// maxPreviewTokens bounds the tokens of a previewed prompt and of its answer. It is ten
// times the longest prompt that the system is built for.
const maxPreviewTokens = 10_000_000

// PreviewRequest describes a request that is not sent.
type PreviewRequest struct {
	Host         string
	Path         string
	PromptTokens int    // 0 for the mean of the service
	AnswerTokens int    // maximum, 0 for twice the mean of the service
	Workspace    string // empty for the priority of the route
}

// Deciders of previews.
const (
	DecidedByLeader = "leader"
	DecidedByDaemon = "local" // this daemon's own scheduler, or its choice of a plain server
)

// Preview states where a request would go now.
type Preview struct {
	Route     string `json:"route"`
	Service   string `json:"service"` // the one with the largest weight in the split of the route
	DecidedBy string `json:"decided-by"`
	Scheduler string `json:"scheduler,omitempty"` // address of the leader
	Decision  string `json:"decision"`            // placed, waits or refused
	Reason    string `json:"reason,omitempty"`    // of a refusal

	Server           gypsumshelf.ServerID   `json:"server,omitempty"`
	Helpers          []gypsumshelf.ServerID `json:"helpers,omitempty"`
	PredictedFirstMs int64                  `json:"predicted-first-ms,omitempty"`
	TargetMs         int64                  `json:"target-ms,omitempty"`
	GapTargetMs      int64                  `json:"gap-target-ms,omitempty"`
	Waiting          int                    `json:"waiting"` // jobs in the queue of the service
	StateAgeMs       int64                  `json:"state-age-ms"`

	Candidates []PreviewCandidate `json:"candidates"`
}

// Decisions of previews.
const (
	previewPlaced  = "placed"
	previewWaits   = "waits"
	previewRefused = "refused"
)

// PreviewCandidate is a backend server of the service.
type PreviewCandidate struct {
	Server           gypsumshelf.ServerID `json:"server"`
	DataCentre       string               `json:"data-centre"`
	PredictedFirstMs *int64               `json:"predicted-first-ms,omitempty"` // of engines
	PauseMs          *int64               `json:"pause-ms,omitempty"`           // of the answers of engines
	Active           int                  `json:"active"`                       // answers or requests
	Slots            int                  `json:"slots"`
	Excluded         string               `json:"excluded,omitempty"` // why it is not chosen
	LoadAgeMs        *int64               `json:"load-age-ms,omitempty"`
}

// Preview states where a request would go now, and why. It answers operators, under any
// load. The request is not sent and no state changes.
func (f *Forwarder) Preview(r PreviewRequest) (Preview, error) {
	c := f.Catalog()
	switch {
	case r.PromptTokens < 0 || r.PromptTokens > maxPreviewTokens || r.AnswerTokens < 0 || r.AnswerTokens > maxPreviewTokens:
		return Preview{}, fmt.Errorf("%w: the numbers of tokens must be between 0 and %d", ErrInvalidPreview, maxPreviewTokens)
	case f.cfg.Previewer == nil:
		return Preview{}, errNoPreviews
	case c == nil:
		return Preview{}, errNoCatalog
	}
	route := c.Route(r.Host, r.Path)
	if route == nil {
		return Preview{}, ErrNoRoute
	}
	var workspace *catalogs.Workspace
	if r.Workspace != "" {
		if workspace = c.WorkspaceNamed(r.Workspace); workspace == nil {
			return Preview{}, fmt.Errorf("%w: there is no workspace %q", ErrInvalidPreview, r.Workspace)
		}
	}
	heaviest := slices.MaxFunc(route.Split, func(a, b catalogs.WeightedService) int { return cmp.Compare(a.Weight, b.Weight) })
	service := c.Service(heaviest.Service)
	preview := Preview{
		Route: route.Name, Service: service.Name, DecidedBy: DecidedByDaemon,
		TargetMs: route.Target.Milliseconds(), GapTargetMs: route.GapTarget.Milliseconds(),
	}
	if service.Engine == nil {
		f.previewPlain(&preview, service)
	} else {
		now := f.cfg.Fleet.now()
		req := &proxyRequest{
			forwarder: f, route: route, service: service, workspace: workspace, arrived: now, deadline: now.Add(route.Timeout),
			meta:     RequestMeta{PromptTokens: r.PromptTokens, MaxAnswerTokens: r.AnswerTokens, LastEvent: NoEvent},
			identity: &identity{}, // no caller has sent the request
		}
		job := req.newJob()
		job.ID = previewJob
		if err := f.previewEngines(&preview, job); err != nil {
			return Preview{}, err
		}
	}
	if reason := f.refusalBeforePlacement(service.Name); reason != "" {
		preview.Decision, preview.Reason, preview.Server, preview.Helpers, preview.PredictedFirstMs = previewRefused, reason, "", nil, 0
	}
	return preview, nil
}

// previewJob is the ID of previewed jobs. The IDs of others end with a point and a number.
const previewJob schedules.JobID = "preview"

// refusalBeforePlacement returns why any request of a service would be refused before a
// backend server is chosen, empty if it would not.
func (f *Forwarder) refusalBeforePlacement(service string) string {
	pause := f.cfg.Fleet.shortestPause(service)
	switch {
	case f.cfg.StateFresh != nil && !f.cfg.StateFresh():
		return "no control daemon has confirmed the state for too long"
	case f.isDraining():
		return "the daemon is stopping"
	case f.cfg.Dialer.HasNoWay(service):
		return noWayReason
	case pause > 0:
		return fmt.Sprintf("all backend servers of the service have asked for a pause of at least %d ms", pause.Milliseconds())
	}
	return ""
}

// previewEngines asks the scheduler that would decide about a job.
func (f *Forwarder) previewEngines(preview *Preview, job schedules.Job) error {
	decision, scheduler, err := f.cfg.Previewer.Preview(job)
	if err != nil {
		return err
	}
	if scheduler != "" {
		preview.DecidedBy, preview.Scheduler = DecidedByLeader, scheduler
	}
	preview.Waiting = decision.Waiting
	switch p := decision.Placement; {
	case p != nil:
		preview.Decision, preview.Server, preview.Helpers, preview.PredictedFirstMs = previewPlaced, p.Server, p.Helpers, p.First.Milliseconds()
	case decision.Refusal != "":
		preview.Decision, preview.Reason = previewRefused, decision.Refusal
	default:
		preview.Decision = previewWaits
	}
	for _, e := range decision.Engines {
		c := PreviewCandidate{
			Server: e.Server, DataCentre: e.DataCentre, PredictedFirstMs: milliseconds(e.First), PauseMs: milliseconds(e.Pause),
			Active: e.Answers, Slots: e.Slots, Excluded: e.Exclusion,
		}
		if e.HasLoad {
			c.LoadAgeMs = milliseconds(e.LoadAge)
		}
		preview.Candidates = append(preview.Candidates, c)
	}
	return nil
}

func milliseconds(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}

// previewPlain states which backend server of a plain service this daemon would choose.
func (f *Forwarder) previewPlain(preview *Preview, service *catalogs.Service) {
	var best float64
	for _, p := range f.cfg.Fleet.previews(service.Name) {
		preview.Candidates = append(preview.Candidates, p.PreviewCandidate)
		if p.Excluded == "" && (preview.Server == "" || p.score < best) {
			preview.Server, best = p.Server, p.score
		}
	}
	if preview.Decision = previewPlaced; preview.Server == "" {
		preview.Decision, preview.Reason = previewRefused, "no backend server of the service takes requests of this daemon now"
	}
}

// plainPreview is a candidate with its score, the lowest of which is chosen.
type plainPreview struct {
	PreviewCandidate
	score float64
}

// previews returns all backend servers of a service, by ID.
func (f *Fleet) previews(service string) []plainPreview {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var previews []plainPreview
	for _, entry := range f.roster.All() {
		if entry.Service != service {
			continue
		}
		h := f.health[entry.ID]
		if h == nil || h.serverStart != entry.Born {
			h = &serverHealth{}
		}
		p := plainPreview{PreviewCandidate: PreviewCandidate{
			Server: entry.ID, DataCentre: entry.DataCentre, Active: h.ownRequests, Slots: entry.Slots, Excluded: f.exclusion(now, entry, h),
		}}
		if !h.reportedAt.IsZero() {
			p.LoadAgeMs = milliseconds(now.Sub(h.reportedAt))
		}
		if now.Sub(h.reportedAt) < loadReportTTL {
			p.Active = max(p.Active, h.reportedLoad)
		}
		if p.Excluded == "" {
			p.score = f.score(now, entry)
		}
		previews = append(previews, p)
	}
	slices.SortFunc(previews, func(a, b plainPreview) int { return cmp.Compare(a.Server, b.Server) })
	return previews
}

// exclusion returns why a plain backend server gets no request of this daemon now, empty
// if it may. The caller holds mu.
func (f *Fleet) exclusion(now time.Time, entry rosters.Entry, h *serverHealth) string {
	switch {
	case entry.Gone:
		return "it has ended"
	case !entry.Usable():
		return "it leaves"
	case f.outOfService[entry.DataCentre]:
		return "its data centre is out of service"
	case now.Before(h.pausedUntil):
		return "it has asked this daemon for a pause"
	case now.Sub(h.askedAt) < noRoomTTL && now.Before(h.noRoomUntil):
		return "its limit is used up"
	}
	return ""
}
