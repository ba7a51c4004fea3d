package replicas

import (
	"bytes"
	"encoding/gob"
	"math"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

func testMembers(voters ...string) Members {
	var m Members
	for _, daemon := range voters {
		m = append(m, Member{ID: NodeID{Daemon: gypsumshelf.DaemonID(daemon), Incarnation: "1"}, Role: Voter, Durable: true})
	}
	return m
}

// Guards against malformed messages that end the process of a voter or make it lose
// its log.
func TestMalformedMessagesAreFound(t *testing.T) {
	entry := func(index, term uint64, kind Kind, data string) AppendRequest {
		return AppendRequest{Prev: 1, PrevTerm: 1, Entries: []Entry{{Index: index, Term: term, Kind: kind, Data: []byte(data)}}}
	}
	snapshot := Snapshot{Index: 2, Term: 1, Members: testMembers("a", "b", "c"), Data: []byte("xy")}
	withMembers := func(m Members) SnapshotChunk {
		s := snapshot
		s.Members = m
		return SnapshotChunk{Snapshot: s, Size: 2}
	}
	for name, m := range map[string]Message{
		"no body":                      {Term: 1},
		"unknown body":                 {Term: 1, Body: "x"},
		"term that overflows":          {Term: math.MaxUint64, Body: VoteRequest{}},
		"gap before the entries":       {Term: 1, Body: entry(3, 1, NoOp, "")},
		"entry of a later term":        {Term: 1, Body: entry(2, 2, NoOp, "")},
		"entry of an earlier term":     {Term: 2, Body: entry(2, 0, NoOp, "")},
		"unknown kind of entry":        {Term: 1, Body: entry(2, 1, 77, "")},
		"membership that is no JSON":   {Term: 1, Body: entry(2, 1, Membership, "{")},
		"membership without voters":    {Term: 1, Body: entry(2, 1, Membership, "[]")},
		"previous entry of later term": {Term: 1, Body: AppendRequest{Prev: 1, PrevTerm: 2}},
		"chunk before the snapshot":    {Term: 1, Body: SnapshotChunk{Snapshot: snapshot, Offset: -1, Size: 2}},
		"chunk after the snapshot":     {Term: 1, Body: SnapshotChunk{Snapshot: snapshot, Offset: 1, Size: 2}},
		"snapshot larger than memory":  {Term: 1, Body: SnapshotChunk{Snapshot: snapshot, Size: math.MaxInt}},
		"snapshot without members":     {Term: 1, Body: withMembers(nil)},
		"daemon listed twice":          {Term: 1, Body: withMembers(testMembers("a", "a"))},
		"too many voters":              {Term: 1, Body: withMembers(testMembers("a", "b", "c", "d", "e", "f"))},
		"unknown role":                 {Term: 1, Body: withMembers(testMembers("a", "b").withRole(NodeID{Daemon: "b", Incarnation: "1"}, 7))},
		"incoming without outgoing":    {Term: 1, Body: withMembers(testMembers("a", "b").withRole(NodeID{Daemon: "b", Incarnation: "1"}, Incoming))},
		"negative chunk asked for":     {Term: 1, Body: SnapshotResponse{Index: 2, Next: -1}},
		"match that overflows":         {Term: 1, Body: AppendResponse{OK: true, Match: math.MaxUint64}},
	} {
		t.Run(name, func(t *testing.T) {
			m.From = NodeID{Daemon: "b", Incarnation: "1"}
			if err := m.Validate(); err == nil {
				t.Error("the message passes")
			}
		})
	}
}

// FuzzReceive passes any message that can be decoded and passes Validate to a voter
// and a leader. They may find an invariant broken, which stops them, but must not fail
// in any other way.
func FuzzReceive(f *testing.F) {
	for _, body := range []any{
		VoteRequest{LastIndex: 5, LastTerm: 1}, VoteResponse{Asked: 2, Granted: true}, AppendRequest{Prev: 1, PrevTerm: 1, Entries: []Entry{{Index: 2, Term: 1}}},
		AppendResponse{OK: true, Match: 2}, AppendResponse{Prev: 3, Hint: 1}, SnapshotChunk{Snapshot: Snapshot{Index: 4, Term: 1, Members: testMembers("a", "b")}, Size: 0},
		SnapshotResponse{Index: 1, Next: 5}, Join{}, JoinResponse{Fresh: true}, Handover{}, VerifyRequest{}, VerifyResponse{Mark: Mark{Term: 9}},
	} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(Message{From: NodeID{Daemon: "b", Incarnation: "1"}, To: NodeID{Daemon: "a", Incarnation: "1"}, Session: 9, Group: "g", Term: 1, Body: body}); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&m); err != nil || m.Validate() != nil {
			return
		}
		voter, now, _ := newTestVoter(t)
		leader, leaderNow, _ := newTestLeader(t)
		for r, at := range map[*Replica]time.Time{voter: now, leader: leaderNow} {
			receiveAndRun(t, r, at, m)
		}
	})
}

// receiveAndRun passes a message to a replica twice and lets it run on.
func receiveAndRun(t *testing.T, r *Replica, now time.Time, m Message) {
	t.Helper()
	defer func() {
		v := recover()
		if _, broken := v.(*InvariantError); v != nil && !broken {
			t.Errorf("%+v: panic %v", m, v)
		}
	}()
	for range 2 {
		r.Receive(now, m)
		if p := r.TakeOutput().Persist; p != nil {
			r.Synced(now, p.Sequence)
		}
		now = now.Add(3 * testElectionTimeout)
		r.Tick(now)
		r.TakeOutput()
	}
}
