package relays

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a stop that waits for a backend server which does not read, until the end
// of the request: what the daemon does last, such as its last reports, is not done.
func TestRelayClosesWhileAServerDoesNotRead(t *testing.T) {
	const (
		bound     = time.Second // below the lifetime of the connection
		bodyBytes = 64 << 20    // above what sockets buffer
	)
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	b := newBackend(t, func(conn net.Conn) {
		defer conn.Close()
		<-end
	})
	p := newPair(t, b.address())
	p.setCut(syscall.ECONNREFUSED)
	conn := p.connect(t, b)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, bodyBytes))
		written <- err
	}()
	time.Sleep(300 * time.Millisecond) // the buffers are full
	began := time.Now()
	p.relay.Close()
	if took := time.Since(began); took > bound {
		t.Errorf("the relay closed after %v, want at most %v", took, bound)
	}
	if err := <-written; err == nil {
		t.Error("the whole body was written, want a connection that is lost with its relay")
	}
}
