// Package shares divides the limit of each backend server between the daemons.
//
// Servers are grouped into slots. The owner of a slot is the daemon that ranks
// first by rendezvous hashing among the live members of the slot and that holds
// promises from a majority of the voters. It grants shares that expire after
// Config.ShareTTL. A new owner grants nothing until all shares of earlier owners
// have expired. No interval spans two clocks: a holder measures its share from
// when it sent the request, and an owner measures a promise from when it sent the
// Claim.
package shares

import (
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/servers"
)

// clockDriftDivisor is the inverse of the tolerated difference in clock rate: 20
// allows for 5%.
const clockDriftDivisor = 20

// Config configures a Table.
type Config struct {
	Daemon         gypsumshelf.DaemonID
	Daemons        []gypsumshelf.DaemonID        // all daemons of the settings
	Voters         func() []gypsumshelf.DaemonID // daemons whose promises decide who owns a slot
	MembersPerSlot int                           // daemons in each slot, all when 0
	// Limit returns a server's limit and the hash of its incarnation.
	Limit func(gypsumshelf.ServerID) (limit Amount, incarnation uint32, ok bool)
	// Running returns this daemon's work in progress on a server and its evidence.
	Running func(gypsumshelf.ServerID) (Amount, servers.Evidence)
	// ApplyEvidence applies new evidence of another daemon; ApplyLimit applies
	// the limit stated by a server's owner.
	ApplyEvidence func(time.Time, gypsumshelf.ServerID, servers.Evidence)
	ApplyLimit    func(gypsumshelf.ServerID, Amount)
	// PulseOf returns the pulse of a server to send with its shares; ApplyPulse
	// handles a received one. Both are nil where pulses go to every member.
	PulseOf    func(time.Time, gypsumshelf.ServerID) *servers.Pulse
	ApplyPulse func(now time.Time, owner gypsumshelf.DaemonID, p servers.Pulse)

	ShareTTL        time.Duration // lifetime of a share
	PromiseTTL      time.Duration // lifetime of a voter's promise
	RequestPeriod   time.Duration
	ClaimPeriod     time.Duration
	LivenessTimeout time.Duration // time without a message after which a daemon is considered dead
	RunningTTL      time.Duration // time for which the running work of a silent daemon counts
	RequestTimeout  time.Duration // time after which an unanswered share request is sent again
}

// largeDeploymentDaemons is the number of daemons above which messages are sent
// less often, so that a voter's control traffic stays within 20 KB/s.
const largeDeploymentDaemons = 16

// DefaultConfig returns the durations and the slot size for a deployment of n
// daemons.
func DefaultConfig(n int) Config {
	cfg := Config{
		ShareTTL: 1500 * time.Millisecond, PromiseTTL: 1500 * time.Millisecond,
		RequestPeriod: 500 * time.Millisecond, ClaimPeriod: 500 * time.Millisecond,
		LivenessTimeout: time.Second, RunningTTL: 10 * time.Second, RequestTimeout: 300 * time.Millisecond,
	}
	if n > largeDeploymentDaemons {
		cfg.ShareTTL, cfg.PromiseTTL = 6*time.Second, 10*time.Second
		cfg.RequestPeriod, cfg.ClaimPeriod = 2*time.Second, 4*time.Second
		cfg.LivenessTimeout, cfg.MembersPerSlot = 3*time.Second, 12
	}
	return cfg
}

// Table holds one daemon's state as voter, owner of slots and holder of shares.
type Table struct {
	cfg             Config
	voter           *voter
	owned           map[Slot]*ownership
	highestEpochs   map[Slot]uint64
	heldShares      map[gypsumshelf.ServerID]*heldShare
	pendingRequests map[gypsumshelf.DaemonID]*pendingRequest
	lastRequest     map[gypsumshelf.DaemonID]time.Time
	lastHeard       map[gypsumshelf.DaemonID]time.Time
	leftAt          map[gypsumshelf.DaemonID]time.Time // when a daemon announced that it stops
	membersBySlot   map[Slot][]gypsumshelf.DaemonID
	openClaims      map[int64]time.Time // claims that a promise may still answer, by Claim.Sent
	lastClaim       time.Time
	lastClaimRetry  time.Time
	lastStamp       int64
	stopped         bool
	outbox          []Send
}

// New returns the Table of a daemon that starts at now.
func New(now time.Time, cfg Config) *Table {
	if !slices.Contains(cfg.Daemons, cfg.Daemon) {
		cfg.Daemons = append(slices.Clone(cfg.Daemons), cfg.Daemon)
	}
	return &Table{
		cfg: cfg, voter: newVoter(now, cfg.PromiseTTL+cfg.PromiseTTL/clockDriftDivisor),
		owned: map[Slot]*ownership{}, highestEpochs: map[Slot]uint64{},
		heldShares:      map[gypsumshelf.ServerID]*heldShare{},
		pendingRequests: map[gypsumshelf.DaemonID]*pendingRequest{}, lastRequest: map[gypsumshelf.DaemonID]time.Time{},
		openClaims: map[int64]time.Time{},
		leftAt:     map[gypsumshelf.DaemonID]time.Time{},
		lastHeard:  map[gypsumshelf.DaemonID]time.Time{}, membersBySlot: map[Slot][]gypsumshelf.DaemonID{},
	}
}

// leaveTTL is the time for which a daemon counts as dead after its Leave, so that
// heartbeats sent until its process ends do not revive it. A daemon that restarts
// within this time owns no servers until it has passed.
const leaveTTL = 3 * time.Second

// RecordMessage records a message from a daemon.
func (t *Table) RecordMessage(now time.Time, from gypsumshelf.DaemonID) { t.lastHeard[from] = now }

// Live reports whether a daemon has sent a message within Config.LivenessTimeout
// and has not left.
func (t *Table) Live(now time.Time, d gypsumshelf.DaemonID) bool {
	if d == t.cfg.Daemon {
		return !t.stopped
	}
	if left, ok := t.leftAt[d]; ok && now.Sub(left) <= leaveTTL {
		return false
	}
	heard, ok := t.lastHeard[d]
	return ok && now.Sub(heard) <= t.cfg.LivenessTimeout
}

// Members returns the daemons that use the servers of a slot, in the order in
// which they are preferred as its owner.
func (t *Table) Members(slot Slot) []gypsumshelf.DaemonID {
	ranked, ok := t.membersBySlot[slot]
	if !ok {
		ranked = Rank(slot, t.cfg.Daemons)
		if n := t.cfg.MembersPerSlot; n > 0 && n < len(ranked) {
			ranked = ranked[:n]
		}
		t.membersBySlot[slot] = ranked
	}
	return ranked
}

// PulseRecipients returns the preferred owner of a server's slot, which is the
// only recipient of the server's pulses in a large deployment.
func (t *Table) PulseRecipients(now time.Time, id gypsumshelf.ServerID) []gypsumshelf.DaemonID {
	if d, ok := t.PreferredOwner(now, SlotOf(id)); ok {
		return []gypsumshelf.DaemonID{d}
	}
	return nil
}

// IsMember reports whether this daemon is a member of a server's slot.
func (t *Table) IsMember(id gypsumshelf.ServerID) bool {
	return slices.Contains(t.Members(SlotOf(id)), t.cfg.Daemon)
}

// PreferredOwner returns the highest-ranked live member of a slot.
func (t *Table) PreferredOwner(now time.Time, slot Slot) (gypsumshelf.DaemonID, bool) {
	for _, d := range t.Members(slot) {
		if t.Live(now, d) {
			return d, true
		}
	}
	return "", false
}

// Share returns this daemon's unexpired share of a server and the server's
// limit. Both are zero without a share.
func (t *Table) Share(now time.Time, id gypsumshelf.ServerID) (share, limit Amount) {
	held := t.heldShare(id)
	if !now.Before(held.expires) {
		return Amount{}, Amount{}
	}
	return held.share, held.limit
}

// ShareExpiry returns the time at which this daemon's share of a server expires.
func (t *Table) ShareExpiry(id gypsumshelf.ServerID) time.Time { return t.heldShare(id).expires }

// SetDemand sets this daemon's demand for a server: need is the amount of its most
// urgent queued request, all that of all queued requests.
func (t *Table) SetDemand(id gypsumshelf.ServerID, need, all Amount) {
	h := t.heldShare(id)
	h.need, h.queued = need, all
}

// heldShare returns this daemon's share of a server's current incarnation.
func (t *Table) heldShare(id gypsumshelf.ServerID) *heldShare {
	share := t.heldShares[id]
	if _, incarnation, _ := t.cfg.Limit(id); share == nil || share.incarnation != incarnation {
		share = &heldShare{incarnation: incarnation}
		t.heldShares[id] = share
	}
	return share
}

// Tick renews claims and shares for the known servers and returns the messages to
// send.
func (t *Table) Tick(now time.Time, known []gypsumshelf.ServerID) []Send {
	t.forgetUnknownServers(known)
	t.renewClaims(now, known)
	t.requestShares(now, known)
	return t.flush(now)
}

// Stop resigns from all slots and gives up all shares.
func (t *Table) Stop(now time.Time) []Send {
	t.stopped = true
	t.resign(func(Slot) bool { return true })
	clear(t.heldShares)
	for _, d := range t.cfg.Daemons {
		if d != t.cfg.Daemon {
			t.send(d, Leave{})
		}
	}
	return t.flush(now)
}

// Receive handles a message from another daemon and returns the messages to send.
func (t *Table) Receive(now time.Time, from gypsumshelf.DaemonID, payload any) []Send {
	t.RecordMessage(now, from)
	t.receive(now, from, payload)
	return t.flush(now)
}

func (t *Table) receive(now time.Time, from gypsumshelf.DaemonID, payload any) {
	switch m := payload.(type) {
	case Claim:
		t.send(from, t.voter.handleClaim(now, from, m))
	case Resign:
		t.voter.handleResign(now, from, m)
	case Leave:
		t.leftAt[from] = now
	case Promise:
		t.handlePromise(now, from, m)
	case Request:
		t.handleRequest(now, from, m)
	case Grant:
		t.handleGrant(now, from, m)
	}
}

func (t *Table) send(to gypsumshelf.DaemonID, payload any) {
	t.outbox = append(t.outbox, Send{To: to, Payload: payload})
}

// flush empties the outbox: it handles messages to this daemon itself and returns
// the others.
func (t *Table) flush(now time.Time) []Send {
	var out []Send
	for len(t.outbox) > 0 {
		m := t.outbox[0]
		t.outbox = t.outbox[1:]
		if m.To == t.cfg.Daemon {
			t.receive(now, m.To, m.Payload)
		} else {
			out = append(out, m)
		}
	}
	return out
}

// stamp returns the time on this daemon's clock in nanoseconds, increased where
// needed to make it unique.
func (t *Table) stamp(now time.Time) int64 {
	t.lastStamp = max(t.lastStamp+1, now.UnixNano())
	return t.lastStamp
}

// forgetUnknownServers drops the shares of servers that are no longer known.
func (t *Table) forgetUnknownServers(known []gypsumshelf.ServerID) {
	if len(t.heldShares) <= len(known) {
		return
	}
	keep := map[gypsumshelf.ServerID]bool{}
	for _, id := range known {
		keep[id] = true
	}
	maps.DeleteFunc(t.heldShares, func(id gypsumshelf.ServerID, _ *heldShare) bool { return !keep[id] })
}
