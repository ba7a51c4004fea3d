package shares

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/servers"
)

// starvationTimeout is the time of unmet need after which a daemon takes
// precedence over the fair shares guaranteed to others.
const starvationTimeout = 2 * time.Second

// serverAllocations is the owner's record of the shares of one server
// incarnation.
type serverAllocations struct {
	incarnation uint32
	byDaemon    map[gypsumshelf.DaemonID]*allocation
}

// allocation is the share and the demand of one daemon.
type allocation struct {
	daemon          gypsumshelf.DaemonID
	lastSent        int64 // Sent of the last share request
	share           Amount
	expires         time.Time // on the owner's clock
	previous        Amount    // share that the holder uses until the grant reaches it
	previousExpires time.Time
	running         Amount
	runningExpires  time.Time // until when running counts as outstanding
	need, want      Amount
	unmetSince      time.Time // zero when need is met
	evidence        servers.Evidence
	hasBaseline     bool // evidence holds the counts of an earlier share request
}

func newServerAllocations(incarnation uint32) *serverAllocations {
	return &serverAllocations{incarnation: incarnation, byDaemon: map[gypsumshelf.DaemonID]*allocation{}}
}

// outstanding returns the most work that the holder may have on the server at
// now.
func (h *allocation) outstanding(now time.Time) Amount {
	var a Amount
	if now.Before(h.expires) {
		a = h.share
	}
	if now.Before(h.previousExpires) {
		a = a.atLeast(h.previous)
	}
	if now.Before(h.runningExpires) {
		a = a.atLeast(h.running)
	}
	return a
}

// atLeast returns the maximum of a and b in each dimension.
func (a Amount) atLeast(b Amount) Amount {
	return Amount{max(a.Attempts, b.Attempts), max(a.Tokens, b.Tokens)}
}

// atMost returns the minimum of a and b in each dimension.
func (a Amount) atMost(b Amount) Amount {
	return Amount{min(a.Attempts, b.Attempts), min(a.Tokens, b.Tokens)}
}

// resetIncarnation switches to a new incarnation of the server. Existing shares
// still count, since holders that have not heard of the new incarnation may use
// them until they expire.
func (s *serverAllocations) resetIncarnation(incarnation uint32) {
	s.incarnation = incarnation
	for _, h := range s.byDaemon {
		h.running, h.runningExpires = Amount{}, time.Time{}
		h.unmetSince, h.hasBaseline = time.Time{}, false
	}
}

func (s *serverAllocations) allocation(from gypsumshelf.DaemonID) *allocation {
	h := s.byDaemon[from]
	if h == nil {
		h = &allocation{daemon: from}
		s.byDaemon[from] = h
	}
	return h
}

// newEvidence returns the evidence since the holder's last share request. The
// first one only sets the baseline, since an earlier owner has counted the evidence
// before it.
func (h *allocation) newEvidence(e servers.Evidence) servers.Evidence {
	base := h.evidence
	h.evidence = e
	if !h.hasBaseline {
		h.hasBaseline = true
		return servers.Evidence{}
	}
	return servers.Evidence{
		Completed: e.Completed - base.Completed, Tokens: e.Tokens - base.Tokens,
		Failed: e.Failed - base.Failed, Cold: e.Cold - base.Cold,
	}
}

// allocate records an item of a share request and grants a share. A grant never
// raises the sum of unexpired shares and running work above limit.
func (s *serverAllocations) allocate(now time.Time, h *allocation, sent int64, item RequestItem, limit Amount, cfg Config) Amount {
	h.lastSent = sent
	h.running, h.runningExpires = item.Running, now.Add(cfg.RunningTTL)
	if h.expires.After(h.previousExpires) {
		h.previousExpires = h.expires
	}
	h.previous, h.expires = item.Held, time.Time{}
	h.need, h.want = item.Need.atMost(limit), item.Want.atMost(limit)
	sumBefore := s.outstandingSum(now)
	ownOutstanding := h.outstanding(now)
	free := Amount{
		Attempts: limit.Attempts - (sumBefore.Attempts - ownOutstanding.Attempts),
		Tokens:   limit.Tokens - (sumBefore.Tokens - ownOutstanding.Tokens),
	}
	grant := Amount{
		Attempts: s.allocateDimension(now, h, limit.Attempts, free.Attempts, func(a Amount) int { return a.Attempts }),
		Tokens:   s.allocateDimension(now, h, limit.Tokens, free.Tokens, func(a Amount) int { return a.Tokens }),
	}
	if grant.Attempts < h.need.Attempts || grant.Tokens < h.need.Tokens {
		// The holder cannot use a share below its need, so a large one would only
		// block other daemons.
		fallback := Amount{item.Running.Attempts + baselineShare.Attempts, item.Running.Tokens + baselineShare.Tokens}
		grant = grant.atMost(fallback)
		if h.unmetSince.IsZero() {
			h.unmetSince = now
		}
	} else {
		h.unmetSince = time.Time{}
	}
	h.share, h.expires = grant, now.Add(cfg.ShareTTL)
	s.assertWithinLimit(now, sumBefore, limit)
	return grant
}

// outstandingSum returns the sum of unexpired shares and running work of all
// daemons.
func (s *serverAllocations) outstandingSum(now time.Time) Amount {
	var sum Amount
	for _, h := range s.byDaemon {
		a := h.outstanding(now)
		sum.Attempts += a.Attempts
		sum.Tokens += a.Tokens
	}
	return sum
}

// assertWithinLimit panics when the outstanding sum exceeds both the limit and
// the sum before the grant.
func (s *serverAllocations) assertWithinLimit(now time.Time, before, limit Amount) {
	after := s.outstandingSum(now)
	if after.Attempts > max(before.Attempts, limit.Attempts) || after.Tokens > max(before.Tokens, limit.Tokens) {
		panic(fmt.Sprintf("shares: outstanding amount %+v exceeds the limit %+v", after, limit))
	}
}

// allocateDimension returns the grant to h in one dimension (attempts or tokens);
// free is the part of limit that other daemons do not hold. Daemons whose need
// has been unmet for longer come first, but each daemon is guaranteed its
// max-min fair share. A grant below h's running work stops h from starting
// attempts until enough of that work has ended.
func (s *serverAllocations) allocateDimension(now time.Time, h *allocation, limit, free int, dimension func(Amount) int) int {
	reserved, reservedForStarving := 0, 0
	for _, o := range s.byDaemon {
		if o == h || !now.Before(o.runningExpires) || !o.waitedLongerThan(h) {
			continue
		}
		missing := max(0, dimension(o.need)-dimension(o.outstanding(now)))
		reserved += missing
		if now.Sub(o.unmetSince) > starvationTimeout {
			reservedForStarving += missing
		}
	}
	fair := min(s.fairShare(now, h, limit, dimension), free-reservedForStarving)
	return max(0, min(dimension(h.want), free, max(free-reserved, fair)))
}

// waitedLongerThan reports whether h's need has been unmet for longer than o's.
func (h *allocation) waitedLongerThan(o *allocation) bool {
	return !h.unmetSince.IsZero() && (o.unmetSince.IsZero() || h.unmetSince.Before(o.unmetSince))
}

// fairShare returns h's max-min fair share of limit among h and the daemons with
// unexpired shares, according to their wants.
func (s *serverAllocations) fairShare(now time.Time, h *allocation, limit int, dimension func(Amount) int) int {
	var active []*allocation
	for _, o := range s.byDaemon {
		if o == h || now.Before(o.expires) {
			active = append(active, o)
		}
	}
	slices.SortFunc(active, func(a, b *allocation) int {
		return cmp.Or(cmp.Compare(dimension(a.want), dimension(b.want)), cmp.Compare(a.daemon, b.daemon))
	})
	remaining := limit
	for i, o := range active {
		part := min(dimension(o.want), remaining/(len(active)-i))
		if o == h {
			return part
		}
		remaining -= part
	}
	return 0
}

// dropSilentDaemons removes daemons whose shares and running work have expired.
func (s *serverAllocations) dropSilentDaemons(now time.Time) {
	for d, h := range s.byDaemon {
		if !now.Before(h.expires) && !now.Before(h.previousExpires) && !now.Before(h.runningExpires) {
			delete(s.byDaemon, d)
		}
	}
}
