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

// answerTimeout bounds the time for which Close waits for the answers to calls in
// progress. Their services end them at once when the daemon stops.
const answerTimeout = 200 * time.Millisecond

// closePollInterval is the interval at which Close checks for open connections.
const closePollInterval = 2 * time.Millisecond

// Server serves net/rpc services on one listener.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	wg       sync.WaitGroup // of acceptLoop
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
		go c.run()
	}
}

// serverConn is one accepted connection.
type serverConn struct {
	server *Server
	conn   net.Conn
}

func (c *serverConn) run() {
	c.server.rpc.ServeConn(c.conn)
	c.server.mu.Lock()
	delete(c.server.conns, c.conn)
	c.server.mu.Unlock()
}

// Close stops accepting connections and calls, and closes each connection once the calls
// on it are answered, after answerTimeout at the latest. It does not wait for calls that
// take longer.
func (s *Server) Close() {
	s.listener.Close()
	now := time.Now()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		// net/rpc closes a connection that it cannot read any more, after the answers.
		if c.SetReadDeadline(now) != nil || c.SetWriteDeadline(now.Add(answerTimeout)) != nil {
			c.Close()
		}
	}
	s.mu.Unlock()
	for s.openConns() > 0 && time.Since(now) < answerTimeout {
		time.Sleep(closePollInterval)
	}
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
