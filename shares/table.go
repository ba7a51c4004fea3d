// Package shares divides the limit of each backend server between the daemons.
//
// Servers are grouped into slots. The owner of a slot is the daemon that
// rendezvous hashing prefers among the live members of the slot and that holds
// promises of a majority of the voters. It grants shares that run out after
// Config.Share. A new owner grants nothing until all shares of earlier owners
// have run out. Every interval is counted on one clock: a holder counts its
// share from when it sent the Ask, an owner counts a promise from when it sent
// the Claim.
package shares

import (
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/servers"
)

// clockDriftDivisor is the inverse of the rate difference between clocks that is
// tolerated.
const clockDriftDivisor = 20

// Config configures a Table.
type Config struct {
	Daemon  gypsumshelf.DaemonID
	Daemons []gypsumshelf.DaemonID // all daemons of the settings
	Voters  func() []gypsumshelf.DaemonID
	Members int // daemons that work with a server, all when 0
	// Limit returns a server's limit and the hash of its incarnation.
	Limit func(gypsumshelf.ServerID) (limit Amount, incarnation uint32, ok bool)
	// Running returns what this daemon has in progress and its evidence.
	Running func(gypsumshelf.ServerID) (Amount, servers.Evidence)
	// Learn takes new evidence of another daemon, Adopt the limit stated by an owner.
	Learn func(time.Time, gypsumshelf.ServerID, servers.Evidence)
	Adopt func(gypsumshelf.ServerID, Amount)
	// Report returns the pulse of a server to send with its shares, Reported
	// takes one; both are nil where pulses go to every member.
	Report   func(time.Time, gypsumshelf.ServerID) *servers.Pulse
	Reported func(now time.Time, owner gypsumshelf.DaemonID, p servers.Pulse)

	Share           time.Duration // life of a share
	PromiseTTL      time.Duration // life of a voter's promise
	RequestPeriod   time.Duration
	ClaimPeriod     time.Duration
	LivenessTimeout time.Duration // time without a message after which a daemon is taken for dead
	RunningTTL      time.Duration // time for which the work of a silent daemon counts
	RequestTimeout  time.Duration // time after which an Ask without an answer is repeated
}

// largeDeploymentDaemons is the number of daemons above which messages are sent less
// often, so that a voter stays within its share of 20 KB/s.
const largeDeploymentDaemons = 16

// DefaultConfig returns the durations used in a deployment of n daemons.
func DefaultConfig(n int) Config {
	cfg := Config{
		Share: 1500 * time.Millisecond, PromiseTTL: 1500 * time.Millisecond,
		RequestPeriod: 500 * time.Millisecond, ClaimPeriod: 500 * time.Millisecond,
		LivenessTimeout: time.Second, RunningTTL: 10 * time.Second, RequestTimeout: 300 * time.Millisecond,
	}
	if n > largeDeploymentDaemons {
		cfg.Share, cfg.PromiseTTL = 6*time.Second, 10*time.Second
		cfg.RequestPeriod, cfg.ClaimPeriod = 2*time.Second, 4*time.Second
		cfg.LivenessTimeout, cfg.Members = 3*time.Second, 12
	}
	return cfg
}

// Table is one daemon's part in the division of limits: voter, owner and holder.
type Table struct {
	cfg             Config
	voter           *voter
	owned           map[Slot]*ownership
	highestEpochs   map[Slot]uint64
	heldShares      map[gypsumshelf.ServerID]*heldShare
	pendingRequests map[gypsumshelf.DaemonID]*pendingRequest
	lastRequest     map[gypsumshelf.DaemonID]time.Time
	lastHeard       map[gypsumshelf.DaemonID]time.Time
	leftAt          map[gypsumshelf.DaemonID]time.Time // when a daemon said that it stops
	membersBySlot   map[Slot][]gypsumshelf.DaemonID
	openClaims      map[int64]time.Time // claims that may still be answered
	lastClaim       time.Time
	lastClaimRetry  time.Time
	lastStamp       int64
	stopped         bool
	outbox          []Send
}

// New returns a Table of a daemon that starts at now.
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

// leaveTTL is the time for which a daemon that said it stops is not taken
// for live. It covers the end of its process; a restart within it waits so long
// before it owns servers again.
const leaveTTL = 3 * time.Second

// Heard records a sign of life of a daemon.
func (t *Table) Heard(now time.Time, from gypsumshelf.DaemonID) { t.lastHeard[from] = now }

// Live reports whether a daemon has been heard of lately.
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

// Members returns the daemons that work with the servers of a slot, the
// preferred owner first.
func (t *Table) Members(slot Slot) []gypsumshelf.DaemonID {
	ranked, ok := t.membersBySlot[slot]
	if !ok {
		ranked = Rank(slot, t.cfg.Daemons)
		if n := t.cfg.Members; n > 0 && n < len(ranked) {
			ranked = ranked[:n]
		}
		t.membersBySlot[slot] = ranked
	}
	return ranked
}

// Relay returns the owner of a server's shares as the only daemon that gets
// its pulses.
func (t *Table) Relay(now time.Time, id gypsumshelf.ServerID) []gypsumshelf.DaemonID {
	if d, ok := t.PreferredOwner(now, SlotOf(id)); ok {
		return []gypsumshelf.DaemonID{d}
	}
	return nil
}

// Member reports whether this daemon works with a server.
func (t *Table) Member(id gypsumshelf.ServerID) bool {
	return slices.Contains(t.Members(SlotOf(id)), t.cfg.Daemon)
}

// PreferredOwner returns the daemon that should own a slot.
func (t *Table) PreferredOwner(now time.Time, slot Slot) (gypsumshelf.DaemonID, bool) {
	for _, d := range t.Members(slot) {
		if t.Live(now, d) {
			return d, true
		}
	}
	return "", false
}

// Share returns this daemon's unexpired share of a server and the server's
// limit; both are zero without a share.
func (t *Table) Share(now time.Time, id gypsumshelf.ServerID) (share, limit Amount) {
	held := t.heldShare(id)
	if !now.Before(held.expires) {
		return Amount{}, Amount{}
	}
	return held.share, held.limit
}

// Until returns the end of this daemon's share of a server.
func (t *Table) Until(id gypsumshelf.ServerID) time.Time { return t.heldShare(id).expires }

// Await states the requests that wait for a server: need is what the most
// urgent one takes, all is what all of them take.
func (t *Table) Await(id gypsumshelf.ServerID, need, all Amount) {
	h := t.heldShare(id)
	h.need, h.queued = need, all
}

// heldShare returns this daemon's share of a server's present incarnation.
func (t *Table) heldShare(id gypsumshelf.ServerID) *heldShare {
	share := t.heldShares[id]
	if _, incarnation, _ := t.cfg.Limit(id); share == nil || share.incarnation != incarnation {
		share = &heldShare{incarnation: incarnation}
		t.heldShares[id] = share
	}
	return share
}

// Tick renews claims and shares for the known servers. It returns the messages
// to send.
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

// Receive takes a message of another daemon and returns the messages to send.
func (t *Table) Receive(now time.Time, from gypsumshelf.DaemonID, payload any) []Send {
	t.Heard(now, from)
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
	case Ask:
		t.handleRequest(now, from, m)
	case Grant:
		t.handleGrant(now, from, m)
	}
}

func (t *Table) send(to gypsumshelf.DaemonID, payload any) {
	t.outbox = append(t.outbox, Send{To: to, Payload: payload})
}

// flush delivers messages to this daemon itself and returns the others.
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

// stamp returns a time of this daemon's clock that is used only once.
func (t *Table) stamp(now time.Time) int64 {
	t.lastStamp = max(t.lastStamp+1, now.UnixNano())
	return t.lastStamp
}

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
