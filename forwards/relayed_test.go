package forwards

import (
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/relays"
	"gypsumshelf.example/gypsumshelf/timers"
)

// relayedServers is what a daemon and its relay know of backend servers.
type relayedServers []string // addresses

func (s relayedServers) ServiceAt(string) (string, bool)     { return "s", true }
func (s relayedServers) UsableAt(string) bool                { return true }
func (s relayedServers) AddressesOf(string) (known []string) { return s }

// dialUnbuffered connects with a small buffer, so that a long request is not written before its
// server reads it.
func dialUnbuffered(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(256 << 10)
}

// unbufferedDialer is a directDialer that uses dialUnbuffered.
type unbufferedDialer struct{ directDialer }

func (unbufferedDialer) Dial(ctx context.Context, t relays.Target) (net.Conn, error) {
	return dialUnbuffered(ctx, "tcp", t.Address)
}

// relayThrough makes a forwarder reach its backend servers through another daemon only.
func (f *fixture) relayThrough(t *testing.T, backends ...*fakeBackend) {
	t.Helper()
	f.relayThroughAny(t, 1, backends...)
}

// relayThroughAny is relayThrough with a number of other daemons. It returns their relays.
func (f *fixture) relayThroughAny(t *testing.T, n int, backends ...*fakeBackend) []*relays.Relay {
	t.Helper()
	var servers relayedServers
	for _, b := range backends {
		servers = append(servers, b.record.Address)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	var peers []relays.Peer
	var others []*relays.Relay
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		relay := relays.NewRelay(relays.RelayConfig{
			Listener: l, Servers: servers, Dial: dialUnbuffered, Log: log,
			Admits: func(netip.Addr) bool { return true }, IsServiceLost: func(string) bool { return false },
		})
		t.Cleanup(relay.Close)
		peers = append(peers, relays.Peer{Daemon: gypsumshelf.DaemonID(l.Addr().String()), DataCentre: "a"})
		others = append(others, relay)
	}
	service := timers.New(timers.Config{Now: time.Now})
	t.Cleanup(service.Close)
	dialer := relays.NewDialer(relays.DialerConfig{
		Daemon: "127.0.0.1:1", DataCentre: "a", Servers: servers, Log: log, Timers: service,
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
	})
	dialer.SetPeers("control", peers)
	f.forwarder.cfg.Dialer = dialer
	return others
}
