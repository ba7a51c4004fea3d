package daemons

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
	"gypsumshelf.example/gypsumshelf/shares"
)

// gossipPeriod is the interval between batches of forwarded pulses, the compact
// form of announcements.
const gossipPeriod = 500 * time.Millisecond

// noticePeriod is the interval at which the owner of a server's shares notifies
// member daemons that do not know the server. It applies where pulses go to the
// owner only, so that the members hear of the server from nobody else.
const noticePeriod = 2 * time.Second

// waitingWork is what the waiting requests need of one server: the first of
// them, and all together.
type waitingWork struct{ first, total shares.Amount }

// initServers registers the handlers for backend servers and, if daemons divide
// their limits, creates the tables of shares and gossip.
func (r *Reducer) initServers() {
	registerHandler(r, r.handleAnnounced)
	registerHandler(r, r.handleAnnouncementMessage)
	registerHandler(r, r.handleShareMessage)
	registerHandler(r, r.handleHandOver)
	registerHandler(r, func(now time.Time, e shares.DaemonHeard) {
		if r.shares != nil {
			r.shares.RecordMessage(now, e.From)
		}
	})
	if r.cfg.Shares.Daemon == "" {
		return
	}
	cfg := r.cfg.Shares
	cfg.Limit, cfg.Running = r.serverLimit, r.serverRunning
	cfg.ApplyEvidence, cfg.ApplyLimit = r.servers.ApplyEvidence, func(id gypsumshelf.ServerID, a shares.Amount) { r.servers.ApplyLimit(id, servers.Limit(a)) }
	if r.log != nil {
		cfg.Voters = r.voters
	}
	members := func(id gypsumshelf.ServerID) []gypsumshelf.DaemonID { return r.shares.Members(shares.SlotOf(id)) }
	gossip := servers.GossipConfig{
		Daemon: cfg.Daemon, Period: gossipPeriod, Members: members,
		PulseRecipients: func(_ time.Time, id gypsumshelf.ServerID) []gypsumshelf.DaemonID { return members(id) },
	}
	if cfg.MembersPerSlot > 0 {
		gossip.LargeDeployment = true
		cfg.PulseOf, cfg.ApplyPulse = r.servers.PulseOf, r.handleReportedPulse
		gossip.PulseRecipients = func(now time.Time, id gypsumshelf.ServerID) []gypsumshelf.DaemonID {
			return r.shares.PulseRecipients(now, id)
		}
	}
	r.shares = shares.New(r.cfg.Started, cfg)
	r.gossip = servers.NewGossip(gossip)
}

// handleHandOver gives up all shares and the ownership of all servers, so that
// other daemons need not wait until the voters' promises to this one expire.
func (r *Reducer) handleHandOver(now time.Time, _ shares.HandOver) {
	r.handedOver = true
	if r.shares == nil {
		return
	}
	for _, m := range r.shares.Stop(now) {
		r.emit(m)
	}
}

// voters returns the voters of the replicated log, or none before the log names
// any. It never falls back to the voters of the settings: those may have been
// replaced, and a majority of them need not intersect a majority of the current
// ones.
func (r *Reducer) voters() []gypsumshelf.DaemonID {
	ids := r.log.replica.Members().Voters()
	voters := make([]gypsumshelf.DaemonID, len(ids))
	for i, id := range ids {
		voters[i] = id.Daemon
	}
	return voters
}

// handleReportedPulse applies a pulse that an owner sent with a share. If the
// server is unknown, it asks the owner for the full announcement.
func (r *Reducer) handleReportedPulse(now time.Time, owner gypsumshelf.DaemonID, p servers.Pulse) {
	if !r.servers.ApplyPulse(now, p) {
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
	if r.shares == nil || r.shares.IsMember(a.Server) {
		var update servers.Update
		if e.Forwarded {
			update = r.servers.AnnounceForwarded(now, a, e.Age)
		} else {
			update = r.servers.Announce(now, a)
		}
		if update.Changed {
			r.handleRestart(now, a, update.LostAttempts)
		}
	}
	if !e.Forwarded && r.gossip != nil {
		r.sendAnnouncements(r.gossip.RecordAnnouncement(now, a))
	}
	r.dispatch(now)
}

func (r *Reducer) handleAnnouncementMessage(now time.Time, e servers.Received) {
	if r.shares != nil {
		r.shares.RecordMessage(now, e.From)
	}
	switch m := e.Payload.(type) {
	case servers.Notice:
		r.handleAnnounced(now, servers.Announced{
			Announcement: m.Announcement, Forwarded: true, Age: time.Duration(m.AgeMillis) * time.Millisecond,
		})
	case servers.Pulses:
		var want servers.Want
		for _, p := range m.Items {
			if !r.servers.ApplyPulse(now, p) {
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
				r.sendAnnouncements(r.gossip.AnswerWant(now, e.From, servers.Want{Servers: []gypsumshelf.ServerID{id}}))
			}
		}
	}
}

// liveDaemons returns the number of live daemons that share a server, at least
// 1. It is a Duration so that the caller can multiply a time by it.
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
	if m := r.cfg.Shares.MembersPerSlot; m > 0 {
		n = min(n, m)
	}
	return time.Duration(max(n, 1))
}

func (r *Reducer) sendAnnouncements(messages []servers.Send) {
	for _, m := range messages {
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

// addWaitingWork counts a request that has to wait as work for the server that
// the policy would choose if this daemon's shares had room everywhere.
func (r *Reducer) addWaitingWork(now time.Time, req gypsumshelf.Request, candidates []routes.Candidate) {
	if r.shares == nil {
		return
	}
	for i := range candidates {
		candidates[i].HasRoom = !candidates[i].Busy
		if w, ok := r.waitingWork[candidates[i].Server]; ok {
			candidates[i].Tokens += w.total.Tokens
			candidates[i].TokensAhead += w.total.Tokens
		}
	}
	i, ok := r.cfg.Policy.Choose(now, req, candidates)
	if !ok {
		return
	}
	id := candidates[i].Server
	need := shares.Amount{Attempts: 1, Tokens: totalTokens(req)}
	if s := r.servers.Server(id); need.Tokens > s.Limit().Tokens && s.Announcement().MemoryTokens > 0 {
		need.Attempts = s.Limit().Attempts // runs without other attempts
	}
	w := r.waitingWork[id]
	if w.first == (shares.Amount{}) {
		w.first = need
	}
	w.total = shares.Amount{Attempts: w.total.Attempts + need.Attempts, Tokens: w.total.Tokens + need.Tokens}
	r.waitingWork[id] = w
}

// tickShares sends the share messages, pulses and notices that are due.
func (r *Reducer) tickShares(now time.Time) {
	if r.shares == nil {
		return
	}
	all := r.servers.All()
	ids := make([]gypsumshelf.ServerID, len(all))
	for i, s := range all {
		ids[i] = s.Announcement().Server
		w := r.waitingWork[ids[i]]
		r.shares.SetDemand(ids[i], w.first, w.total)
	}
	for _, m := range r.shares.Tick(now, ids) {
		r.emit(m)
	}
	r.sendAnnouncements(r.gossip.Tick(now, r.cfg.Servers.Expiry))
	if r.cfg.Shares.MembersPerSlot > 0 && now.Sub(r.lastNotices) >= noticePeriod {
		r.lastNotices = now
		for _, x := range r.shares.UnawareMembers(now, ids) {
			r.sendNotice(now, x.Daemon, x.Server)
		}
	}
}

// sendNotice sends a daemon the full announcement of a server. It returns false
// if the server is unknown.
func (r *Reducer) sendNotice(now time.Time, to gypsumshelf.DaemonID, id gypsumshelf.ServerID) bool {
	s := r.servers.Server(id)
	if s == nil {
		return false
	}
	r.emit(servers.Send{To: to, Payload: servers.Notice{
		Announcement: s.Announcement(), AgeMillis: int(now.Sub(s.LastHeard()).Milliseconds()),
	}})
	return true
}
