package shares

import (
	"time"
)

// hold is this daemon's share of one server.
type hold struct {
	incarnation uint32
	share       Amount
	limit       Amount
	until       time.Time // end of the share by this daemon's clock, counted from the Ask
	epoch       uint64
	peak        Amount // decaying maximum of the work in progress
	need        Amount // of the most urgent request that waits for this server, without what runs
	extra       Amount // of all requests that wait for this server
}

// pending is an Ask without an answer.
type pending struct {
	sent int64
	at   time.Time // with a monotonic reading, unlike sent
	open bool
}

// standing is asked for without any request waiting, so that the next one
// starts without a round trip to the owner.
var standing = Amount{Attempts: 2, Tokens: 16_000}

func (h *hold) item(running Amount) AskItem {
	h.peak = Amount{
		Attempts: max(running.Attempts, h.peak.Attempts*9/10),
		Tokens:   max(running.Tokens, h.peak.Tokens*9/10),
	}
	item := AskItem{Running: running, Want: Amount{
		Attempts: max(h.peak.Attempts, running.Attempts+h.extra.Attempts) + standing.Attempts,
		Tokens:   max(h.peak.Tokens, running.Tokens+h.extra.Tokens) + standing.Tokens,
	}}
	if h.need != (Amount{}) {
		item.Need = Amount{running.Attempts + h.need.Attempts, running.Tokens + h.need.Tokens}
	}
	return item
}
