package directories

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// acceptPause keeps a lack of file descriptors from taking all processor time.
const acceptPause = 20 * time.Millisecond

// Server serves net/rpc services to the other daemons.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// NewServer returns a running Server with services by their names.
func NewServer(listener net.Listener, services map[string]any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]bool{}}
	for name, service := range services {
		if err := s.rpc.RegisterName(name, service); err != nil {
			return nil, err
		}
	}
	s.wg.Add(1)
	go s.loop()
	return s, nil
}

func (s *Server) loop() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
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
		c := &serverConn{owner: s, conn: conn}
		s.wg.Add(1)
		go c.run()
	}
}

// serverConn is one accepted connection.
type serverConn struct {
	owner *Server
	conn  net.Conn
}

func (c *serverConn) run() {
	defer c.owner.wg.Done()
	c.owner.rpc.ServeConn(c.conn)
	c.owner.mu.Lock()
	delete(c.owner.conns, c.conn)
	c.owner.mu.Unlock()
}

// Close ends all connections.
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
