package replicas

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// receiveEntry passes an AppendRequest with one entry to the replica, sent by the
// leader of a term.
func receiveEntry(r *Replica, now time.Time, from NodeID, term, prev, prevTerm uint64) {
	receive(r, now, from, term, AppendRequest{Prev: prev, PrevTerm: prevTerm, Entries: []Entry{{Index: prev + 1, Term: term}}})
}

// syncOutput takes the output and reports its write as synced.
func syncOutput(r *Replica, now time.Time) {
	if p := r.TakeOutput().Persist; p != nil {
		r.Synced(now, p.Sequence)
		r.TakeOutput()
	}
}

// Guards against an entry that is acknowledged although another entry of the same
// index was synced.
func TestReplacedEntriesAreNotReportedAsStored(t *testing.T) {
	for name, prepare := range map[string]func(r *Replica, now time.Time, others [2]NodeID){
		"replaced after its sync": func(r *Replica, now time.Time, others [2]NodeID) {
			receiveEntry(r, now, others[0], 2, 1, 1)
			syncOutput(r, now)
			receiveEntry(r, now, others[1], 3, 1, 1)
		},
		"replaced during its sync": func(r *Replica, now time.Time, others [2]NodeID) {
			receiveEntry(r, now, others[0], 2, 1, 1)
			p := r.TakeOutput().Persist
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
			r.TakeOutput()
			receive(r, now, others[1], 3, AppendRequest{Prev: 2, PrevTerm: 3})
			for _, a := range bodiesOfType[AppendResponse](r.TakeOutput().Messages) {
				if a.OK && a.Match >= 2 {
					t.Fatal("entry 2 of term 3 is reported as stored before its sync")
				}
			}
		})
	}
}

// Guards against a delayed snapshot that removes acknowledged entries after it.
func TestSnapshotKeepsLaterEntries(t *testing.T) {
	r, now, others := newTestVoter(t)
	for i := uint64(1); i < 5; i++ {
		receiveEntry(r, now, others[0], 2, i, min(i, 2))
	}
	syncOutput(r, now)
	receive(r, now, others[0], 2, SnapshotChunk{Snapshot: Snapshot{Index: 3, Term: 2, Members: r.Members()}})
	out := r.TakeOutput()
	if r.LastIndex() != 5 || len(out.Persist.Entries) != 2 {
		t.Fatalf("last entry %d, %d entries stored beside the snapshot, want 5 and 2", r.LastIndex(), len(out.Persist.Entries))
	}
}

// Guards against a candidate whose own vote counts after the sync of an earlier
// write.
func TestOwnVoteWaitsForItsOwnSync(t *testing.T) {
	r, now, others := newTestVoter(t)
	receiveEntry(r, now, others[0], 1, 1, 1)
	earlier := r.TakeOutput().Persist
	now = now.Add(2 * testElectionTimeout)
	r.Tick(now)
	receive(r, now, others[0], 1, VoteResponse{Pre: true, Asked: 2, Granted: true})
	r.TakeOutput()
	receive(r, now, others[0], 2, VoteResponse{Asked: 2, Granted: true})
	r.Synced(now, earlier.Sequence)
	if r.IsLeader() {
		t.Fatal("replica became leader after the sync of an earlier write only")
	}
}

// Guards against a commit that a later leader can undo: an entry of an earlier
// term can still be replaced although a majority has it.
func TestEarlierTermCommitsOnlyWithCurrentTerm(t *testing.T) {
	r, now, others := newTestVoter(t)
	receiveEntry(r, now, others[0], 1, 1, 1)
	syncOutput(r, now)
	now = now.Add(2 * testElectionTimeout)
	r.Tick(now)
	receive(r, now, others[0], 1, VoteResponse{Pre: true, Asked: 2, Granted: true})
	r.Synced(now, r.TakeOutput().Persist.Sequence)
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
	receive(r, now.Add(testElectionTimeout/2), others[1], 9, VoteRequest{LastIndex: 9, LastTerm: 9})
	if r.Term() != 2 {
		t.Fatalf("term %d, want 2", r.Term())
	}
}

// Guards against a leader that counts a response to its own earlier process as
// contact: the rejection of an old term must not echo the time of the request.
func TestRefusalOfOldTermEchoesNoTime(t *testing.T) {
	r, now, others := newTestVoter(t)
	receive(r, now, others[0], 5, AppendRequest{Prev: 1, PrevTerm: 1})
	syncOutput(r, now)
	receive(r, now, others[1], 3, AppendRequest{Prev: 1, PrevTerm: 1, Sent: time.Hour})
	out := r.TakeOutput()
	assertSent[AppendResponse](t, out, 1, "after a request of an old term")
	if a := bodiesOfType[AppendResponse](out.Messages)[0]; a.OK || a.Sent != 0 {
		t.Fatalf("response is %+v, want a rejection without an echoed time", a)
	}
}

// Guards against a stamp or a read that is confirmed by contact that took place
// before it arrived.
func TestStampWaitsForLaterContact(t *testing.T) {
	r, now, others := newTestLeader(t)
	syncOutput(r, now)
	lead := now.Sub(r.clockStart)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: lead})
	now = now.Add(testElectionTimeout / 2)
	receive(r, now, others[1], 2, AppendResponse{OK: true, Match: 2, Sent: lead, Stamp: Stamp{Session: 9, At: time.Hour}})
	if got := r.progress[others[1]].confirmation; got != (Confirmation{}) {
		t.Fatalf("response to an earlier request confirmed stamp %+v", got)
	}
	if r.CanServeRead(now) {
		t.Fatal("response to an earlier request confirmed a read")
	}
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: lead + testElectionTimeout/2})
	if !r.CanServeRead(now) {
		t.Fatal("contact after a read did not confirm it")
	}
	if got := r.progress[others[1]].confirmation; got.Asked.At != time.Hour || got.Commit != 2 {
		t.Fatalf("confirmation after contact is %+v, want the stamp at 1h and commit index 2", got)
	}
}

// Guards against a restarted member that is counted with entries it may have lost.
func TestNewSessionResetsProgress(t *testing.T) {
	r, now, others := newTestLeader(t)
	syncOutput(r, now)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2})
	r.Receive(now, Message{From: others[0], To: r.ID(), Session: 10, Group: "g", Term: 2, Body: AppendResponse{Prev: 2, Hint: 1}})
	if p := r.progress[others[0]]; p.match != 0 || p.next != 2 {
		t.Fatalf("match %d, next %d after a restart, want 0 and 2", p.match, p.next)
	}
}

// Guards against a restarted node that votes before its peers have confirmed that
// its storage is complete.
func TestRestartedVoterVerifiesStorageBeforeVoting(t *testing.T) {
	r, now, others := newTestVoter(t)
	restarted := New(Config{
		ID: r.ID(), Durable: true, Session: 2, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval,
		Recovered: Recovered{HardState: r.hardState, Snapshot: r.snapshot},
	})
	restarted.Tick(now)
	receive(restarted, now, others[0], 5, VoteRequest{LastIndex: 9, LastTerm: 5})
	syncOutput(restarted, now)
	if restarted.Term() != 1 {
		t.Fatal("replica voted before it verified its storage")
	}
	for _, id := range others {
		receive(restarted, now, id, 1, VerifyResponse{Asked: 2})
	}
	restarted.Tick(now)
	receive(restarted, now, others[0], 5, VoteRequest{LastIndex: 9, LastTerm: 5})
	out := restarted.TakeOutput()
	restarted.Synced(now, out.Persist.Sequence)
	assertSent[VoteResponse](t, restarted.TakeOutput(), 1, "after it has verified its storage")
}

// Guards against storage that is discarded twice for one detection.
func TestRenewIsRequestedOnce(t *testing.T) {
	r, now, others := newTestVoter(t)
	restarted := New(Config{ID: r.ID(), Durable: true, Session: 2, Recovered: Recovered{HardState: r.hardState, Snapshot: r.snapshot}})
	restarted.Tick(now)
	receive(restarted, now, others[0], 1, VerifyResponse{Asked: 2, Mark: Mark{Term: 1, Index: 2}})
	if first, second := restarted.TakeOutput().Renew, restarted.TakeOutput().Renew; !first || second {
		t.Fatalf("renewal requested: first %t, then %t, want true, then false", first, second)
	}
}

// Guards against a second group created beside an existing one whose initial
// voters lost their disks.
func TestBootstrapRequiresFreshDaemons(t *testing.T) {
	for name, tc := range map[string]struct {
		formerMember, groupExists, wantCreated bool
	}{
		"all fresh":                    {wantCreated: true},
		"own disk was discarded":       {formerMember: true},
		"another daemon knows a group": {groupExists: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			self := NodeID{Daemon: "a", Incarnation: "1"}
			r := New(Config{
				ID: self, Durable: true, Session: 1, Recovered: Recovered{FormerMember: tc.formerMember},
				Peers: []gypsumshelf.DaemonID{"b", "c"}, InitialVoters: []gypsumshelf.DaemonID{"a", "b"},
			})
			r.Tick(now)
			r.Receive(now, Message{From: NodeID{Daemon: "b", Incarnation: "1"}, To: self, Body: JoinResponse{Asked: 1, Fresh: true, Durable: true}})
			if tc.groupExists {
				r.Receive(now, Message{From: NodeID{Daemon: "c", Incarnation: "1"}, To: self, Body: JoinResponse{Asked: 1}})
			}
			r.Tick(now.Add(time.Second))
			if created := len(r.Members()) > 0; created != tc.wantCreated {
				t.Fatalf("group created: %t, want %t", created, tc.wantCreated)
			}
		})
	}
}

// Guards against a voter that discards its storage after a power loss, because a leader
// took the term of a response for synced. Voters of the build before respond too early.
func TestMarkHoldsOnlySyncedState(t *testing.T) {
	for name, tc := range map[string]struct {
		match uint64
		want  Mark
	}{
		"entry of the term":        {match: 2, want: Mark{Term: 2, Index: 2}},
		"entry of the term before": {match: 1, want: Mark{Term: 1, Index: 1}},
		"no entry":                 {},
	} {
		t.Run(name, func(t *testing.T) {
			r, now, others := newTestLeader(t)
			receive(r, now, others[1], 2, AppendResponse{OK: true, Match: tc.match})
			if got := r.peerMarks[others[1]]; got != tc.want {
				t.Fatalf("mark is %+v, want %+v", got, tc.want)
			}
		})
	}
}

// Guards against a restarted node, or one that opened its storage again, that takes the
// confirmation of a stamp from its earlier session for its own, and the other way round.
func TestConfirmationBelongsToOneSession(t *testing.T) {
	t.Run("member", func(t *testing.T) {
		r, now, others := newTestVoter(t)
		receive(r, now, others[0], 2, AppendRequest{Prev: 1, PrevTerm: 1, Confirmed: Confirmation{Asked: Stamp{Session: 5, At: time.Hour}, Commit: 1}})
		if asked, _ := r.Confirmation(); !asked.IsZero() {
			t.Fatalf("the confirmation for an earlier session is taken for %s", asked)
		}
		receive(r, now, others[0], 2, AppendRequest{Prev: 1, PrevTerm: 1, Confirmed: Confirmation{Asked: Stamp{Session: 1, At: time.Hour}, Commit: 1}})
		if asked, _ := r.Confirmation(); !asked.Equal(r.clockStart.Add(time.Hour)) {
			t.Fatalf("confirmed time is %s, want the stamp of this session", asked)
		}
	})
	t.Run("leader", func(t *testing.T) {
		r, now, others := newTestLeaderWithCommit(t)
		respond := func(session, stamped uint64) {
			sent := now.Sub(r.clockStart)
			r.Receive(now, Message{From: others[1], To: r.ID(), Session: session, Group: "g", Term: 2, Body: AppendResponse{OK: true, Match: 2, Sent: sent, Stamp: Stamp{Session: stamped, At: time.Hour}}})
			receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: sent})
		}
		respond(5, 5)
		if got := r.progress[others[1]].confirmation.Asked.Session; got != 5 {
			t.Fatalf("stamp of session %d confirmed, want 5", got)
		}
		respond(6, 5)
		if got := r.progress[others[1]].confirmation; got != (Confirmation{}) {
			t.Fatalf("confirmation %+v of an earlier session is kept for the next one", got)
		}
	})
}
