package shares

import (
	"time"
)

// heldShare is this daemon's share of one server and its demand for it.
type heldShare struct {
	incarnation uint32
	share       Amount
	limit       Amount
	expires     time.Time // on this daemon's clock, counted from when the request was sent
	ownerEpoch  uint64
	peak        Amount // decaying maximum of the work in progress
	need        Amount // of the most urgent queued request for this server, without running work
	queued      Amount // of all queued requests for this server
}

// pendingRequest is the last share request sent to an owner.
type pendingRequest struct {
	sent          int64
	sentAt        time.Time // has a monotonic clock reading, unlike sent
	awaitingGrant bool
}

// baselineShare is requested in addition to the demand, so that the next request
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
