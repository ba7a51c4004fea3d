package replicas

import "time"

// pauseState tracks pauses of this node, such as those of a process that a busy
// processor did not run.
type pauseState struct {
	lastTick  time.Time
	resumedAt time.Time // end of the last pause that delays the loss of the lead
	extended  bool      // the election deadline was moved since it was last set
}

// detectPause gives the other nodes time to be heard after a pause of this node, whose
// timeouts passed while messages may have waited. Each silence is extended only once, so
// that a node that is paused again and again still notices it.
func (r *Replica) detectPause() {
	p := &r.pause
	last := p.lastTick
	p.lastTick = r.now
	if r.cfg.PauseThreshold == 0 || last.IsZero() || r.now.Sub(last) <= r.cfg.PauseThreshold {
		return
	}
	if r.state == stateLeader {
		if last.Sub(r.QuorumConfirmed()) <= r.cfg.ElectionTimeout {
			p.resumedAt = r.now
		}
		return
	}
	if !p.extended && !r.now.Before(r.electionDeadline) {
		// Nodes that were paused together would otherwise campaign together and split the votes.
		spread := time.Duration(r.rand.Int64N(int64(r.cfg.ElectionTimeout)))
		r.electionDeadline = r.now.Add(r.cfg.HeartbeatInterval + spread)
		p.extended = true
	}
}

// lostQuorum reports whether a leader has had no contact with a quorum for an election
// timeout in which it ran.
func (r *Replica) lostQuorum() bool {
	for _, since := range []time.Time{r.QuorumConfirmed(), r.leaderSince, r.pause.resumedAt} {
		if r.now.Sub(since) <= r.cfg.ElectionTimeout {
			return false
		}
	}
	return true
}
