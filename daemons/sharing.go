package daemons

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
	"gypsumshelf.example/gypsumshelf/shares"
)

// gossipPeriod is the time between two batches of forwarded heartbeats.
const gossipPeriod = 500 * time.Millisecond

// noticePeriod is the time between two notices to members of a server that
// do not know it, where pulses go only to the owner.
const noticePeriod = 2 * time.Second

// waitingWork is the work that waits for one server.
type waitingWork struct{ first, total shares.Amount }

func (r *Reducer) initServers() {
	registerHandler(r, r.handleAnnounced)
	registerHandler(r, r.handleAnnouncementMessage)
	registerHandler(r, r.handleShareMessage)
	registerHandler(r, r.handleHandOver)
	registerHandler(r, func(now time.Time, e shares.Heard) {
		if r.shares != nil {
			r.shares.Heard(now, e.From)
		}
	})
	if r.cfg.Shares.Daemon == "" {
		return
	}
	cfg := r.cfg.Shares
	cfg.Limit, cfg.Running = r.serverLimit, r.serverRunning
	cfg.Learn, cfg.Adopt = r.servers.Learn, func(id gypsumshelf.ServerID, a shares.Amount) { r.servers.Adopt(id, servers.Limit(a)) }
	if r.log != nil {
		cfg.Voters = r.voters
	}
	members := func(id gypsumshelf.ServerID) []gypsumshelf.DaemonID { return r.shares.Members(shares.SlotOf(id)) }
	gossip := servers.GossipConfig{
		Daemon: cfg.Daemon, Period: gossipPeriod, Members: members,
		Relays: func(_ time.Time, id gypsumshelf.ServerID) []gypsumshelf.DaemonID { return members(id) },
	}
	if cfg.Members > 0 {
		gossip.Many = true
		cfg.Report, cfg.Reported = r.servers.Report, r.handleReportedPulse
		gossip.Relays = func(now time.Time, id gypsumshelf.ServerID) []gypsumshelf.DaemonID { return r.shares.Relay(now, id) }
	}
	r.shares = shares.New(r.cfg.Started, cfg)
	r.gossip = servers.NewGossip(gossip)
}

// handleHandOver gives up all shares and ownership, so that other daemons need not
// wait until a voter's promise to this one has run out.
func (r *Reducer) handleHandOver(now time.Time, _ shares.HandOver) {
	r.handedOver = true
	if r.shares == nil {
		return
	}
	for _, m := range r.shares.Stop(now) {
		r.emit(m)
	}
}

// voters returns the voters of the replicated log, none before the log has
// any: the voters of the settings may have been replaced, and a majority of
// them need not meet a majority of the present ones.
func (r *Reducer) voters() []gypsumshelf.DaemonID {
	ids := r.log.replica.Members().Voters()
	voters := make([]gypsumshelf.DaemonID, len(ids))
	for i, id := range ids {
		voters[i] = id.Daemon
	}
	return voters
}

// handleReportedPulse takes a report that an owner sent with a share.
func (r *Reducer) handleReportedPulse(now time.Time, owner gypsumshelf.DaemonID, p servers.Pulse) {
	if !r.servers.Pulse(now, p) {
		r.emit(servers.Send{To: owner, Payload: servers.Want{Servers: []gypsumshelf.ServerID{p.Server}}})
	}
}

func (r *Reducer) serverLimit(id gypsumshelf.ServerID) (shares.Amount, uint32, bool) {
	s := r.servers.Server(id)
	if s == nil {
		return shares.Amount{}, 0, false
	}
	return shares.Amount(s.Limit()), shares.IncarnationHash(s.Announcement().Incarnation), true
}

func (r *Reducer) serverRunning(id gypsumshelf.ServerID) (shares.Amount, servers.Evidence) {
	s := r.servers.Server(id)
	if s == nil {
		return shares.Amount{}, servers.Evidence{}
	}
	n, tokens := s.InFlight()
	return shares.Amount{Attempts: n, Tokens: tokens}, s.Evidence()
}

func (r *Reducer) handleAnnounced(now time.Time, e servers.Announced) {
	a := e.Announcement
	if r.shares == nil || r.shares.Member(a.Server) {
		var update servers.Update
		if e.Forwarded {
			update = r.servers.AnnounceForwarded(now, a, e.Age)
		} else {
			update = r.servers.Announce(now, a)
		}
		if update.Changed {
			r.handleRestart(now, a, update.Lost)
		}
	}
	if !e.Forwarded && r.gossip != nil {
		r.sendAnnouncements(r.gossip.Heard(now, a))
	}
	r.dispatch(now)
}

func (r *Reducer) handleAnnouncementMessage(now time.Time, e servers.Received) {
	if r.shares != nil {
		r.shares.Heard(now, e.From)
	}
	switch m := e.Payload.(type) {
	case servers.Notice:
		r.handleAnnounced(now, servers.Announced{
			Announcement: m.Announcement, Forwarded: true, Age: time.Duration(m.AgeMillis) * time.Millisecond,
		})
	case servers.Pulses:
		var want servers.Want
		for _, p := range m.Items {
			if !r.servers.Pulse(now, p) {
				want.Servers = append(want.Servers, p.Server)
			}
		}
		if len(want.Servers) > 0 {
			r.emit(servers.Send{To: e.From, Payload: want})
		}
		r.dispatch(now)
	case servers.Want:
		for _, id := range m.Servers {
			if !r.sendNotice(now, e.From, id) && r.gossip != nil {
				r.sendAnnouncements(r.gossip.Wanted(now, e.From, servers.Want{Servers: []gypsumshelf.ServerID{id}}))
			}
		}
	}
}

// liveDaemons returns the number of daemons that share the servers.
func (r *Reducer) liveDaemons(now time.Time) time.Duration {
	if r.shares == nil {
		return 1
	}
	n := 0
	for _, d := range r.cfg.Shares.Daemons {
		if r.shares.Live(now, d) {
			n++
		}
	}
	if m := r.cfg.Shares.Members; m > 0 {
		n = min(n, m)
	}
	return time.Duration(max(n, 1))
}

func (r *Reducer) sendAnnouncements(all []servers.Send) {
	for _, m := range all {
		r.emit(m)
	}
}

func (r *Reducer) handleShareMessage(now time.Time, e shares.Received) {
	if r.shares == nil {
		return
	}
	for _, m := range r.shares.Receive(now, e.From, e.Payload) {
		r.emit(m)
	}
	if _, ok := e.Payload.(shares.Grant); ok {
		r.dispatch(now)
	}
}

// addWaitingWork adds a request without room to the work that waits for the server
// that it would go to if there were room everywhere.
func (r *Reducer) addWaitingWork(now time.Time, req gypsumshelf.Request, candidates []routes.Candidate) {
	if r.shares == nil {
		return
	}
	for i := range candidates {
		candidates[i].Room = !candidates[i].Busy
		if w, ok := r.waitingWork[candidates[i].Server]; ok {
			candidates[i].Tokens += w.total.Tokens
			candidates[i].Ahead += w.total.Tokens
		}
	}
	i, ok := r.cfg.Policy.Choose(now, req, candidates)
	if !ok {
		return
	}
	id := candidates[i].Server
	need := shares.Amount{Attempts: 1, Tokens: totalTokens(req)}
	if s := r.servers.Server(id); need.Tokens > s.Limit().Tokens && s.Announcement().MemoryTokens > 0 {
		need.Attempts = s.Limit().Attempts // runs alone
	}
	w := r.waitingWork[id]
	if w.first == (shares.Amount{}) {
		w.first = need
	}
	w.total = shares.Amount{Attempts: w.total.Attempts + need.Attempts, Tokens: w.total.Tokens + need.Tokens}
	r.waitingWork[id] = w
}

// tickShares sends the share messages that are due.
func (r *Reducer) tickShares(now time.Time) {
	if r.shares == nil {
		return
	}
	all := r.servers.All()
	ids := make([]gypsumshelf.ServerID, len(all))
	for i, s := range all {
		ids[i] = s.Announcement().Server
		w := r.waitingWork[ids[i]]
		r.shares.Await(ids[i], w.first, w.total)
	}
	for _, m := range r.shares.Tick(now, ids) {
		r.emit(m)
	}
	r.sendAnnouncements(r.gossip.Tick(now, r.cfg.Servers.Expiry))
	if r.cfg.Shares.Members > 0 && now.Sub(r.lastNotices) >= noticePeriod {
		r.lastNotices = now
		for _, x := range r.shares.Strangers(now, ids) {
			r.sendNotice(now, x.Daemon, x.Server)
		}
	}
}

// sendNotice sends a daemon the whole announcement of a known server.
func (r *Reducer) sendNotice(now time.Time, to gypsumshelf.DaemonID, id gypsumshelf.ServerID) bool {
	s := r.servers.Server(id)
	if s == nil {
		return false
	}
	r.emit(servers.Send{To: to, Payload: servers.Notice{
		Announcement: s.Announcement(), AgeMillis: int(now.Sub(s.Heard()).Milliseconds()),
	}})
	return true
}
