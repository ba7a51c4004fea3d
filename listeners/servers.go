package listeners

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// callTimeout bounds the reading and the answering of an HTTP call, such as
	// one from an operator or a backend server.
	callTimeout = 10 * time.Second
	// callDrainTimeout bounds the time for which a stopping daemon answers the calls in
	// progress. It is above the time for which one waits for its commit.
	callDrainTimeout = time.Second
	// AnswerTimeout bounds the writing of answers that are ready. It is below the time
	// that a stopped entry daemon leaves of the grace period.
	AnswerTimeout = 50 * time.Millisecond
)

// Servers is a set of HTTP servers for short calls.
type Servers struct {
	log     *logrus.Entry
	wg      sync.WaitGroup
	conns   Connections
	servers []*httpServer
}

// NewServers returns an empty set.
func NewServers(log *logrus.Entry) *Servers { return &Servers{log: log} }

// Serve starts a server on a listener. It must not be called after Close.
func (g *Servers) Serve(l net.Listener, handler http.Handler) {
	g.Start(l, &http.Server{Handler: handler, ReadTimeout: callTimeout, WriteTimeout: callTimeout})
}

// Start starts a server with limits of its own, which must not have run before. It must not
// be called after Close.
func (g *Servers) Start(l net.Listener, server *http.Server) {
	s := &httpServer{owner: g, listener: New(l, g.log), server: server}
	g.servers = append(g.servers, s)
	g.wg.Add(1)
	go s.run()
}

// Drain closes the listeners, and connections as soon as they are idle. Connections that
// clients have established are served. It waits until all are closed, for callDrainTimeout or
// left at most, but for AnswerTimeout at least.
func (g *Servers) Drain(left time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), max(AnswerTimeout, min(callDrainTimeout, left)))
	defer cancel()
	for _, s := range g.servers {
		s.listener.Drain()
	}
	for _, s := range g.servers {
		s.listener.DrainUntil(ctx)
		s.listener.Close()
	}
	if err := g.conns.Drain(ctx); err != nil {
		g.log.WithError(err).Info("connections are open with calls that have not arrived, or not been answered, in whole")
	}
}

// Close closes all connections.
func (g *Servers) Close() {
	for _, s := range g.servers {
		s.listener.Close()
		if err := s.server.Close(); err != nil {
			g.log.WithError(err).Warn("cannot close the connections of an HTTP server")
		}
	}
	g.wg.Wait()
}

// httpServer is an HTTP server together with its listener.
type httpServer struct {
	owner    *Servers
	listener *Listener
	server   *http.Server
}

func (s *httpServer) run() {
	defer s.owner.wg.Done()
	if err := s.owner.conns.Serve(s.server, s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.owner.log.WithField("address", s.listener.Addr()).WithError(err).Error("HTTP server stopped unexpectedly")
	}
}
