package listeners

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silentWait is the time after which a connection that has carried no byte is not
	// waited for in a drain: a client sends its request as soon as it is connected.
	silentWait = 100 * time.Millisecond
	// drainPollPeriod is the period at which a drain looks for connections that expect no
	// answer.
	drainPollPeriod = 5 * time.Millisecond
)

// Connections are the open connections of HTTP servers, which Drain closes without losing a
// request. http.Server.Shutdown drops requests that it reads from then on, and with
// SetKeepAlivesEnabled a connection may be closed when its next request has been read. The
// zero value is ready to use.
type Connections struct {
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*connection]bool
}

// Serve calls Serve of the server, which must not have run before.
func (c *Connections) Serve(server *http.Server, l net.Listener) error {
	server.ConnState = c.setState
	server.Handler = &closingHandler{conns: c, handler: server.Handler}
	return server.Serve(connectionListener{l})
}

// Drain closes each connection as soon as it expects no answer. It waits until all are
// closed or ctx ends. Connections that are still being accepted are served.
func (c *Connections) Drain(ctx context.Context) error {
	c.draining.Store(true)
	for begin := time.Now(); c.endSilent(time.Since(begin) > silentWait) > 0; time.Sleep(drainPollPeriod) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// endSilent ends the connections that expect no answer, with those that have carried no byte
// so far if includeNew is set. It returns the number of all that are open.
func (c *Connections) endSilent(includeNew bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.endSilent(includeNew)
	}
	return len(c.conns)
}

// setState is a hook for http.Server.ConnState.
func (c *Connections) setState(conn net.Conn, state http.ConnState) {
	tracked := conn.(*connection)
	tracked.setState(state)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if c.conns == nil {
			c.conns = map[*connection]bool{}
		}
		c.conns[tracked] = true
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, tracked)
	}
}

// closingHandler tells clients that their connection is closed after an answer, while
// connections are drained.
type closingHandler struct {
	conns   *Connections
	handler http.Handler
}

// ServeHTTP implements http.Handler.
func (h *closingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.conns.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	h.handler.ServeHTTP(w, r)
}

// connectionListener accepts connections that can be drained.
type connectionListener struct{ net.Listener }

// Accept implements net.Listener.
func (l connectionListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn}, nil
}

// connection is a connection of an HTTP server. net/http calls it active only when it has
// read the whole header of a request.
type connection struct {
	net.Conn

	mu       sync.Mutex
	state    http.ConnState
	carries  bool      // something was read since it was new or idle
	deadline time.Time // of reading, as set by net/http
	ended    bool      // reading fails, whatever the deadline
}

func (c *connection) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.carries = false
	}
}

// endSilent makes net/http close the connection if it is idle, or if it is new and includeNew
// is set, unless a part of a request has been read.
func (c *connection) endSilent(includeNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.carries && (c.state == http.StateIdle || c.state == http.StateNew && includeNew) {
		c.ended = c.Conn.SetReadDeadline(time.Now()) == nil
	}
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return n, err
	}
	c.carries = true
	if c.ended { // at the same moment, so the request goes first
		c.ended = false
		return n, c.Conn.SetReadDeadline(c.deadline)
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.ended = t, false
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http close a connection without losing the answer when not all of the
// request was read.
func (c *connection) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
