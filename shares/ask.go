package shares

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// askGap is the shortest time between two Asks while a need is unmet.
const askGap = 20 * time.Millisecond

// ask renews the shares of all known servers with their owners. An owner gets
// one Ask at a time.
func (t *Table) ask(now time.Time, known []gypsumshelf.ServerID) {
	if t.stopped {
		return
	}
	byOwner := map[gypsumshelf.DaemonID][]gypsumshelf.ServerID{}
	var order []gypsumshelf.DaemonID
	for _, id := range known {
		if !t.Member(id) {
			continue
		}
		d, ok := t.Owner(now, SlotOf(id))
		if !ok {
			continue
		}
		if byOwner[d] == nil {
			order = append(order, d)
		}
		byOwner[d] = append(byOwner[d], id)
	}
	for _, d := range order {
		t.askOwner(now, d, byOwner[d])
	}
}

func (t *Table) askOwner(now time.Time, d gypsumshelf.DaemonID, ids []gypsumshelf.ServerID) {
	p := t.pending[d]
	if p != nil && (now.Sub(p.at) < askGap || (p.open && now.Sub(p.at) < t.cfg.AnswerWait)) {
		return
	}
	due := now.Sub(t.asked[d]) >= t.cfg.AskPeriod
	ask := Ask{}
	for _, id := range ids {
		h := t.hold(id)
		if due || (h.need != (Amount{}) && !t.covered(now, id, h)) {
			ask.Items = append(ask.Items, t.askItem(now, id, h))
		}
	}
	if len(ask.Items) == 0 {
		return
	}
	if due {
		t.asked[d] = now
	}
	ask.Sent = t.stamp(now)
	t.pending[d] = &pending{sent: ask.Sent, at: now, open: true}
	t.send(d, ask)
}

// covered reports whether the share already has room for the need.
func (t *Table) covered(now time.Time, id gypsumshelf.ServerID, h *hold) bool {
	running, _ := t.cfg.Running(id)
	return now.Before(h.until) && running.Attempts+h.need.Attempts <= h.share.Attempts &&
		running.Tokens+h.need.Tokens <= h.share.Tokens
}

func (t *Table) askItem(now time.Time, id gypsumshelf.ServerID, h *hold) AskItem {
	running, evidence := t.cfg.Running(id)
	item := h.item(running)
	item.Server, item.Incarnation, item.Evidence = id, h.incarnation, evidence
	item.Held, _ = t.Share(now, id)
	return item
}

// grant answers an Ask for the servers that this daemon owns.
func (t *Table) grant(now time.Time, from gypsumshelf.DaemonID, m Ask) {
	g := Grant{Sent: m.Sent}
	for _, item := range m.Items {
		o := t.owners[SlotOf(item.Server)]
		limit, incarnation, ok := t.cfg.Limit(item.Server)
		if o == nil || !ok || incarnation != item.Incarnation || !o.mayGrant(now, t.cfg.Voters()) {
			continue
		}
		l := o.ledgers[item.Server]
		if l == nil {
			l = newLedger(incarnation)
			o.ledgers[item.Server] = l
		}
		if l.incarnation != incarnation {
			l.restart(incarnation)
		}
		l.forget(now)
		h := l.holding(from)
		if m.Sent <= h.sent {
			continue
		}
		if from != t.cfg.Daemon {
			t.cfg.Learn(now, item.Server, h.learn(item.Evidence))
			limit, _, _ = t.cfg.Limit(item.Server)
		}
		share := l.ask(now, h, m.Sent, item, limit, t.cfg)
		granted := GrantItem{
			Server: item.Server, Incarnation: incarnation, Epoch: o.epoch, Share: share, Limit: limit,
		}
		if t.cfg.Report != nil {
			granted.Pulse = t.cfg.Report(now, item.Server)
		}
		g.Items = append(g.Items, granted)
	}
	t.send(from, g)
}

// granted takes the answer to the last Ask; older answers are ignored, since
// the owner no longer counts what they state.
func (t *Table) granted(now time.Time, from gypsumshelf.DaemonID, m Grant) {
	p := t.pending[from]
	if t.stopped || p == nil || !p.open || p.sent != m.Sent {
		return
	}
	p.open = false
	for _, item := range m.Items {
		h := t.hold(item.Server)
		if h.incarnation != item.Incarnation || item.Epoch < h.epoch {
			continue
		}
		h.share, h.limit, h.epoch = item.Share, item.Limit, item.Epoch
		h.until = p.at.Add(t.cfg.Share - t.cfg.Share/clockMargin)
		if from == t.cfg.Daemon {
			continue
		}
		t.cfg.Adopt(item.Server, item.Limit)
		if t.cfg.Reported != nil && item.Pulse != nil {
			p := *item.Pulse
			p.Server = item.Server
			t.cfg.Reported(now, from, p)
		}
	}
}

// Stranger is a live member of a server's slot that has asked for no share.
type Stranger struct {
	Daemon gypsumshelf.DaemonID
	Server gypsumshelf.ServerID
}

// Strangers returns the strangers to the servers that this daemon owns; they
// have not heard of the server.
func (t *Table) Strangers(now time.Time, known []gypsumshelf.ServerID) []Stranger {
	var all []Stranger
	for _, id := range known {
		slot := SlotOf(id)
		o := t.owners[slot]
		if o == nil {
			continue
		}
		l := o.ledgers[id]
		for _, d := range t.Members(slot) {
			if d != t.cfg.Daemon && t.Live(now, d) && (l == nil || l.holdings[d] == nil) {
				all = append(all, Stranger{Daemon: d, Server: id})
			}
		}
	}
	return all
}
