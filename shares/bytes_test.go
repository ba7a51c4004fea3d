package shares

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/servers"
)

// byteMeter exchanges the control messages of a whole deployment and counts the
// bytes that each daemon sends and receives.
type byteMeter struct {
	ids      []gypsumshelf.DaemonID
	index    map[gypsumshelf.DaemonID]int
	tables   []*Table
	gossip   []*servers.Gossip
	known    [][]gypsumshelf.ServerID
	conns    map[[2]int]*gobConn
	bytes    map[string][]int // by kind and daemon, sent and received
	now      time.Time
	counting bool
}

func newByteMeter(nodes, n int) *byteMeter {
	w := &byteMeter{index: map[gypsumshelf.DaemonID]int{}, conns: map[[2]int]*gobConn{}, bytes: map[string][]int{}, now: time.Unix(1_700_000_000, 0), known: make([][]gypsumshelf.ServerID, nodes)}
	for i := range nodes {
		id := gypsumshelf.DaemonID(fmt.Sprintf("entry-%03d", i))
		w.ids, w.index[id] = append(w.ids, id), i
	}
	for i, id := range w.ids {
		cfg := DefaultConfig(nodes)
		cfg.Daemon, cfg.Daemons = id, w.ids
		cfg.Voters = func() []gypsumshelf.DaemonID { return w.ids[:min(5, nodes-1)] }
		cfg.Limit = func(gypsumshelf.ServerID) (Amount, uint32, bool) { return Amount{32, 400_000}, 12345, true }
		cfg.Running = func(gypsumshelf.ServerID) (Amount, servers.Evidence) {
			done := int(w.now.Unix() % 100_000)
			return Amount{1, 12_000}, servers.Evidence{Completed: done, Tokens: 12_000 * done}
		}
		cfg.ApplyEvidence = func(time.Time, gypsumshelf.ServerID, servers.Evidence) {}
		cfg.ApplyLimit = func(gypsumshelf.ServerID, Amount) {}
		members := func(s gypsumshelf.ServerID) []gypsumshelf.DaemonID { return w.tables[i].Members(SlotOf(s)) }
		pulseRecipients := func(_ time.Time, s gypsumshelf.ServerID) []gypsumshelf.DaemonID { return members(s) }
		if cfg.MembersPerSlot > 0 {
			cfg.PulseOf = func(time.Time, gypsumshelf.ServerID) *servers.Pulse {
				return &servers.Pulse{Digest: 1 << 31, Sequence: 1_700_000_000_000, Load: gypsumshelf.Load{Running: 12, Queued: 3, UsedTokens: 300_000}, AgeMillis: 400}
			}
			pulseRecipients = func(now time.Time, s gypsumshelf.ServerID) []gypsumshelf.DaemonID {
				return w.tables[i].PulseRecipients(now, s)
			}
		}
		t := New(w.now, cfg)
		w.tables = append(w.tables, t)
		w.gossip = append(w.gossip, servers.NewGossip(servers.GossipConfig{
			Daemon: id, Period: 500 * time.Millisecond, Members: members, PulseRecipients: pulseRecipients, LargeDeployment: cfg.MembersPerSlot > 0,
		}))
		for s := range n {
			if server := serverName(s); t.IsMember(server) {
				w.known[i] = append(w.known[i], server)
			}
		}
	}
	return w
}

func serverName(i int) gypsumshelf.ServerID { return gypsumshelf.ServerID(fmt.Sprintf("fk-%04d", i)) }

func (w *byteMeter) deliver(kind string, from int, to gypsumshelf.DaemonID, payload any) {
	j := w.index[to]
	p := w.conns[[2]int{from, j}]
	if p == nil {
		p = newGobConn()
		w.conns[[2]int{from, j}] = p
	}
	n := p.callBytes(w.ids[from], payload)
	if w.counting {
		for _, d := range []int{from, j} {
			if w.bytes[kind] == nil {
				w.bytes[kind] = make([]int, len(w.ids))
			}
			w.bytes[kind][d] += n
		}
	}
	if kind == "shares" {
		w.deliverShares(j, w.tables[j].Receive(w.now, w.ids[from], payload))
	}
}

func (w *byteMeter) deliverShares(from int, all []Send) {
	for _, m := range all {
		w.deliver("shares", from, m.To, m.Payload)
	}
}

func (w *byteMeter) deliverAnnouncements(from int, all []servers.Send) {
	for _, m := range all {
		w.deliver("announcements", from, m.To, m.Payload)
	}
}

func (w *byteMeter) run(d time.Duration, n int, r *rand.Rand) {
	const tick = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		for i := range w.ids {
			for _, other := range w.ids {
				w.tables[i].RecordMessage(w.now, other)
			}
			w.deliverShares(i, w.tables[i].Tick(w.now, w.known[i]))
			w.deliverAnnouncements(i, w.gossip[i].Tick(w.now, 3*time.Second))
		}
		for s := range n { // each server announces itself once a second
			if (w.now.UnixMilli()/100+int64(s))%10 == 0 {
				i := r.IntN(len(w.ids))
				w.deliverAnnouncements(i, w.gossip[i].RecordAnnouncement(w.now, gypsumshelf.Announcement{
					Server: serverName(s), Incarnation: "0b3c1a52-9a49-4ad1-8c1e-5f1f3c1b2a10", Address: "10.12.13.14:9001",
					DataCentre: "wien-nord", Service: "federkiel", Kind: gypsumshelf.KindEngine, Models: []string{"m"}, MemoryTokens: 400_000,
					State: gypsumshelf.ServerReady, Sequence: uint64(w.now.UnixMilli()),
					Load: gypsumshelf.Load{Running: r.IntN(30), Queued: r.IntN(8), UsedTokens: r.IntN(400_000)},
				}))
			}
		}
	}
}

func measureControlBytes(t *testing.T, nodes, n int) {
	t.Helper()
	w, r := newByteMeter(nodes, n), rand.New(rand.NewPCG(uint64(seed()), 3))
	w.run(20*time.Second, n, r)
	w.counting = true
	const seconds = 10
	w.run(seconds*time.Second, n, r)
	total := make([]int, nodes)
	for _, kind := range []string{"shares", "announcements"} {
		all := slices.Sorted(slices.Values(w.bytes[kind]))
		sum := 0
		for i, b := range w.bytes[kind] {
			total[i] += b
			sum += b
		}
		t.Logf("%3d daemons, %4d servers, %-13s mean %6.2f KB/s, most %6.2f KB/s", nodes, n, kind,
			float64(sum)/float64(nodes)/seconds/1000, float64(all[nodes-1])/seconds/1000)
	}
	slices.Sort(total)
	t.Logf("%3d daemons, %4d servers, both: median %6.2f KB/s, most %6.2f KB/s; heartbeat of peers %d bytes a call", nodes, n,
		float64(total[nodes/2])/seconds/1000, float64(total[nodes-1])/seconds/1000, heartbeatBytes())
}

// heartbeatBytes returns the size of an empty call on an established connection.
func heartbeatBytes() int {
	p := newGobConn()
	p.callBytes("d", nil)
	return p.callBytes("d", nil)
}
