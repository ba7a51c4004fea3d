package shares

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// minRequestInterval is the shortest time between two share requests to one owner
// while a need is unmet.
const minRequestInterval = 20 * time.Millisecond

// requestShares asks the owners of all known servers to renew this daemon's
// shares. At most one request per owner is outstanding until it times out.
func (t *Table) requestShares(now time.Time, known []gypsumshelf.ServerID) {
	if t.stopped {
		return
	}
	byOwner := map[gypsumshelf.DaemonID][]gypsumshelf.ServerID{}
	var order []gypsumshelf.DaemonID
	for _, id := range known {
		if !t.IsMember(id) {
			continue
		}
		d, ok := t.PreferredOwner(now, SlotOf(id))
		if !ok {
			continue
		}
		if byOwner[d] == nil {
			order = append(order, d)
		}
		byOwner[d] = append(byOwner[d], id)
	}
	for _, d := range order {
		t.requestFromOwner(now, d, byOwner[d])
	}
}

func (t *Table) requestFromOwner(now time.Time, d gypsumshelf.DaemonID, ids []gypsumshelf.ServerID) {
	last := t.pendingRequests[d]
	if last != nil && (now.Sub(last.sentAt) < minRequestInterval || (last.awaitingGrant && now.Sub(last.sentAt) < t.cfg.RequestTimeout)) {
		return
	}
	due := now.Sub(t.lastRequest[d]) >= t.cfg.RequestPeriod
	request := Request{}
	for _, id := range ids {
		held := t.heldShare(id)
		if due || (held.need != (Amount{}) && !t.needCovered(now, id, held)) {
			request.Items = append(request.Items, t.requestItem(now, id, held))
		}
	}
	if len(request.Items) == 0 {
		return
	}
	if due {
		t.lastRequest[d] = now
	}
	request.Sent = t.stamp(now)
	t.pendingRequests[d] = &pendingRequest{sent: request.Sent, sentAt: now, awaitingGrant: true}
	t.send(d, request)
}

// needCovered reports whether the unexpired share has room for the running work
// and the need.
func (t *Table) needCovered(now time.Time, id gypsumshelf.ServerID, held *heldShare) bool {
	running, _ := t.cfg.Running(id)
	return now.Before(held.expires) && running.Attempts+held.need.Attempts <= held.share.Attempts &&
		running.Tokens+held.need.Tokens <= held.share.Tokens
}

func (t *Table) requestItem(now time.Time, id gypsumshelf.ServerID, held *heldShare) RequestItem {
	running, evidence := t.cfg.Running(id)
	item := held.newRequestItem(running)
	item.Server, item.Incarnation, item.Evidence = id, held.incarnation, evidence
	item.Held, _ = t.Share(now, id)
	return item
}

// handleRequest answers a share request for the servers that this daemon owns.
func (t *Table) handleRequest(now time.Time, from gypsumshelf.DaemonID, m Request) {
	grant := Grant{Sent: m.Sent}
	for _, item := range m.Items {
		owned := t.owned[SlotOf(item.Server)]
		limit, incarnation, ok := t.cfg.Limit(item.Server)
		if owned == nil || !ok || incarnation != item.Incarnation || !owned.mayGrant(now, t.cfg.Voters()) {
			continue
		}
		allocations := owned.allocations[item.Server]
		if allocations == nil {
			allocations = newServerAllocations(incarnation)
			owned.allocations[item.Server] = allocations
		}
		if allocations.incarnation != incarnation {
			allocations.resetIncarnation(incarnation)
		}
		allocations.dropSilentDaemons(now)
		allocation := allocations.allocation(from)
		if m.Sent <= allocation.lastSent {
			continue
		}
		if from != t.cfg.Daemon {
			t.cfg.ApplyEvidence(now, item.Server, allocation.newEvidence(item.Evidence))
			limit, _, _ = t.cfg.Limit(item.Server)
		}
		share := allocations.allocate(now, allocation, m.Sent, item, limit, t.cfg)
		granted := GrantItem{
			Server: item.Server, Incarnation: incarnation, Epoch: owned.epoch, Share: share, Limit: limit,
		}
		if t.cfg.PulseOf != nil {
			granted.Pulse = t.cfg.PulseOf(now, item.Server)
		}
		grant.Items = append(grant.Items, granted)
	}
	t.send(from, grant)
}

// handleGrant stores the shares granted in answer to the last share request. Grants
// for older requests are ignored, since the owner no longer accounts for them.
func (t *Table) handleGrant(now time.Time, from gypsumshelf.DaemonID, m Grant) {
	request := t.pendingRequests[from]
	if t.stopped || request == nil || !request.awaitingGrant || request.sent != m.Sent {
		return
	}
	request.awaitingGrant = false
	for _, item := range m.Items {
		held := t.heldShare(item.Server)
		if held.incarnation != item.Incarnation || item.Epoch < held.ownerEpoch {
			continue
		}
		held.share, held.limit, held.ownerEpoch = item.Share, item.Limit, item.Epoch
		held.expires = request.sentAt.Add(t.cfg.ShareTTL - t.cfg.ShareTTL/clockDriftDivisor)
		if from == t.cfg.Daemon {
			continue
		}
		t.cfg.ApplyLimit(item.Server, item.Limit)
		if t.cfg.ApplyPulse != nil && item.Pulse != nil {
			pulse := *item.Pulse
			pulse.Server = item.Server
			t.cfg.ApplyPulse(now, from, pulse)
		}
	}
}

// UnawareMember is a live member of a server's slot that has not asked for a
// share of the server, and so has not heard of it.
type UnawareMember struct {
	Daemon gypsumshelf.DaemonID
	Server gypsumshelf.ServerID
}

// UnawareMembers returns the unaware members of the slots of the known servers
// that this daemon owns.
func (t *Table) UnawareMembers(now time.Time, known []gypsumshelf.ServerID) []UnawareMember {
	var all []UnawareMember
	for _, id := range known {
		slot := SlotOf(id)
		owned := t.owned[slot]
		if owned == nil {
			continue
		}
		allocations := owned.allocations[id]
		for _, d := range t.Members(slot) {
			if d != t.cfg.Daemon && t.Live(now, d) && (allocations == nil || allocations.byDaemon[d] == nil) {
				all = append(all, UnawareMember{Daemon: d, Server: id})
			}
		}
	}
	return all
}
