package forwards

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// Guards against requests that get no other attempt since the daemon stops, and whose log line
// and counter do not say so.
func TestMissingAttemptIsCountedForTheStop(t *testing.T) {
	for path, service := range map[string]string{"/stream/": "engines", "/safe/": "plain"} {
		t.Run(service, func(t *testing.T) {
			var f *fixture
			b := newFakeBackend(t, "s1", service, func(_ *http.Request, _ string, conn net.Conn) {
				f.drainFor(minAttemptTime)
				fmt.Fprint(conn, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			})
			f = newStartedFixture(t, b)
			f.placer.engines = append(f.placer.engines, f.placer.engines...)
			assertAnswer(t, f.send("POST", path, "x"), http.StatusServiceUnavailable, "")
			assertCount(t, b, 1)
			f.assertEndedByStop("r1", outcomeRefused, phaseAwaiting)
			if handedBack, _ := f.forwarder.StoppedRequests(); handedBack != 1 {
				t.Errorf("%d requests count as handed back, want 1", handedBack)
			}
		})
	}
}
