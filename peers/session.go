package peers

import (
	"errors"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/faults"
)

// sessionReadTimeout is the time without received data after which an accepted
// connection is dropped. An idle peer sends a heartbeat every heartbeatInterval.
const sessionReadTimeout = 5 * time.Second

var errHelloMissing = errors.New("no accepted hello on this connection")

// session serves an accepted connection.
type session struct {
	links *Links
	conn  *countingConn
}

func (s *session) run() {
	defer s.links.wg.Done()
	defer func() {
		s.conn.Close()
		s.links.mu.Lock()
		delete(s.links.accepted, s.conn.Conn)
		s.links.mu.Unlock()
	}()
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &Service{links: s.links}); err != nil {
		return
	}
	server.ServeConn(s.conn)
}

// Service is the net/rpc service for one accepted connection.
type Service struct {
	links *Links
	mu    sync.Mutex
	hello *Hello
}

// Hello identifies the peer. It rejects a peer of another deployment and a daemon
// that is not admitted.
func (s *Service) Hello(h Hello, _ *struct{}) (err error) {
	defer faults.Recover(s.links.cfg.Log, "Peer.Hello", &err)
	if h.Deployment != s.links.cfg.Deployment {
		return fmt.Errorf("peer belongs to deployment %q, want %q", h.Deployment, s.links.cfg.Deployment)
	}
	if !s.links.isAdmitted(h.Daemon) {
		return fmt.Errorf("daemon %q is not among the peers in the settings of %q", h.Daemon, s.links.cfg.Daemon)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hello = &h
	return nil
}

// Deliver receives a batch of envelopes. An empty batch is a heartbeat.
func (s *Service) Deliver(batch []Envelope, _ *struct{}) (err error) {
	defer faults.Recover(s.links.cfg.Log, "Peer.Deliver", &err)
	s.mu.Lock()
	hello := s.hello
	s.mu.Unlock()
	if hello == nil {
		return errHelloMissing
	}
	if len(batch) == 0 {
		s.links.cfg.Receive(Envelope{From: hello.Daemon})
	}
	for _, e := range batch {
		e.From = hello.Daemon // do not trust the sender named by the peer
		s.links.cfg.Receive(e)
	}
	return nil
}
