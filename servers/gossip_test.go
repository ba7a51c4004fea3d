package servers

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Guards against a lost notice of leaving from which no later message recovers.
func TestPulseRecoversLostNotice(t *testing.T) {
	all := []gypsumshelf.DaemonID{"d1", "d2"}
	g := NewGossip(GossipConfig{
		Daemon: "d1", Period: time.Second,
		Members:         func(gypsumshelf.ServerID) []gypsumshelf.DaemonID { return all },
		PulseRecipients: func(time.Time, gypsumshelf.ServerID) []gypsumshelf.DaemonID { return all },
	})
	table := New(Config{Expiry: 3 * time.Second})
	deliver := func(out []Send) {
		for _, m := range out {
			switch p := m.Payload.(type) {
			case Notice:
				table.AnnounceForwarded(at(0), p.Announcement, time.Duration(p.AgeMillis)*time.Millisecond)
			case Pulses:
				for _, item := range p.Items {
					if !table.ApplyPulse(at(0), item) {
						for _, answer := range g.AnswerWant(at(0), "d2", Want{Servers: []gypsumshelf.ServerID{item.Server}}) {
							n := answer.Payload.(Notice)
							table.AnnounceForwarded(at(0), n.Announcement, 0)
						}
					}
				}
			}
		}
	}
	deliver(g.RecordAnnouncement(at(0), announcement("i1", gypsumshelf.ServerReady, 1)))
	assertReady(t, table, at(0), true)
	if lost := g.RecordAnnouncement(at(0), announcement("i1", gypsumshelf.ServerLeaving, 2)); len(lost) != 1 {
		t.Fatalf("leaving is sent to %d daemons at once, want 1", len(lost))
	}
	assertReady(t, table, at(0), true)
	g.RecordAnnouncement(at(0), announcement("i1", gypsumshelf.ServerLeaving, 3))
	deliver(g.Tick(at(time.Second), time.Minute))
	assertReady(t, table, at(0), false)
}
