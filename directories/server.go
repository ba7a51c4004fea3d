package directories

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// acceptRetryDelay is the delay after a failed accept. It avoids a busy loop
// while the process has no free file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Server serves net/rpc services on one listener.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// NewServer returns a running Server. services maps the names to register to
// their receivers.
func NewServer(listener net.Listener, services map[string]any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]bool{}}
	for name, service := range services {
		if err := s.rpc.RegisterName(name, service); err != nil {
			return nil, err
		}
	}
	s.wg.Add(1)
	go s.acceptLoop()
	return s, nil
}

func (s *Server) acceptLoop() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			conn.Close()
			return
		}
		s.conns[conn] = true
		s.mu.Unlock()
		c := &serverConn{server: s, conn: conn}
		s.wg.Add(1)
		go c.run()
	}
}

// serverConn is one accepted connection.
type serverConn struct {
	server *Server
	conn   net.Conn
}

func (c *serverConn) run() {
	defer c.server.wg.Done()
	c.server.rpc.ServeConn(c.conn)
	c.server.mu.Lock()
	delete(c.server.conns, c.conn)
	c.server.mu.Unlock()
}

// Close stops accepting, closes all connections and waits until they have ended.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
