package forwards

import (
	"context"
	"net"
	"time"

	"gypsumshelf.example/gypsumshelf/relays"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// Dialer connects to backend servers and knows to which of them this daemon has lost its
// own path.
type Dialer interface {
	Dial(ctx context.Context, t relays.Target) (net.Conn, error)
	// Check connects to find out whether the path is lost.
	Check(ctx context.Context, t relays.Target) (lost bool)
	// IsLost reports whether the path is lost, as far as known.
	IsLost(t relays.Target) bool
	// HasNoWay reports whether a service can be reached in no way.
	HasNoWay(service string) bool
}

// directDialer only connects directly.
type directDialer struct{}

func (directDialer) Dial(ctx context.Context, t relays.Target) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", t.Address)
}
func (directDialer) Check(context.Context, relays.Target) bool { return false }
func (directDialer) IsLost(relays.Target) bool                 { return false }
func (directDialer) HasNoWay(string) bool                      { return false }

const (
	noWayReason = "neither this daemon nor others that it asked reach the backend servers of the service"
	// pathCheckTimeout bounds the check of a path after a lost connection, for which a
	// retry waits.
	pathCheckTimeout = 200 * time.Millisecond
)

// target returns what a connection to a backend server is wanted for.
func (req *proxyRequest) target(server rosters.Entry) relays.Target {
	return relays.Target{Address: server.Address, Service: server.Service, NewWork: true, Lifetime: req.remaining() + deliveryTime}
}

// attributed returns the outcome that counts for a backend server. What an attempt over
// a direct connection lost with the path is not its fault.
func (req *proxyRequest) attributed(ctx context.Context, a *attempt, outcome schedules.Outcome) schedules.Outcome {
	if a == nil || a.exchange == nil || a.exchange.isRelayed() {
		return outcome
	}
	lost := false
	switch outcome {
	case schedules.Stalled:
		lost = req.forwarder.cfg.Dialer.IsLost(req.target(a.server))
	case schedules.Lost:
		ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
		defer cancel()
		lost = req.forwarder.cfg.Dialer.Check(ctx, req.target(a.server))
	}
	if lost {
		return schedules.Cancelled
	}
	return outcome
}
