package dispatchers

import (
	"errors"
	"strings"
	"testing"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// olderService is that of a build that answers no previews.
type olderService struct{ service *Service }

func (s olderService) Place(job schedules.Job, reply *Reply) error {
	return s.service.Place(job, reply)
}

func (s olderService) Adopt(jobs []AdoptedJob, reply *struct{}) error {
	return s.service.Adopt(jobs, reply)
}

func (s olderService) Tell(updates []JobUpdate, reply *struct{}) error {
	return s.service.Tell(updates, reply)
}

func assertPreviewBy(t *testing.T, c *Client, scheduler string) {
	t.Helper()
	preview, by, err := c.Preview(job("preview"))
	if err != nil || by != scheduler || preview.Placement == nil || preview.Placement.Server != "e1" || len(preview.Engines) != 1 {
		t.Errorf("preview %+v by %q with error %v, want a placement on e1 by %q", preview, by, err, scheduler)
	}
}

// Guards against a preview by another scheduler than the one that would decide, and against
// a preview that makes a daemon avoid its leader.
func TestPreviewIsThatOfTheDecider(t *testing.T) {
	d := newDispatcher(t, 4)
	d.SetActive(true)
	address, _ := serveDispatcher(t, d)
	c := newClient(t, address)
	assertPreviewBy(t, c, "")
	c.SetLeader(address, 1)
	assertPreviewBy(t, c, address)
	for range 2 * previewsPerSecond {
		_, _, _ = c.Preview(job("preview"))
	}
	if _, _, err := c.Preview(job("preview")); err == nil || !strings.Contains(err.Error(), ErrTooManyPreviews.Error()) {
		t.Errorf("error is %v, want %v", err, ErrTooManyPreviews)
	}
	assertPlacedBy(t, c, "j1", address)
}

// Guards against a leader of an older build that counts as unresponsive because it answers
// no previews, and against a preview by the local scheduler in its place.
func TestPreviewAtAnOlderLeader(t *testing.T) {
	d := newDispatcher(t, 4)
	d.SetActive(true)
	address, _ := serve(t, olderService{NewService(d)})
	c := newClient(t, address)
	c.SetLeader(address, 1)
	if _, by, err := c.Preview(job("preview")); err == nil || by != address {
		t.Errorf("preview by %q with error %v, want an error of %s", by, err, address)
	}
	assertPlacedBy(t, c, "j1", address)
}

// Guards against previews of a scheduler that knows no jobs.
func TestPreviewWhileInactive(t *testing.T) {
	if _, err := newDispatcher(t, 4).Preview(job("preview")); !errors.Is(err, ErrInactive) {
		t.Errorf("error is %v, want %v", err, ErrInactive)
	}
}
