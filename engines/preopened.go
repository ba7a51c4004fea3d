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
	// preopenedMaxAge is the maximum age of a preopened connection at its request.
	// It must be short, since an idle connection may be dead without notice.
	preopenedMaxAge = time.Second
	// preopenWindow is the time after a request during which connections to its
	// server are preopened.
	preopenWindow = 10 * time.Second
	// preopenedPerServer is the maximum number of preopened connections to a server.
	preopenedPerServer = 2
)

// preopenedConns opens connections before they are needed, which saves requests the
// round trip of the handshake. Each connection carries one request only. Since
// net/http sees each as a new connection, it does not resend requests by itself.
type preopenedConns struct {
	dial  dialFunc
	ctx   context.Context
	close context.CancelFunc

	mu          sync.Mutex
	idle        map[string][]preopenedConn
	lastRequest map[string]time.Time // time of the last request, by address
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type preopenedConn struct {
	conn     net.Conn
	openedAt time.Time
}

func newPreopenedConns(dial dialFunc) *preopenedConns {
	p := &preopenedConns{dial: dial, idle: map[string][]preopenedConn{}, lastRequest: map[string]time.Time{}}
	p.ctx, p.close = context.WithCancel(context.Background())
	go p.maintain()
	return p
}

// get returns a preopened connection that is still open, or a new one.
func (p *preopenedConns) get(ctx context.Context, network, address string) (net.Conn, error) {
	now := time.Now()
	p.mu.Lock()
	p.lastRequest[address] = now
	p.mu.Unlock()
	refill := &refill{conns: p, address: address}
	go refill.open()
	for {
		preopened, ok := p.popNewest(address)
		if !ok {
			return p.dial(ctx, network, address)
		}
		if now.Sub(preopened.openedAt) < preopenedMaxAge && isOpen(preopened.conn) {
			return preopened.conn, nil
		}
		preopened.conn.Close()
	}
}

// popNewest removes and returns the newest preopened connection to an address.
func (p *preopenedConns) popNewest(address string) (preopenedConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return preopenedConn{}, false
	}
	newest := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return newest, true
}

// maintain replaces expired and used connections until p is closed.
func (p *preopenedConns) maintain() {
	ticker := time.NewTicker(preopenedMaxAge / 20)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, address := range p.closeExpired(time.Now()) {
				refill := &refill{conns: p, address: address}
				go refill.open()
			}
		case <-p.ctx.Done():
			p.closeExpired(time.Now().Add(preopenWindow))
			return
		}
	}
}

// closeExpired closes connections that are too old or no longer needed. It returns
// the addresses with fewer than preopenedPerServer connections. A refill times out
// within the interval of maintain, so refills of one address do not accumulate.
func (p *preopenedConns) closeExpired(now time.Time) (belowTarget []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, last := range p.lastRequest {
		var unexpired []preopenedConn
		for _, c := range p.idle[address] {
			if now.Sub(c.openedAt) < preopenedMaxAge {
				unexpired = append(unexpired, c)
			} else {
				c.conn.Close()
			}
		}
		p.idle[address] = unexpired
		if now.Sub(last) > preopenWindow {
			delete(p.lastRequest, address)
			delete(p.idle, address)
			for _, c := range unexpired {
				c.conn.Close()
			}
		} else if len(unexpired) < preopenedPerServer {
			belowTarget = append(belowTarget, address)
		}
	}
	return belowTarget
}

// refill preopens one connection.
type refill struct {
	conns   *preopenedConns
	address string
}

func (r *refill) open() {
	conns := r.conns
	ctx, cancel := context.WithTimeout(conns.ctx, preopenedMaxAge/20) // a slower server gains nothing from preopening
	defer cancel()
	conn, err := conns.dial(ctx, "tcp", r.address)
	if err != nil {
		return
	}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if _, recent := conns.lastRequest[r.address]; !recent || conns.ctx.Err() != nil || len(conns.idle[r.address]) >= preopenedPerServer {
		conn.Close()
		return
	}
	conns.idle[r.address] = append(conns.idle[r.address], preopenedConn{conn: conn, openedAt: time.Now()})
}

// isOpen reports whether the server has not closed or reset the connection and has
// sent nothing on it.
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
