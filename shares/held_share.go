package shares

import (
	"time"
)

// heldShare is this daemon's share of one server.
type heldShare struct {
	incarnation uint32
	share       Amount
	limit       Amount
	expires     time.Time // end of the share by this daemon's clock, counted from the Ask
	ownerEpoch  uint64
	peak        Amount // decaying maximum of the work in progress
	need        Amount // of the most urgent request that waits for this server, without what runs
	queued      Amount // of all requests that wait for this server
}

// pendingRequest is an Ask without an answer.
type pendingRequest struct {
	sent          int64
	sentAt        time.Time // with a monotonic reading, unlike sent
	awaitingGrant bool
}

// baselineShare is asked for without any request waiting, so that the next one
// starts without a round trip to the owner.
var baselineShare = Amount{Attempts: 2, Tokens: 16_000}

func (h *heldShare) newRequestItem(running Amount) RequestItem {
	h.peak = Amount{
		Attempts: max(running.Attempts, h.peak.Attempts*9/10),
		Tokens:   max(running.Tokens, h.peak.Tokens*9/10),
	}
	item := RequestItem{Running: running, Want: Amount{
		Attempts: max(h.peak.Attempts, running.Attempts+h.queued.Attempts) + baselineShare.Attempts,
		Tokens:   max(h.peak.Tokens, running.Tokens+h.queued.Tokens) + baselineShare.Tokens,
	}}
	if h.need != (Amount{}) {
		item.Need = Amount{running.Attempts + h.need.Attempts, running.Tokens + h.need.Tokens}
	}
	return item
}
