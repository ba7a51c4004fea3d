package forwards

import (
	"fmt"
	"slices"
	"testing"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// Guards against backend servers that get no work for a while, as if they had stalled, since
// the time of a request was over while they were at work on it.
func TestServerIsNotBlamedForTheDeadline(t *testing.T) {
	const requests = 40
	for path, service := range map[string]string{"/unsafe/": "plain", "/stream/": "engines"} {
		t.Run(service, func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "s1", service, silent))
			f.placer.engines = slices.Repeat(f.placer.engines, requests)
			for i := range requests {
				f.send("POST", path, "x", "Id", fmt.Sprint("r", i), "Wait", "30")
			}
			f.server.Close() // waits for the end of the requests
			blamed := 0
			for _, line := range f.logLines("attempt failed") {
				if line["outcome"] != schedules.Cancelled.String() {
					blamed++
				}
			}
			if blamed > 0 {
				t.Errorf("%d of %d attempts count as failures of the backend server, want none", blamed, requests)
			}
		})
	}
}
