package forwards

import (
	"errors"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// fakePreviewer returns a fixed preview and keeps the last job.
type fakePreviewer struct {
	preview   schedules.Preview
	scheduler string
	err       error
	job       schedules.Job
}

func (p *fakePreviewer) Preview(job schedules.Job) (schedules.Preview, string, error) {
	p.job = job
	return p.preview, p.scheduler, p.err
}

func newPreviewFixture(t *testing.T, previewer *fakePreviewer, backends ...*fakeBackend) *fixture {
	t.Helper()
	f := newStartedFixture(t, backends...)
	f.forwarder.cfg.Previewer = previewer
	return f
}

func requirePreview(t *testing.T, f *fixture, r PreviewRequest) Preview {
	t.Helper()
	p, err := f.forwarder.Preview(r)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against previews that state another decision or decider than the scheduler does.
func TestPreviewOfEngines(t *testing.T) {
	placed := schedules.Preview{
		Placement: &schedules.Placement{Server: "s1", First: 80 * time.Millisecond}, Waiting: 3,
		Engines: []schedules.EnginePreview{{Server: "s1", Pause: 20 * time.Millisecond, HasLoad: true, LoadAge: time.Second}, {Server: "s2", Exclusion: "full"}},
	}
	for _, c := range []struct {
		name               string
		previewer          fakePreviewer
		decision, by, text string
	}{
		{"placed by the leader", fakePreviewer{preview: placed, scheduler: "leader:1"}, previewPlaced, DecidedByLeader, ""},
		{"placed locally", fakePreviewer{preview: placed}, previewPlaced, DecidedByDaemon, ""},
		{"waits", fakePreviewer{}, previewWaits, DecidedByDaemon, ""},
		{"refused", fakePreviewer{preview: schedules.Preview{Refusal: "late"}}, previewRefused, DecidedByDaemon, "late"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPreviewFixture(t, &c.previewer)
			p := requirePreview(t, f, PreviewRequest{Host: "127.0.0.1", Path: "/stream/x", PromptTokens: 700, AnswerTokens: 90, Workspace: "w"})
			if p.Decision != c.decision || p.DecidedBy != c.by || p.Reason != c.text || p.Scheduler != c.previewer.scheduler || len(p.Candidates) != len(c.previewer.preview.Engines) {
				t.Errorf("the preview is %+v", p)
			}
			if j := c.previewer.job; j.ID != previewJob || j.Prompt != 700 || j.Answer != 90 || j.Workspace != "w" || j.DataCentre != "a" || j.Target <= 0 || j.Target > 100*time.Millisecond {
				t.Errorf("the job is %+v", j)
			}
		})
	}
}

// Guards against previews that send something, or choose another server than the request
// would get.
func TestPreviewOfPlainServers(t *testing.T) {
	near, far := newFakeBackend(t, "s1", "plain", respondWith(200, "")), newFakeBackend(t, "s2", "plain", respondWith(200, ""))
	far.record.DataCentre = "b"
	f := newPreviewFixture(t, &fakePreviewer{}, near, far)
	ask := func() Preview {
		return requirePreview(t, f, PreviewRequest{Host: "127.0.0.1", Path: "/safe/x"})
	}
	assertChosen := func(t *testing.T, want, excluded string) {
		t.Helper()
		p := ask()
		if string(p.Server) != want || p.Candidates[0].Excluded != excluded {
			t.Errorf("the preview is %+v, want %q and the exclusion %q", p, want, excluded)
		}
	}
	near.record.DataCentre = "a"
	t.Run("the nearest", func(t *testing.T) { assertChosen(t, "s1", "") })
	t.Run("the nearest asks for a pause", func(t *testing.T) {
		entry, _ := f.forwarder.cfg.Fleet.Get("s1")
		f.forwarder.cfg.Fleet.pause(entry, time.Minute)
		assertChosen(t, "s2", "it has asked this daemon for a pause")
	})
	t.Run("out of service", func(t *testing.T) {
		f.forwarder.cfg.Fleet.SetOutOfService([]string{"a", "b"}, func(string) time.Duration { return 0 })
		assertChosen(t, "", "its data centre is out of service")
		if p := ask(); p.Decision != previewRefused {
			t.Errorf("the decision is %q", p.Decision)
		}
	})
	t.Run("it leaves", func(t *testing.T) {
		record := near.record
		record.Leaving, record.Sequence = true, 9
		f.forwarder.cfg.Fleet.Merge([]rosters.Record{record})
		assertChosen(t, "", "it leaves")
	})
	assertCount(t, near, 0)
	assertCount(t, far, 0)
}

// Guards against previews of requests that would be refused at once, or that nobody sends.
func TestRefusedPreviews(t *testing.T) {
	known := PreviewRequest{Host: "127.0.0.1", Path: "/stream/x"}
	failure := errors.New("no answer")
	for _, c := range []struct {
		name   string
		change func(r *PreviewRequest)
		want   error
	}{
		{"no route", func(r *PreviewRequest) { r.Path = "/none/" }, ErrNoRoute},
		{"negative tokens", func(r *PreviewRequest) { r.PromptTokens = -1 }, ErrInvalidPreview},
		{"too many tokens", func(r *PreviewRequest) { r.AnswerTokens = maxPreviewTokens + 1 }, ErrInvalidPreview},
		{"unknown workspace", func(r *PreviewRequest) { r.Workspace = "x" }, ErrInvalidPreview},
		{"failing scheduler", func(*PreviewRequest) {}, failure},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := known
			c.change(&r)
			if _, err := newPreviewFixture(t, &fakePreviewer{err: failure}).forwarder.Preview(r); !errors.Is(err, c.want) {
				t.Errorf("error is %v, want %v", err, c.want)
			}
		})
	}
	t.Run("old state", func(t *testing.T) {
		f := newPreviewFixture(t, &fakePreviewer{preview: schedules.Preview{Placement: &schedules.Placement{Server: "s1"}}})
		f.forwarder.cfg.StateFresh = func() bool { return false }
		if p := requirePreview(t, f, known); p.Decision != previewRefused || p.Server != "" {
			t.Errorf("the preview is %+v, want a refusal", p)
		}
	})
	t.Run("before the first catalog", func(t *testing.T) {
		f := newFixture(t)
		f.forwarder.cfg.Previewer = &fakePreviewer{}
		if _, err := f.forwarder.Preview(known); !errors.Is(err, errNoCatalog) {
			t.Errorf("error is %v, want %v", err, errNoCatalog)
		}
	})
}
