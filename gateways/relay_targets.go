package gateways

import (
	"context"
	"net"
	"time"

	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/forwards"
	"gypsumshelf.example/gypsumshelf/relays"
)

// controlService is the name under which paths to control daemons are kept beside those to
// the services of backend servers.
const controlService = "control-daemons"

// leaderConnectionLifetime is the time after which a relay ends a connection to the leader,
// so that a direct one is tried again.
const leaderConnectionLifetime = time.Minute

// relayTargets are the addresses to which entry daemons connect for each other: backend
// servers and control daemons.
type relayTargets struct {
	*forwards.Fleet
	controls *directories.Subscriber
}

// ServiceAt implements relays.Servers.
func (t relayTargets) ServiceAt(address string) (service string, known bool) {
	if t.controls.Knows(address) {
		return controlService, true
	}
	return t.Fleet.ServiceAt(address)
}

// UsableAt implements relays.Servers.
func (t relayTargets) UsableAt(address string) bool {
	return t.controls.Knows(address) || t.Fleet.UsableAt(address)
}

// AddressesOf implements relays.Servers.
func (t relayTargets) AddressesOf(service string) []string {
	if service == controlService {
		return t.controls.Known()
	}
	return t.Fleet.AddressesOf(service)
}

// dialLeader connects to the leader, through another entry daemon if the own path is lost.
func (g *Gateway) dialLeader(ctx context.Context, address string) (net.Conn, error) {
	return g.dialer.Dial(ctx, relays.Target{Address: address, Service: controlService, Lifetime: leaderConnectionLifetime})
}
