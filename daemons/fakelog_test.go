package daemons

import (
	"errors"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/leases"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
)

const testLease = 3 * time.Second

var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// fakeGroup is a replicated log whose leaders, commits and losses are controlled
// by the test.
type fakeGroup struct {
	leader    gypsumshelf.DaemonID
	term      uint64
	entries   []fakeEntry
	committed int
}

type fakeEntry struct {
	at   time.Time
	data []byte
}

// lead makes a daemon the leader. All but the first keep uncommitted entries are
// lost.
func (g *fakeGroup) lead(id gypsumshelf.DaemonID, keep int) {
	g.leader, g.term = id, g.term+1
	g.entries = g.entries[:min(len(g.entries), g.committed+keep)]
}

func (g *fakeGroup) commit() { g.committed = min(g.committed+1, len(g.entries)) }

// fakeLog is one daemon's view of a fakeGroup. It implements replicatedLog.
type fakeLog struct {
	group        *fakeGroup
	id           gypsumshelf.DaemonID
	disconnected bool // has no contact with the leader
	applied      int
	confirmed    time.Time
	commit       uint64
}

func (l *fakeLog) Propose(now time.Time, data []byte) (uint64, uint64, error) {
	if l.group.leader != l.id {
		return 0, 0, errors.New("not the leader")
	}
	l.group.entries = append(l.group.entries, fakeEntry{at: now, data: data})
	return uint64(len(l.group.entries)), l.group.term, nil
}

func (l *fakeLog) Leader() (gypsumshelf.DaemonID, bool) {
	return l.group.leader, l.group.leader != "" && !l.disconnected
}
func (l *fakeLog) Term() uint64                      { return l.group.term }
func (l *fakeLog) Confirmation() (time.Time, uint64) { return l.confirmed, l.commit }

// testReducer is a reducer with a fakeLog.
type testReducer struct {
	*Reducer
	log *fakeLog
}

func newTestReducer(g *fakeGroup, id gypsumshelf.DaemonID) *testReducer {
	policy, err := routes.New("round-robin")
	if err != nil {
		panic(err)
	}
	log := &fakeLog{group: g, id: id}
	return &testReducer{log: log, Reducer: NewReducer(ReducerConfig{
		Daemon: id, Policy: policy, Log: log, Session: string(id), Lease: leases.Config{Duration: testLease},
		Servers:  servers.Config{Expiry: time.Hour},
		Attempts: attempts.Config{MaxAttempts: 3, RecordTTL: time.Hour},
	})}
}

// applyNext applies one committed entry and returns the effects.
func (m *testReducer) applyNext(now time.Time) []gypsumshelf.Effect {
	if m.log.applied >= m.log.group.committed {
		return nil
	}
	m.effects = nil
	e := m.log.group.entries[m.log.applied]
	m.log.applied++
	m.configuration.apply(now, uint64(m.log.applied), e.at, e.data)
	return m.effects
}

// renewLease renews the freshness lease by a confirmation requested at a time.
func (m *testReducer) renewLease(asked time.Time) {
	m.log.confirmed, m.log.commit = asked, uint64(m.log.group.committed)
	m.configuration.renewLease(asked, uint64(m.log.applied))
}

func effectsOf[E gypsumshelf.Effect](effects []gypsumshelf.Effect) (found []E) {
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func proposedEvent(ticket uint64, id, operator string, revision gypsumshelf.Revision, change configs.Change) configs.CommandProposed {
	return configs.CommandProposed{Ticket: ticket, Timeout: 5 * time.Second, Command: configs.OperatorCommand{
		CommandID: id, Operator: operator, Revision: revision, Change: change,
	}}
}
