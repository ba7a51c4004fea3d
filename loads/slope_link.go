package loads

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/timers"
)

// minLinkTime is the shortest time over which idle links are measured: four
// heartbeats of each link.
const minLinkTime = 2 * time.Second

// countingListener counts the bytes in both directions of all connections
// that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// linkSlope is the cost of one directed link between two idle daemons in a
// second: heartbeats and their answers at both ends.
func linkSlope(ctx context.Context, d time.Duration) (slope, error) {
	s := slope{name: "idle peer link for 1 s", per: "daemons"}
	d = max(d, minLinkTime)
	for _, n := range []int{4, 8, 16, 32} {
		c, err := idleLinks(ctx, n, d)
		if err != nil {
			return s, err
		}
		s.samples = append(s.samples, sample{n, c})
	}
	return s, nil
}

func idleLinks(ctx context.Context, n int, d time.Duration) (cost, error) {
	var bytes atomic.Int64
	heap := liveHeap()
	addresses := map[gypsumshelf.DaemonID]string{}
	listeners := map[gypsumshelf.DaemonID]net.Listener{}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return cost{}, err
		}
		id := gypsumshelf.DaemonID(fmt.Sprintf("entry-%03d", i))
		addresses[id], listeners[id] = l.Addr().String(), countingListener{l, &bytes}
	}
	for id, l := range listeners {
		others := map[gypsumshelf.DaemonID]string{}
		for other, address := range addresses {
			if other != id {
				others[other] = address
			}
		}
		links := peers.New(peers.Config{Deployment: "slopes", Daemon: id, Peers: others, Receive: func(peers.Envelope) {}}, l)
		defer links.Close()
	}
	timers.Pause(ctx, time.Second) // all connections are then open
	count := float64(n * (n - 1))
	c := cost{heap: (liveHeap() - heap) / count}
	before, start, began := bytes.Load(), processorTime(), time.Now()
	timers.Pause(ctx, d)
	seconds := time.Since(began).Seconds()
	c.cpu = time.Duration(float64(processorTime()-start) / count / seconds)
	c.bytes = float64(bytes.Load()-before) / count / seconds
	return c, ctx.Err()
}
