package shares

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"os"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/peers"
)

func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv("GYPSUMSHELF_MEASURE") == "" {
		t.Skip("measurement is skipped unless GYPSUMSHELF_MEASURE is set")
	}
	t.Logf("seed %d", seed())
}

// Prints the comparison of policies for docs/measurements-routing.md.
func TestMeasureDivision(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, p := range []policy{ownerGranted, oneAllocator, staticDivision} {
		for _, c := range []struct {
			name   string
			limit  int
			faults bool
			kill   bool
		}{{"limit 2", 2, false, false}, {"limit 32", 32, false, false}, {"limit 32, owner kill", 32, false, true}, {"limit 32, all faults", 32, true, false}} {
			s := newSim(simConfig{seed: uint64(seed()), nodes: 4, servers: 14, policy: p, faults: c.faults, limit: Amount{c.limit, 1_500_000}})
			s.run(10 * time.Second)
			s.used, s.wanted, s.sentMessages, s.steps, s.longestWithoutShare = 0, 0, 0, 0, 0
			clear(s.lastShareAt)
			if c.kill {
				s.kill(s.nodes[0], time.Hour)
			}
			s.run(60 * time.Second)
			t.Logf("%-16s %-22s mean attempts running on a server %5.2f of %d, longest time without any share %s, messages/s per daemon %.0f, violations %d", p, c.name,
				s.used/float64(s.steps)/14, c.limit, s.longestWithoutShare, float64(s.sentMessages)/60/4, len(s.violations))
		}
	}
}

// gobConn encodes calls as net/rpc does on one peer connection.
type gobConn struct {
	buf bytes.Buffer
	enc *gob.Encoder
}

func newGobConn() *gobConn {
	p := &gobConn{}
	p.enc = gob.NewEncoder(&p.buf)
	return p
}

// callBytes returns the encoded size of one call with a payload and of its reply.
func (p *gobConn) callBytes(from gypsumshelf.DaemonID, payload any) int {
	p.buf.Reset()
	_ = p.enc.Encode(rpc.Request{ServiceMethod: "Peer.Deliver", Seq: 1000})
	_ = p.enc.Encode([]peers.Envelope{{From: from, Payload: payload}})
	_ = p.enc.Encode(rpc.Response{ServiceMethod: "Peer.Deliver", Seq: 1000})
	_ = p.enc.Encode(struct{}{})
	return p.buf.Len()
}

// Prints bytes per second by the number of daemons and servers for
// docs/measurements-routing.md.
func TestMeasureBytes(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, c := range []struct{ nodes, servers int }{{4, 18}, {50, 212}, {100, 425}, {400, 1700}} {
		measureControlBytes(t, c.nodes, c.servers)
	}
}
