package peers

import (
	"bytes"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
)

// exhaustedListener has no descriptor for its first connections.
type exhaustedListener struct {
	net.Listener
	left atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// lockedLog is a log that may be read while it is written.
type lockedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedLog) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), message)
}

// Guards against a daemon that others cannot reach, and that does not say so.
func TestFailedAcceptsAreLogged(t *testing.T) {
	out := &lockedLog{}
	log := logrus.New()
	log.SetOutput(out)
	l := &exhaustedListener{Listener: newListener(t)}
	l.left.Store(3)
	received := &inbox{}
	links := New(Config{Deployment: "d", Daemon: "a", Peers: map[gypsumshelf.DaemonID]string{"b": "127.0.0.1:1"}, Receive: received.receive, Log: logrus.NewEntry(log)}, l)
	t.Cleanup(links.Close)
	sender := newLinks(t, "d", "b", newListener(t), map[gypsumshelf.DaemonID]string{"a": l.Addr().String()}, &inbox{})
	sender.Send("a", "x")
	waitFor(t, "the message arrives", func() bool { return received.len() > 0 })
	if n := out.count("cannot accept a connection"); n != 1 {
		t.Errorf("failed accepts are logged %d times, want once", n)
	}
	if n := out.count("connections are accepted again"); n != 1 {
		t.Errorf("the end of failed accepts is logged %d times, want once", n)
	}
}
