package forwards

import (
	"net/http"
	"strings"
	"testing"

	"gypsumshelf.example/gypsumshelf/buffers"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// Guards against backend servers that get no work for a while, as if they had failed, since
// their sound answers did not fit the memory of this daemon.
func TestServerIsNotBlamedForTheMemoryBudget(t *testing.T) {
	const budget = 128 << 10
	f := newStartedFixture(t, newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, strings.Repeat("x", 2*budget))))
	f.forwarder.bodies = buffers.NewBudget(budget)
	assertAnswer(t, f.send("POST", "/unsafe/", "x"), http.StatusBadGateway, "")
	f.server.Close() // waits for the end of the request
	if line := f.logLines("attempt failed")["r1"]; line["outcome"] != schedules.Cancelled.String() {
		t.Errorf("the attempt ended as %v, want %s", line["outcome"], schedules.Cancelled)
	}
}
