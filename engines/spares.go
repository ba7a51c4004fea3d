package engines

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// spareAge is the longest age of a connection that is opened ahead of its
	// request. Connections may go silent, so that it must be short.
	spareAge = time.Second
	// spareUse is the time after a request in which connections to its server
	// are opened ahead.
	spareUse = 10 * time.Second
	// sparesPerServer bounds the connections opened ahead to one server.
	sparesPerServer = 2
)

// spares opens connections ahead of their requests, which saves a request the
// round trip of the handshake. Each connection carries one request only, so that
// net/http has no reason to resend: to it, every connection is fresh.
type spares struct {
	open dialFunc
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	ready map[string][]spare
	used  map[string]time.Time // last request by address
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type spare struct {
	conn   net.Conn
	opened time.Time
}

func newSpares(open dialFunc) *spares {
	s := &spares{open: open, ready: map[string][]spare{}, used: map[string]time.Time{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	go s.run()
	return s
}

// dial returns a connection that was opened ahead and is still open, or a new one.
func (s *spares) dial(ctx context.Context, network, address string) (net.Conn, error) {
	now := time.Now()
	s.mu.Lock()
	s.used[address] = now
	s.mu.Unlock()
	next := &refill{spares: s, address: address}
	go next.run()
	for {
		c, ok := s.take(address)
		if !ok {
			return s.open(ctx, network, address)
		}
		if now.Sub(c.opened) < spareAge && isOpen(c.conn) {
			return c.conn, nil
		}
		c.conn.Close()
	}
}

// take removes the newest connection.
func (s *spares) take(address string) (spare, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.ready[address]
	if len(all) == 0 {
		return spare{}, false
	}
	c := all[len(all)-1]
	s.ready[address] = all[:len(all)-1]
	return c, true
}

// run replaces old and used connections until the spares are closed.
func (s *spares) run() {
	ticker := time.NewTicker(spareAge / 20)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, address := range s.sweep(time.Now()) {
				r := &refill{spares: s, address: address}
				go r.run()
			}
		case <-s.ctx.Done():
			s.sweep(time.Now().Add(spareUse))
			return
		}
	}
}

// sweep closes the connections that are too old and returns the addresses that
// lack one. An address is asked for again only once its refill has ended.
func (s *spares) sweep(now time.Time) (lacking []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, used := range s.used {
		var young []spare
		for _, c := range s.ready[address] {
			if now.Sub(c.opened) < spareAge {
				young = append(young, c)
			} else {
				c.conn.Close()
			}
		}
		s.ready[address] = young
		if now.Sub(used) > spareUse {
			delete(s.used, address)
			delete(s.ready, address)
			for _, c := range young {
				c.conn.Close()
			}
		} else if len(young) < sparesPerServer {
			lacking = append(lacking, address)
		}
	}
	return lacking
}

// refill opens one connection ahead.
type refill struct {
	spares  *spares
	address string
}

func (r *refill) run() {
	s := r.spares
	ctx, cancel := context.WithTimeout(s.ctx, spareAge/20) // a slower server gains nothing
	defer cancel()
	conn, err := s.open(ctx, "tcp", r.address)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, used := s.used[r.address]; !used || s.ctx.Err() != nil || len(s.ready[r.address]) >= sparesPerServer {
		conn.Close()
		return
	}
	s.ready[r.address] = append(s.ready[r.address], spare{conn: conn, opened: time.Now()})
}

// isOpen reports whether the other side has neither closed nor reset the
// connection, nor sent anything on it.
func isOpen(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
