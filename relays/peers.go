package relays

import (
	"math/rand/v2"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Peer is another entry daemon.
type Peer struct {
	Daemon     gypsumshelf.DaemonID // address at which it relays
	DataCentre string
}

const (
	// peerBackoff is the time for which others are preferred to a daemon that could not
	// relay, and to one without a path to the same service.
	peerBackoff = time.Second
	// peerListTTL is the time for which a list of daemons is used without being
	// repeated. It spans the loss of the control daemon that sent it.
	peerListTTL = time.Minute
)

// peerList is a list of daemons that one control daemon has sent.
type peerList struct {
	peers []Peer
	at    time.Time
}

// peerKey is a daemon and a service that it may not reach; without a service it is the
// daemon alone.
type peerKey struct {
	daemon  gypsumshelf.DaemonID
	service string
}

// peerTable knows the daemons that may relay. It has no clock and no I/O, and is not
// safe for concurrent use.
type peerTable struct {
	own        gypsumshelf.DaemonID
	dataCentre string
	rand       *rand.Rand
	lists      map[string]peerList // by the control daemon that sent them
	backoff    map[peerKey]time.Time
}

func newPeerTable(own gypsumshelf.DaemonID, dataCentre string, r *rand.Rand) *peerTable {
	return &peerTable{own: own, dataCentre: dataCentre, rand: r, lists: map[string]peerList{}, backoff: map[peerKey]time.Time{}}
}

// set replaces the list that a control daemon has sent.
func (p *peerTable) set(now time.Time, from string, peers []Peer) {
	p.lists[from] = peerList{peers: peers, at: now}
}

// refresh notes that a control daemon has no newer list.
func (p *peerTable) refresh(now time.Time, from string) {
	if list, ok := p.lists[from]; ok {
		list.at = now
		p.lists[from] = list
	}
}

// all returns all known daemons but this one.
func (p *peerTable) all(now time.Time) []Peer {
	var peers []Peer
	for from, list := range p.lists {
		if now.Sub(list.at) > peerListTTL {
			delete(p.lists, from)
			continue
		}
		for _, peer := range list.peers {
			if peer.Daemon != p.own && !slices.ContainsFunc(peers, func(o Peer) bool { return o.Daemon == peer.Daemon }) {
				peers = append(peers, peer)
			}
		}
	}
	return peers
}

// pick returns up to n daemons that may relay to a service, in the order in which they
// are to be asked: first one of the same data centre, then one of another, since a whole
// data centre may have lost the same path. Daemons in backoff come last. Among equal
// ones the choice is random, which spreads the work.
func (p *peerTable) pick(now time.Time, service string, n int) []Peer {
	peers := p.all(now)
	p.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b Peer) int { return p.penalty(now, a, service) - p.penalty(now, b, service) })
	if len(peers) > 2 && peers[0].DataCentre == p.dataCentre {
		other := slices.IndexFunc(peers, func(o Peer) bool { return o.DataCentre != p.dataCentre && !p.inBackoff(now, o, service) })
		if other > 1 {
			peer := peers[other]
			peers = slices.Insert(slices.Delete(peers, other, other+1), 1, peer)
		}
	}
	return peers[:min(n, len(peers))]
}

func (p *peerTable) penalty(now time.Time, peer Peer, service string) int {
	penalty := 0
	if peer.DataCentre != p.dataCentre {
		penalty++
	}
	if p.inBackoff(now, peer, service) {
		penalty += 2
	}
	return penalty
}

func (p *peerTable) inBackoff(now time.Time, peer Peer, service string) bool {
	return now.Before(p.backoff[peerKey{daemon: peer.Daemon}]) || now.Before(p.backoff[peerKey{peer.Daemon, service}])
}

// recordFailure notes that a daemon could not relay; with a service, only to that one.
func (p *peerTable) recordFailure(now time.Time, peer Peer, service string) {
	for key, until := range p.backoff {
		if now.After(until) {
			delete(p.backoff, key)
		}
	}
	p.backoff[peerKey{peer.Daemon, service}] = now.Add(peerBackoff)
}

// recordSuccess notes that a daemon has relayed to a service.
func (p *peerTable) recordSuccess(peer Peer, service string) {
	delete(p.backoff, peerKey{daemon: peer.Daemon})
	delete(p.backoff, peerKey{peer.Daemon, service})
}
