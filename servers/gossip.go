package servers

import (
	"cmp"
	"encoding/gob"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Pulse is the compact form of an announcement that differs from the previous one
// only in load and sequence.
type Pulse struct {
	Server    gypsumshelf.ServerID
	Digest    uint32 // of the announcement without load and sequence
	Sequence  uint64
	Load      gypsumshelf.Load
	AgeMillis int
}

// Pulses carries the pulses of several servers.
type Pulses struct{ Items []Pulse }

// Notice carries a whole announcement.
type Notice struct {
	Announcement gypsumshelf.Announcement
	AgeMillis    int
}

// Want asks for the whole announcements of servers.
type Want struct{ Servers []gypsumshelf.ServerID }

func init() {
	// Gob sends the registered name with every message, so it is short.
	gob.RegisterName("servers.P", Pulses{})
	gob.RegisterName("servers.N", Notice{})
	gob.RegisterName("servers.W", Want{})
}

// Send is the effect that sends a payload to another daemon.
type Send struct {
	To      gypsumshelf.DaemonID
	Payload any
}

// EffectName implements gypsumshelf.Effect.
func (Send) EffectName() string { return "send-announcement" }

// Received is the event of a forwarded announcement message.
type Received struct {
	From    gypsumshelf.DaemonID
	Payload any
}

// EventName implements gypsumshelf.Event.
func (Received) EventName() string { return "announcement-message-received" }

// GossipConfig configures a Gossip.
type GossipConfig struct {
	Daemon  gypsumshelf.DaemonID
	Members func(gypsumshelf.ServerID) []gypsumshelf.DaemonID // daemons that use a server
	// PulseRecipients returns the daemons that receive pulses: all members, or
	// only the owner of the server's shares, which passes pulses on with the
	// shares.
	PulseRecipients func(now time.Time, id gypsumshelf.ServerID) []gypsumshelf.DaemonID
	Period          time.Duration // interval between batches of pulses
	LargeDeployment bool          // large deployment, in which a server rarely announces itself to the same daemon
}

// directAnnouncement is the last announcement received directly from a server.
type directAnnouncement struct {
	announcement gypsumshelf.Announcement
	digest       uint32
	heardAt      time.Time
	pulseDue     bool
}

// Gossip forwards announcements to the daemons that use the server: the whole
// announcement when it has changed, otherwise batched pulses. The digest in the
// next pulse reveals a lost notice to its recipient.
type Gossip struct {
	cfg       GossipConfig
	direct    map[gypsumshelf.ServerID]*directAnnouncement
	lastBatch time.Time
}

// NewGossip returns a Gossip without announcements.
func NewGossip(cfg GossipConfig) *Gossip {
	return &Gossip{cfg: cfg, direct: map[gypsumshelf.ServerID]*directAnnouncement{}}
}

// Digest returns a hash of an announcement without its load and sequence.
func Digest(a gypsumshelf.Announcement) uint32 {
	a.Load, a.Sequence = gypsumshelf.Load{}, 0
	h := fnv.New32a()
	fmt.Fprintf(h, "%+v", a)
	return h.Sum32()
}

// RecordAnnouncement records an announcement received directly and returns the
// messages to send at once.
func (g *Gossip) RecordAnnouncement(now time.Time, a gypsumshelf.Announcement) []Send {
	d := g.direct[a.Server]
	digest := Digest(a)
	changed := d != nil && d.digest != digest
	if d == nil {
		// In a large deployment a server announces itself to the same daemon only
		// every few minutes, so a first announcement is the usual case and only one
		// of leaving is sent to all members.
		changed = !g.cfg.LargeDeployment || a.State == gypsumshelf.ServerLeaving
	}
	g.direct[a.Server] = &directAnnouncement{announcement: a, digest: digest, heardAt: now, pulseDue: !changed}
	if !changed {
		return nil
	}
	var out []Send
	for _, m := range g.cfg.Members(a.Server) {
		if m != g.cfg.Daemon {
			out = append(out, Send{To: m, Payload: Notice{Announcement: a}})
		}
	}
	return out
}

// Tick returns the batches of pulses that are due and drops servers that have not
// announced themselves to this daemon for longer than keep.
func (g *Gossip) Tick(now time.Time, keep time.Duration) []Send {
	if now.Sub(g.lastBatch) < g.cfg.Period {
		return nil
	}
	g.lastBatch = now
	batches := map[gypsumshelf.DaemonID][]Pulse{}
	for id, d := range g.direct {
		if now.Sub(d.heardAt) > keep {
			delete(g.direct, id)
		}
		if !d.pulseDue {
			continue
		}
		d.pulseDue = false
		p := Pulse{
			Server: id, Digest: d.digest, Sequence: d.announcement.Sequence,
			Load: d.announcement.Load, AgeMillis: int(now.Sub(d.heardAt).Milliseconds()),
		}
		for _, m := range g.cfg.PulseRecipients(now, id) {
			if m != g.cfg.Daemon {
				batches[m] = append(batches[m], p)
			}
		}
	}
	return pulseMessages(batches)
}

// pulseMessages returns one message for each recipient, in a stable order.
func pulseMessages(batches map[gypsumshelf.DaemonID][]Pulse) []Send {
	var out []Send
	for m, items := range batches {
		slices.SortFunc(items, func(a, b Pulse) int { return cmp.Compare(a.Server, b.Server) })
		out = append(out, Send{To: m, Payload: Pulses{Items: items}})
	}
	slices.SortFunc(out, func(a, b Send) int { return cmp.Compare(a.To, b.To) })
	return out
}

// AnswerWant returns the announcements that answer a Want.
func (g *Gossip) AnswerWant(now time.Time, from gypsumshelf.DaemonID, w Want) []Send {
	var out []Send
	for _, id := range w.Servers {
		if d := g.direct[id]; d != nil {
			out = append(out, Send{To: from, Payload: Notice{
				Announcement: d.announcement, AgeMillis: int(now.Sub(d.heardAt).Milliseconds()),
			}})
		}
	}
	return out
}

// ApplyPulse applies a pulse. It returns false when the whole announcement is
// needed, since the server is unknown or its digest differs.
func (t *Table) ApplyPulse(now time.Time, p Pulse) bool {
	s := t.servers[p.Server]
	if s == nil || s.digest != p.Digest {
		return false
	}
	a := s.announcement
	a.Load, a.Sequence = p.Load, p.Sequence
	t.AnnounceForwarded(now, a, time.Duration(p.AgeMillis)*time.Millisecond)
	return true
}

// PulseOf returns the pulse of a known server, without its id, for daemons that
// receive pulses with their shares.
func (t *Table) PulseOf(now time.Time, id gypsumshelf.ServerID) *Pulse {
	s := t.servers[id]
	if s == nil {
		return nil
	}
	return &Pulse{
		Digest: s.digest, Sequence: s.announcement.Sequence, Load: s.announcement.Load,
		AgeMillis: int(now.Sub(s.lastHeard).Milliseconds()),
	}
}
