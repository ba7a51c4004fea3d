package peers

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Guards against a stop that waits for the answer of a daemon which is frozen or cut off.
func TestCloseDoesNotWaitForSilentPeers(t *testing.T) {
	const bound = time.Second // below the timeouts of calls, above that of a connection
	silent := newListener(t)  // accepts connections and answers nothing
	t.Cleanup(func() { silent.Close() })
	links := New(Config{Deployment: "d", Daemon: "a", Peers: map[gypsumshelf.DaemonID]string{"b": silent.Addr().String()}, Receive: func(Envelope) {}}, newListener(t))
	links.Send("b", "x")
	time.Sleep(50 * time.Millisecond) // the link says hello
	began := time.Now()
	links.Close()
	if took := time.Since(began); took > bound {
		t.Errorf("the stop took %v, want less than %v", took, bound)
	}
}
