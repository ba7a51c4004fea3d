package replicas

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// receiveEntry appends one entry to the lone replica as the leader of a term.
func receiveEntry(r *Replica, now time.Time, from NodeID, term, prev, prevTerm uint64) {
	receive(r, now, from, term, AppendRequest{Prev: prev, PrevTerm: prevTerm, Entries: []Entry{{Index: prev + 1, Term: term}}})
}

// syncOutput takes the output and completes its write.
func syncOutput(r *Replica, now time.Time) {
	if p := r.Take().Persist; p != nil {
		r.Synced(now, p.Sequence)
		r.Take()
	}
}

// Guards against entries that are counted as stored although what was synced
// under their index was something else.
func TestReplacedEntriesAreNotReportedAsStored(t *testing.T) {
	for name, prepare := range map[string]func(r *Replica, now time.Time, others [2]NodeID){
		"replaced after its sync": func(r *Replica, now time.Time, others [2]NodeID) {
			receiveEntry(r, now, others[0], 2, 1, 1)
			syncOutput(r, now)
			receiveEntry(r, now, others[1], 3, 1, 1)
		},
		"replaced during its sync": func(r *Replica, now time.Time, others [2]NodeID) {
			receiveEntry(r, now, others[0], 2, 1, 1)
			p := r.Take().Persist
			receiveEntry(r, now, others[1], 3, 1, 1)
			r.Synced(now, p.Sequence)
		},
		"replaced by a snapshot": func(r *Replica, now time.Time, others [2]NodeID) {
			receiveEntry(r, now, others[0], 2, 1, 1)
			syncOutput(r, now)
			receive(r, now, others[1], 3, SnapshotChunk{Snapshot: Snapshot{Index: 2, Term: 3, Members: r.Members()}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, now, others := newTestVoter(t)
			prepare(r, now, others)
			r.Take()
			receive(r, now, others[1], 3, AppendRequest{Prev: 2, PrevTerm: 3})
			for _, a := range bodiesOfType[AppendResponse](r.Take().Messages) {
				if a.OK && a.Match >= 2 {
					t.Fatal("entry 2 of term 3 is reported as stored before its sync")
				}
			}
		})
	}
}

// Guards against acknowledged entries that a late snapshot removes.
func TestSnapshotKeepsLaterEntries(t *testing.T) {
	r, now, others := newTestVoter(t)
	for i := uint64(1); i < 5; i++ {
		receiveEntry(r, now, others[0], 2, i, min(i, 2))
	}
	syncOutput(r, now)
	receive(r, now, others[0], 2, SnapshotChunk{Snapshot: Snapshot{Index: 3, Term: 2, Members: r.Members()}})
	out := r.Take()
	if r.LastIndex() != 5 || len(out.Persist.Entries) != 2 {
		t.Fatalf("last entry %d, %d entries stored beside the snapshot, want 5 and 2", r.LastIndex(), len(out.Persist.Entries))
	}
}

// Guards against a leader elected with its own vote not stored.
func TestOwnVoteWaitsForItsOwnSync(t *testing.T) {
	r, now, others := newTestVoter(t)
	receiveEntry(r, now, others[0], 1, 1, 1)
	earlier := r.Take().Persist
	now = now.Add(2 * testElection)
	r.Tick(now)
	receive(r, now, others[0], 1, VoteResponse{Pre: true, Asked: 2, Granted: true})
	r.Take()
	receive(r, now, others[0], 2, VoteResponse{Asked: 2, Granted: true})
	r.Synced(now, earlier.Sequence)
	if r.IsLeader() {
		t.Fatal("leads after the sync of an earlier write")
	}
}

// Guards against a commit that a later leader can undo: an entry of an earlier
// term on a majority can still be replaced.
func TestEarlierTermCommitsOnlyWithCurrentTerm(t *testing.T) {
	r, now, others := newTestVoter(t)
	receiveEntry(r, now, others[0], 1, 1, 1)
	syncOutput(r, now)
	now = now.Add(2 * testElection)
	r.Tick(now)
	receive(r, now, others[0], 1, VoteResponse{Pre: true, Asked: 2, Granted: true})
	r.Synced(now, r.Take().Persist.Sequence)
	receive(r, now, others[0], 2, VoteResponse{Asked: 2, Granted: true})
	syncOutput(r, now)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2})
	if r.CommitIndex() != 1 {
		t.Fatalf("commit index %d with only an entry of term 1 on a majority", r.CommitIndex())
	}
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 3})
	if r.CommitIndex() != 3 {
		t.Fatalf("commit index %d with an entry of term 2 on a majority, want 3", r.CommitIndex())
	}
}

// Guards against a candidate that deposes a leader which has a quorum.
func TestVoterInContactWithLeaderIgnoresCandidates(t *testing.T) {
	r, now, others := newTestVoter(t)
	receive(r, now, others[0], 2, AppendRequest{Prev: 1, PrevTerm: 1})
	receive(r, now.Add(testElection/2), others[1], 9, VoteRequest{LastIndex: 9, LastTerm: 9})
	if r.Term() != 2 {
		t.Fatalf("term %d, want 2", r.Term())
	}
}

// Guards against contact counted for a leader by its own earlier process: a
// refusal must not echo the time of the request that it refuses.
func TestRefusalOfOldTermEchoesNoTime(t *testing.T) {
	r, now, others := newTestVoter(t)
	receive(r, now, others[0], 5, AppendRequest{Prev: 1, PrevTerm: 1})
	syncOutput(r, now)
	receive(r, now, others[1], 3, AppendRequest{Prev: 1, PrevTerm: 1, Sent: time.Hour})
	out := r.Take()
	assertSent[AppendResponse](t, out, 1, "after a request of an old term")
	if a := bodiesOfType[AppendResponse](out.Messages)[0]; a.OK || a.Sent != 0 {
		t.Fatalf("answer %+v", a)
	}
}

// Guards against a stamp or a read that is confirmed by contact from before it
// arrived.
func TestStampWaitsForLaterContact(t *testing.T) {
	r, now, others := newTestLeader(t)
	syncOutput(r, now)
	lead := now.Sub(r.clockStart)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: lead})
	now = now.Add(testElection / 2)
	receive(r, now, others[1], 2, AppendResponse{OK: true, Match: 2, Sent: lead, Stamp: Stamp{Session: 9, At: time.Hour}})
	if got := r.progress[others[1]].confirmation; got != (Confirmation{}) {
		t.Fatalf("confirmed %+v by an answer to an earlier request", got)
	}
	if r.Confirmed(now) {
		t.Fatal("a read is confirmed by an answer to an earlier request")
	}
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: lead + testElection/2})
	if !r.Confirmed(now) {
		t.Fatal("a read is not confirmed by contact after it")
	}
	if got := r.progress[others[1]].confirmation; got.Asked.At != time.Hour || got.Commit != 2 {
		t.Fatalf("confirmed %+v by contact after the stamp", got)
	}
}

// Guards against a member counted with entries from before its restart.
func TestNewSessionResetsProgress(t *testing.T) {
	r, now, others := newTestLeader(t)
	syncOutput(r, now)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2})
	r.Receive(now, Message{From: others[0], To: r.ID(), Session: 10, Group: "g", Term: 2, Body: AppendResponse{Prev: 2, Hint: 1}})
	if p := r.progress[others[0]]; p.match != 0 || p.next != 2 {
		t.Fatalf("match %d, next %d after a restart, want 0 and 2", p.match, p.next)
	}
}

// Guards against a vote given before peers could say that the disk is old.
func TestRestartedVoterVerifiesStorageBeforeVoting(t *testing.T) {
	r, now, others := newTestVoter(t)
	again := New(Config{
		ID: r.ID(), Durable: true, Session: 2, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
		Recovered: Recovered{Hard: r.hardState, Snapshot: r.snapshot},
	})
	again.Tick(now)
	receive(again, now, others[0], 5, VoteRequest{LastIndex: 9, LastTerm: 5})
	syncOutput(again, now)
	if again.Term() != 1 {
		t.Fatal("votes before it has verified its storage")
	}
	for _, id := range others {
		receive(again, now, id, 1, VerifyResponse{Asked: 2})
	}
	again.Tick(now)
	receive(again, now, others[0], 5, VoteRequest{LastIndex: 9, LastTerm: 5})
	out := again.Take()
	again.Synced(now, out.Persist.Sequence)
	assertSent[VoteResponse](t, again.Take(), 1, "after it has verified its storage")
}

// Guards against storage that is discarded twice.
func TestRenewIsRequestedOnce(t *testing.T) {
	r, now, others := newTestVoter(t)
	again := New(Config{ID: r.ID(), Durable: true, Session: 2, Recovered: Recovered{Hard: r.hardState, Snapshot: r.snapshot}})
	again.Tick(now)
	receive(again, now, others[0], 1, VerifyResponse{Asked: 2, Mark: Mark{Term: 1, Index: 2}})
	if first, second := again.Take().Renew, again.Take().Renew; !first || second {
		t.Fatalf("renewal asked: first %t, then %t", first, second)
	}
}

// Guards against a second group beside one that lost its founders' disks.
func TestBootstrapRequiresFreshDaemons(t *testing.T) {
	for name, tc := range map[string]struct {
		former, grouped, founds bool
	}{
		"all fresh":                    {founds: true},
		"own disk was discarded":       {former: true},
		"another daemon knows a group": {grouped: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			self := NodeID{Daemon: "a", Incarnation: "1"}
			r := New(Config{
				ID: self, Durable: true, Session: 1, Recovered: Recovered{FormerMember: tc.former},
				Peers: []gypsumshelf.DaemonID{"b", "c"}, Founders: []gypsumshelf.DaemonID{"a", "b"},
			})
			r.Tick(now)
			r.Receive(now, Message{From: NodeID{Daemon: "b", Incarnation: "1"}, To: self, Body: JoinResponse{Asked: 1, Fresh: true, Durable: true}})
			if tc.grouped {
				r.Receive(now, Message{From: NodeID{Daemon: "c", Incarnation: "1"}, To: self, Body: JoinResponse{Asked: 1}})
			}
			r.Tick(now.Add(time.Second))
			if founded := len(r.Members()) > 0; founded != tc.founds {
				t.Fatalf("group founded: %t, want %t", founded, tc.founds)
			}
		})
	}
}
