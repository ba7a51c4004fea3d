package listeners

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/standins"
)

// drainFixture is a set of servers with one that answers "/slow" when it is released.
type drainFixture struct {
	t        *testing.T
	servers  *Servers
	listener *standins.BusyListener
	release  chan struct{}
	drained  chan struct{}
}

func newDrainFixture(t *testing.T) *drainFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &drainFixture{t: t, servers: NewServers(quiet()), listener: standins.NewBusyListener(l.(*net.TCPListener)), release: make(chan struct{}), drained: make(chan struct{})}
	f.servers.Serve(f.listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-f.release
		}
		fmt.Fprint(w, "ok")
	}))
	t.Cleanup(f.servers.Close)
	return f
}

func (f *drainFixture) dial() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	return conn
}

func (f *drainFixture) send(conn net.Conn, path string) {
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
}

func (f *drainFixture) assertAnswered(conn net.Conn) {
	f.t.Helper()
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
		f.t.Errorf("got %v with error %v, want an answer", response, err)
	}
}

// drain drains the servers in the background.
func (f *drainFixture) drain() {
	go func() {
		defer close(f.drained)
		f.servers.Drain(time.Second)
	}()
	time.Sleep(30 * time.Millisecond)
}

// Guards against requests that a stopping daemon has read, or that are on an established
// connection, and that it drops without an answer.
func TestDrainAnswersRequests(t *testing.T) {
	t.Run("read while connections are closed", func(t *testing.T) {
		f := newDrainFixture(t)
		first, second := f.dial(), f.dial()
		f.send(first, "/slow")
		time.Sleep(30 * time.Millisecond)
		f.drain()
		f.send(second, "/")
		f.assertAnswered(second)
		close(f.release)
		f.assertAnswered(first)
		<-f.drained
	})
	t.Run("read from an idle connection that is closed", func(t *testing.T) {
		f := newDrainFixture(t)
		conn := f.dial()
		f.send(conn, "/")
		f.assertAnswered(conn)
		f.listener.SetDelay(100 * time.Millisecond)
		f.send(conn, "/")
		time.Sleep(30 * time.Millisecond)
		f.drain()
		f.assertAnswered(conn)
		<-f.drained
	})
	t.Run("half of its header has arrived", func(t *testing.T) {
		f := newDrainFixture(t)
		conn := f.dial()
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost:")
		time.Sleep(30 * time.Millisecond)
		f.drain()
		time.Sleep(2 * silentWait)
		fmt.Fprint(conn, " x\r\n\r\n")
		f.assertAnswered(conn)
		<-f.drained
	})
	t.Run("not accepted yet", func(t *testing.T) {
		f := newDrainFixture(t)
		conns := make([]net.Conn, 40)
		for i := range conns {
			conns[i] = f.dial()
			f.send(conns[i], "/")
		}
		f.drain()
		for _, conn := range conns {
			f.assertAnswered(conn)
		}
		<-f.drained
	})
}

// Guards against a stop that waits for connections on which nothing is due.
func TestDrainClosesSilentConnections(t *testing.T) {
	f := newDrainFixture(t)
	idle := f.dial()
	f.send(idle, "/")
	f.assertAnswered(idle)
	f.dial() // and sends nothing
	time.Sleep(30 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := f.servers.conns.Drain(ctx); err != nil {
		t.Errorf("the drain waits for silent connections: %v", err)
	}
	f.drain()
	<-f.drained
	if _, err := net.Dial("tcp", f.listener.Addr().String()); err == nil {
		t.Error("a connection is accepted after the drain")
	}
}

// Guards against connections that are reset because the drain of their listener was begun
// a second time, as at the break-off of a stop and at its end.
func TestRepeatedDrainKeepsBacklog(t *testing.T) {
	const clients = 40
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(inner, quiet())
	defer l.Close()
	for range clients {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	for accepted := range clients {
		// Between the bound on the wait and the wait itself.
		l.Drain()
		l.limitDrain()
		l.Drain()
		conn, err := l.Listener.Accept()
		if err != nil {
			t.Fatalf("%d of %d connections were accepted, then %v", accepted, clients, err)
		}
		conn.Close()
	}
}
