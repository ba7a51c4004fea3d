package loadtests

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

// minIdleDuration is the shortest time over which idle links and daemons are
// measured: four heartbeats of each link.
const minIdleDuration = 2 * time.Second

// countingListener counts the bytes that its accepted connections read and write.
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

// countingConn counts the bytes that a connection reads and writes.
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

// idleLinkCosts measures the cost of one directed link between two idle daemons for
// one second: heartbeats and their replies at both ends.
func idleLinkCosts(ctx context.Context, d time.Duration) (costCurve, error) {
	curve := costCurve{operation: "idle peer link for 1 s", sizeUnit: "daemons"}
	d = max(d, minIdleDuration)
	for _, n := range []int{4, 8, 16, 32} {
		c, err := measureIdleLinks(ctx, n, d)
		if err != nil {
			return curve, err
		}
		curve.samples = append(curve.samples, costSample{n, c})
	}
	return curve, nil
}

func measureIdleLinks(ctx context.Context, n int, d time.Duration) (operationCost, error) {
	var bytes atomic.Int64
	heapBefore := liveHeap()
	addresses := map[gypsumshelf.DaemonID]string{}
	listeners := map[gypsumshelf.DaemonID]net.Listener{}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return operationCost{}, err
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
	timers.Sleep(ctx, time.Second) // until all connections are open
	linkCount := float64(n * (n - 1))
	c := operationCost{heapBytes: (liveHeap() - heapBefore) / linkCount}
	bytesBefore, cpuBefore, startTime := bytes.Load(), processorTime(), time.Now()
	timers.Sleep(ctx, d)
	seconds := time.Since(startTime).Seconds()
	c.cpu = time.Duration(float64(processorTime()-cpuBefore) / linkCount / seconds)
	c.wireBytes = float64(bytes.Load()-bytesBefore) / linkCount / seconds
	return c, ctx.Err()
}
