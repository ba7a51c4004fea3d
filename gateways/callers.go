package gateways

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/listeners"
)

const (
	// Limits on callers' connections until the first catalog is known, and where it
	// states none.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// headerSlack is the number of bytes that net/http adds to MaxHeaderBytes. It is
	// subtracted so that the intended limit holds.
	headerSlack = 4096
	// handOverCapacity is the number of accepted connections that wait for the server
	// with the limits in force.
	handOverCapacity = 64
	// handOverRetryDelay is the delay while the hand-over is full.
	handOverRetryDelay = time.Millisecond
)

// callerServer serves callers' connections within the limits of the catalog. net/http
// takes its limits at the start of a server, so each change of limits starts another
// one, for the connections that are accepted from then on.
type callerServer struct {
	handler  http.Handler
	listener *listeners.Listener
	log      *logrus.Entry
	errorLog *stdlog.Logger
	wg       sync.WaitGroup
	accepted chan struct{} // closed when no more connections are accepted
	conns    listeners.Connections

	mu      sync.Mutex
	limits  catalogs.Limits
	servers []*http.Server // the last one takes new connections
	current *handOver
	stopped bool
}

// newCallerServer returns a callerServer that is already running.
func newCallerServer(handler http.Handler, listener net.Listener, log *logrus.Entry) *callerServer {
	s := &callerServer{handler: handler, listener: listeners.New(listener, log), log: log, errorLog: stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0), accepted: make(chan struct{})}
	s.setLimits(catalogs.Limits{})
	s.wg.Add(1)
	go s.run()
	return s
}

// setLimits applies the limits to connections that are accepted from now on.
func (s *callerServer) setLimits(l catalogs.Limits) {
	l = catalogs.Limits{
		HeaderBytes: positiveOr(l.HeaderBytes, defaultHeaderBytes), HeaderTimeout: positiveOr(l.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout: positiveOr(l.IdleTimeout, defaultIdleTimeout),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits || s.stopped {
		return
	}
	s.limits = l
	if s.current != nil {
		s.current.Close()
	}
	s.current = &handOver{address: s.listener.Addr(), conns: make(chan net.Conn, handOverCapacity), closed: make(chan struct{})}
	server := &http.Server{
		Handler: s.handler, MaxHeaderBytes: max(1, l.HeaderBytes-headerSlack), ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
		ErrorLog: s.errorLog,
	}
	s.servers = append(s.servers, server)
	r := &serverRun{owner: s, server: server, conns: s.current}
	s.wg.Add(1)
	go r.run()
	s.log.WithFields(logrus.Fields{
		"header-bytes": l.HeaderBytes, "header-timeout-ms": l.HeaderTimeout.Milliseconds(), "idle-timeout-ms": l.IdleTimeout.Milliseconds(),
	}).Info("limits on callers' connections in force")
}

// positiveOr returns v, or a default if v is not positive: net/http takes a negative timeout
// as none.
func positiveOr[T int | time.Duration](v, byDefault T) T {
	if v > 0 {
		return v
	}
	return byDefault
}

// run accepts connections and hands them to the server with the limits in force.
func (s *callerServer) run() {
	defer s.wg.Done()
	defer close(s.accepted)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		s.handOver(conn)
	}
}

// handOver passes a connection to the server with the limits in force.
func (s *callerServer) handOver(conn net.Conn) {
	for !s.tryHandOver(conn) {
		time.Sleep(handOverRetryDelay)
	}
}

// tryHandOver reports false while the server has not taken earlier connections.
func (s *callerServer) tryHandOver(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		conn.Close()
		return true
	}
	select {
	case s.current.conns <- conn:
		return true
	default:
		return false
	}
}

// shutdown stops accepting and waits until no connection expects an answer or ctx ends.
// Connections that callers have established are served, for half of the time at most while
// callers establish others. If ctx has ended, another call goes on with that.
func (s *callerServer) shutdown(ctx context.Context) error {
	backlog := ctx
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		backlog, cancel = context.WithTimeout(ctx, time.Until(end)/2)
		defer cancel()
	}
	s.listener.DrainUntil(backlog)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.stopAccepting()
	return s.conns.Drain(ctx)
}

// stopAccepting closes the listener and waits until the servers have taken all connections
// that were accepted.
func (s *callerServer) stopAccepting() {
	s.listener.Close()
	<-s.accepted
	s.mu.Lock()
	s.stopped = true
	s.current.Close()
	s.mu.Unlock()
	s.wg.Wait()
}

// close closes the listener and the connections that are left after shutdown.
func (s *callerServer) close() {
	s.stopAccepting()
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, server := range servers {
		if err := server.Close(); err != nil {
			s.log.WithError(err).Warn("cannot close the connections of callers")
		}
	}
}

// serverRun is the run of one http.Server.
type serverRun struct {
	owner  *callerServer
	server *http.Server
	conns  *handOver
}

func (r *serverRun) run() {
	defer r.owner.wg.Done()
	// After the end of its queue a server goes on with the connections that it has.
	if err := r.owner.conns.Serve(r.server, r.conns); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		r.owner.log.WithError(err).Error("the HTTP server for callers failed; it takes no more connections")
	}
}

// handOver is a net.Listener of connections that were accepted elsewhere.
type handOver struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener. It returns all connections handed over before the
// end.
func (h *handOver) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
	}
	select {
	case conn := <-h.conns:
		return conn, nil
	default:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handOver) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *handOver) Addr() net.Addr { return h.address }
