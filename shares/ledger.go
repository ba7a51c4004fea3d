package shares

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/servers"
)

// starveAfter is the wait after which the guaranteed shares of other daemons
// give way to the daemon that has waited longest.
const starveAfter = 2 * time.Second

// ledger is the owner's account of one server incarnation.
type ledger struct {
	incarnation uint32
	holdings    map[gypsumshelf.DaemonID]*holding
}

// holding is what one daemon holds of the server.
type holding struct {
	daemon       gypsumshelf.DaemonID
	sent         int64 // of the last Ask
	share        Amount
	until        time.Time // end of the share by the owner's clock
	held         Amount    // earlier share that the holder uses until it has the answer
	heldUntil    time.Time
	running      Amount
	runningUntil time.Time // end of the time for which running counts
	need, want   Amount
	unmet        time.Time // since when need is unmet, zero when met
	evidence     servers.Evidence
	known        bool // evidence has a base
}

func newLedger(incarnation uint32) *ledger {
	return &ledger{incarnation: incarnation, holdings: map[gypsumshelf.DaemonID]*holding{}}
}

// outstanding returns what the holder may have on the server at now.
func (h *holding) outstanding(now time.Time) Amount {
	var a Amount
	if now.Before(h.until) {
		a = h.share
	}
	if now.Before(h.heldUntil) {
		a = a.atLeast(h.held)
	}
	if now.Before(h.runningUntil) {
		a = a.atLeast(h.running)
	}
	return a
}

func (a Amount) atLeast(b Amount) Amount {
	return Amount{max(a.Attempts, b.Attempts), max(a.Tokens, b.Tokens)}
}

func (a Amount) atMost(b Amount) Amount {
	return Amount{min(a.Attempts, b.Attempts), min(a.Tokens, b.Tokens)}
}

// restart begins the account of a new incarnation. Holders that have not heard
// of it may use their shares until these expire, so the shares still count.
func (l *ledger) restart(incarnation uint32) {
	l.incarnation = incarnation
	for _, h := range l.holdings {
		h.running, h.runningUntil = Amount{}, time.Time{}
		h.unmet, h.known = time.Time{}, false
	}
}

func (l *ledger) holding(from gypsumshelf.DaemonID) *holding {
	h := l.holdings[from]
	if h == nil {
		h = &holding{daemon: from}
		l.holdings[from] = h
	}
	return h
}

// learn returns the evidence that is new since the holder's last Ask. The
// first Ask only sets the base: an earlier owner has counted what precedes it.
func (h *holding) learn(e servers.Evidence) servers.Evidence {
	base := h.evidence
	h.evidence = e
	if !h.known {
		h.known = true
		return servers.Evidence{}
	}
	return servers.Evidence{
		Completed: e.Completed - base.Completed, Tokens: e.Tokens - base.Tokens,
		Failed: e.Failed - base.Failed, Cold: e.Cold - base.Cold,
	}
}

// ask takes an Ask and grants a share. The sum of all unexpired shares and
// running work never exceeds limit through a grant.
func (l *ledger) ask(now time.Time, h *holding, sent int64, item AskItem, limit Amount, cfg Config) Amount {
	h.sent = sent
	h.running, h.runningUntil = item.Running, now.Add(cfg.RunningKeep)
	if h.until.After(h.heldUntil) {
		h.heldUntil = h.until
	}
	h.held, h.until = item.Held, time.Time{}
	h.need, h.want = item.Need.atMost(limit), item.Want.atMost(limit)
	before := l.sum(now)
	own := h.outstanding(now)
	free := Amount{
		Attempts: limit.Attempts - (before.Attempts - own.Attempts),
		Tokens:   limit.Tokens - (before.Tokens - own.Tokens),
	}
	grant := Amount{
		Attempts: l.allot(now, h, limit.Attempts, free.Attempts, func(a Amount) int { return a.Attempts }),
		Tokens:   l.allot(now, h, limit.Tokens, free.Tokens, func(a Amount) int { return a.Tokens }),
	}
	if grant.Attempts < h.need.Attempts || grant.Tokens < h.need.Tokens {
		// A large part of what is needed would only keep others from theirs.
		small := Amount{item.Running.Attempts + standing.Attempts, item.Running.Tokens + standing.Tokens}
		grant = grant.atMost(small)
		if h.unmet.IsZero() {
			h.unmet = now
		}
	} else {
		h.unmet = time.Time{}
	}
	h.share, h.until = grant, now.Add(cfg.Share)
	l.assertWithin(now, before, limit)
	return grant
}

// sum returns all unexpired shares and running work.
func (l *ledger) sum(now time.Time) Amount {
	var sum Amount
	for _, h := range l.holdings {
		a := h.outstanding(now)
		sum.Attempts += a.Attempts
		sum.Tokens += a.Tokens
	}
	return sum
}

func (l *ledger) assertWithin(now time.Time, before, limit Amount) {
	after := l.sum(now)
	if after.Attempts > max(before.Attempts, limit.Attempts) || after.Tokens > max(before.Tokens, limit.Tokens) {
		panic(fmt.Sprintf("shares %+v exceed the limit %+v", after, limit))
	}
}

// allot returns what h gets of one dimension, of which free is not taken by
// other daemons. Daemons whose need has been unmet for longer come first; each
// is guaranteed its max-min fair part. The result may be below what h has in
// progress: it then starts nothing until enough of that has ended.
func (l *ledger) allot(now time.Time, h *holding, limit, free int, of func(Amount) int) int {
	reserved, starving := 0, 0
	for _, o := range l.holdings {
		if o == h || !now.Before(o.runningUntil) || !o.before(h) {
			continue
		}
		missing := max(0, of(o.need)-of(o.outstanding(now)))
		reserved += missing
		if now.Sub(o.unmet) > starveAfter {
			starving += missing
		}
	}
	fair := min(l.fair(now, h, limit, of), free-starving)
	return max(0, min(of(h.want), free, max(free-reserved, fair)))
}

// before reports whether h's need has been unmet for longer than o's.
func (h *holding) before(o *holding) bool {
	return !h.unmet.IsZero() && (o.unmet.IsZero() || h.unmet.Before(o.unmet))
}

// fair returns h's max-min fair part of limit by the wants of all daemons.
func (l *ledger) fair(now time.Time, h *holding, limit int, of func(Amount) int) int {
	var active []*holding
	for _, o := range l.holdings {
		if o == h || now.Before(o.until) {
			active = append(active, o)
		}
	}
	slices.SortFunc(active, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(of(a.want), of(b.want)), cmp.Compare(a.daemon, b.daemon))
	})
	rest := limit
	for i, o := range active {
		part := min(of(o.want), rest/(len(active)-i))
		if o == h {
			return part
		}
		rest -= part
	}
	return 0
}

// forget drops daemons that have been silent for a long time.
func (l *ledger) forget(now time.Time) {
	for d, h := range l.holdings {
		if !now.Before(h.until) && !now.Before(h.heldUntil) && !now.Before(h.runningUntil) {
			delete(l.holdings, d)
		}
	}
}
