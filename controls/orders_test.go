package controls

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/replicas"
)

var (
	takeOut   = catalogs.Command{Action: catalogs.TakeOut, DataCentre: "a"}
	bringBack = catalogs.Command{Action: catalogs.BringBack, DataCentre: "a"}
)

// knowing returns a command whose proposer knew the entries up to an index.
func knowing(c catalogs.Command, index uint64) catalogs.Command {
	c.KnownIndex = index
	return c
}

// newOrderGroup returns a reducerGroup that has elected a leader.
func newOrderGroup(t *testing.T) (g *reducerGroup, leader gypsumshelf.DaemonID) {
	t.Helper()
	g = newReducerGroup(3)
	g.run(5 * time.Second)
	return g, g.leader(t)
}

// propose proposes a command to a daemon and returns the error of the reply.
func (g *reducerGroup) propose(id gypsumshelf.DaemonID, c catalogs.Command) error {
	g.ticket++
	g.step(id, CommandProposed{Ticket: g.ticket, Command: c})
	return g.replies[g.ticket].Err
}

func assertOrder(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("the order ends with %v, want %v", got, want)
	}
}

// assertOutOfService checks the state of all daemons once they have heard of the commits.
func (g *reducerGroup) assertOutOfService(t *testing.T, want ...string) {
	t.Helper()
	g.run(3 * heartbeatInterval)
	for id, r := range g.reducers {
		if !g.down[id] && !slices.Equal(r.state.OutOfService, want) {
			t.Errorf("out of service at %s are %v, want %v", id, r.state.OutOfService, want)
		}
	}
}

// Guards against an order that has waited on its way to the leader, or in its queue, and
// that follows a newer one on the same subject.
func TestOrderDoesNotFollowANewerOne(t *testing.T) {
	t.Run("newer order", func(t *testing.T) {
		g, leader := newOrderGroup(t)
		assertOrder(t, g.propose(leader, takeOut), nil)
		known := g.reducers[leader].appliedIndex
		assertOrder(t, g.propose(leader, bringBack), nil)
		assertOrder(t, g.propose(leader, takeOut), nil)
		assertOrder(t, g.propose(leader, knowing(bringBack, known)), ErrSuperseded)
		g.assertOutOfService(t, "a")
	})
	t.Run("newer order that changes nothing", func(t *testing.T) {
		g, leader := newOrderGroup(t)
		assertOrder(t, g.propose(leader, takeOut), nil)
		known := g.reducers[leader].appliedIndex
		assertOrder(t, g.propose(leader, takeOut), nil)
		assertOrder(t, g.propose(leader, knowing(bringBack, known)), ErrSuperseded)
		g.assertOutOfService(t, "a")
	})
	t.Run("newer order that is not committed yet", func(t *testing.T) {
		g, leader := newOrderGroup(t)
		known := g.reducers[leader].appliedIndex
		r := g.reducers[leader]
		r.Step(g.now, CommandProposed{Ticket: 1, Command: takeOut}) // its messages are lost
		for _, reply := range effectsOf[Reply](r.Step(g.now, CommandProposed{Ticket: 2, Command: knowing(bringBack, known)})) {
			assertOrder(t, reply.Err, ErrSuperseded)
		}
		if _, ok := r.pendingProposals[known+2]; ok {
			t.Error("the older order is in the log")
		}
	})
	t.Run("newer orders that a snapshot covers", func(t *testing.T) {
		g, leader := newOrderGroup(t)
		known := g.reducers[leader].appliedIndex
		for range 2 * compactEntries {
			assertOrder(t, g.propose(leader, takeOut), nil)
		}
		assertOrder(t, g.propose(leader, knowing(bringBack, known)), ErrSuperseded)
		if n := len(g.reducers[leader].orders.newest); n != 1 {
			t.Errorf("%d orders are remembered, want 1", n)
		}
	})
	t.Run("state that was published before its order was recorded", func(t *testing.T) {
		g, leader := newOrderGroup(t)
		r := g.reducers[leader]
		r.state.Index = r.appliedIndex + 1
		r.Step(g.now, StorageOpened{Config: r.cfg})
		if latest := r.orders.latest(takeOut.Subject()); latest.index < r.state.Index {
			t.Errorf("the newest order is taken to be %d, want at least %d", latest.index, r.state.Index)
		}
	})
	t.Run("newer quarantine of a cause", func(t *testing.T) {
		g, leader := newOrderGroup(t)
		known := g.reducers[leader].appliedIndex
		quarantine := catalogs.Command{Action: catalogs.QuarantineCause, Quarantine: crashes.Quarantine{Cause: "request:x"}}
		lift := catalogs.Command{Action: catalogs.LiftQuarantine, Lift: crashes.Lift{Cause: "request:x"}}
		assertOrder(t, g.propose(leader, quarantine), nil)
		assertOrder(t, g.propose(leader, knowing(lift, known)), ErrSuperseded)
	})
}

// Guards against orders that are refused although nothing contradicts them, such as
// repetitions of an order whose answer was lost.
func TestOrderIsAcceptedAgain(t *testing.T) {
	g, leader := newOrderGroup(t)
	known := g.reducers[leader].appliedIndex
	for _, step := range []struct {
		name    string
		command catalogs.Command
		known   uint64
	}{
		{"first", takeOut, known},
		{"sent twice at once", takeOut, known},
		{"another data centre", catalogs.Command{Action: catalogs.BringBack, DataCentre: "b"}, known},
		{"by an older build", bringBack, 0},
		{"sent again after the contrary", bringBack, known},
		{"the contrary", takeOut, known + 5},
	} {
		t.Run(step.name, func(t *testing.T) {
			assertOrder(t, g.propose(leader, knowing(step.command, step.known)), nil)
		})
	}
	g.assertOutOfService(t, "a")
}

// Guards against a new leader that accepts an order while its log has newer ones that it
// does not know to be committed.
func TestNewLeaderKnowsOrdersOfEarlierOnes(t *testing.T) {
	for _, test := range []struct {
		name     string
		isolated bool // whether the new leader can commit nothing yet
		want     error
	}{{"before it commits", true, ErrNewLeader}, {"after it has committed", false, ErrSuperseded}} {
		t.Run(test.name, func(t *testing.T) {
			g, first := newOrderGroup(t)
			known := g.reducers[first].appliedIndex
			assertOrder(t, g.propose(first, takeOut), nil)
			g.down[first] = true
			g.loses = func(m replicas.Message) bool {
				_, isAppend := m.Body.(replicas.AppendRequest)
				return test.isolated && isAppend
			}
			second := g.awaitLeader(t)
			assertOrder(t, g.propose(second, knowing(bringBack, known)), test.want)
			g.down[first], g.loses = false, nil
			g.run(5 * time.Second)
			g.assertOutOfService(t, "a")
		})
	}
}

// awaitLeader runs the group until a daemon becomes the leader.
func (g *reducerGroup) awaitLeader(t *testing.T) gypsumshelf.DaemonID {
	t.Helper()
	for range 100 {
		for _, id := range g.ids() {
			if !g.down[id] && g.reducers[id].replica.IsLeader() {
				return id
			}
		}
		g.run(raftTickInterval)
	}
	t.Fatal("there is no leader after 5 s")
	return ""
}

// Guards against orders that are given up and take effect after a newer one was
// acknowledged, over random delays, repetitions and changes of the leader.
func TestOrdersGivenUpNeverFollowAcknowledgedOnes(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			g, leader := newOrderGroup(t)
			var waiting []catalogs.Command // given up, and on their way to the leader
			superseded := 0
			for range 200 {
				command := takeOut
				if random.IntN(2) == 0 {
					command = bringBack
				}
				proposer := g.reducers[g.ids()[random.IntN(3)]]
				command.KnownIndex = proposer.appliedIndex
				for random.IntN(2) == 0 { // no answer in time: the order is sent again
					waiting = append(waiting, command)
				}
				if random.IntN(20) == 0 {
					g.down[leader] = true
					g.run(3 * time.Second)
					g.down[leader] = false
					g.run(time.Second)
					leader = g.leader(t)
				}
				if errors.Is(g.propose(leader, command), ErrSuperseded) {
					g.run(3 * heartbeatInterval)
					command.KnownIndex = proposer.appliedIndex
					assertOrder(t, g.propose(leader, command), nil)
				}
				want := slices.Clone(g.reducers[leader].state.OutOfService)
				for len(waiting) > 0 && random.IntN(2) == 0 {
					i := random.IntN(len(waiting))
					if errors.Is(g.propose(leader, waiting[i]), ErrSuperseded) {
						superseded++
					}
					waiting = slices.Delete(waiting, i, i+1)
					g.assertOutOfService(t, want...)
				}
			}
			if superseded == 0 {
				t.Error("no late order met a newer one")
			}
		})
	}
}

// Guards against an order whose caller leaves while its daemon waits, and against
// daemons that do not acknowledge an order that is sent to all of them.
func TestOrdersOfARunningGroup(t *testing.T) {
	c := startedCluster(t, 3)
	background := context.Background()
	t.Run("sent again to each", func(t *testing.T) {
		for _, h := range c.hosts {
			c.assertWhileLed(t, func() error { return checkOrder(h.daemon.ProposeOrder(background, takeOut), nil) })
		}
	})
	t.Run("caller leaves", func(t *testing.T) {
		for _, h := range c.hosts {
			c.assertWhileLed(t, func() error {
				ctx, leave := context.WithTimeout(background, callerSettleTime/2)
				defer leave()
				return checkOrder(h.daemon.ProposeOrder(ctx, bringBack), ErrCallerLeft)
			})
		}
		c.assertOutOfService("a")
	})
	t.Run("contrary orders in quick succession", func(t *testing.T) {
		for _, first := range c.hosts {
			c.assertWhileLed(t, func() error {
				c.eventually("an order is acknowledged", func(h *host) bool {
					return h == first && h.daemon.ProposeOrder(background, bringBack) == nil
				})
				// The daemon that has acknowledged the first order knows it.
				return checkOrder(first.daemon.ProposeOrder(background, takeOut), nil)
			})
		}
		c.assertOutOfService("a")
	})
	t.Run("waited in a connection to the leader", func(t *testing.T) {
		for _, h := range c.hosts {
			c.assertWhileLed(t, func() error {
				leader := c.leader()
				known := leader.daemon.appliedIndex.Load()
				return errors.Join(
					checkOrder(leader.daemon.ProposeOrder(background, takeOut), nil),
					checkOrder(h.daemon.Propose(background, knowing(bringBack, known)), ErrSuperseded),
				)
			})
		}
		c.assertOutOfService("a")
	})
	t.Run("newer order while the caller settles", func(t *testing.T) {
		for _, h := range c.hosts {
			c.assertWhileLed(t, func() error {
				leader := c.leader()
				result := make(chan error, 1)
				go func() { result <- h.daemon.ProposeOrder(background, bringBack) }()
				time.Sleep(callerSettleTime / 2)
				return errors.Join(
					checkOrder(leader.daemon.Propose(background, takeOut), nil),
					checkOrder(<-result, ErrSuperseded),
				)
			})
		}
		c.assertOutOfService("a")
	})
	t.Run("sent to all at once", func(t *testing.T) {
		c.assertWhileLed(t, func() error {
			c.awaitAllKnowNewest()
			results := make(chan error, len(c.hosts))
			for _, h := range c.hosts {
				go func() { results <- h.daemon.ProposeOrder(background, bringBack) }()
			}
			var all error
			for range c.hosts {
				all = errors.Join(all, checkOrder(<-results, nil))
			}
			return all
		})
		c.assertOutOfService()
	})
}

// awaitAllKnowNewest waits until all daemons know what the leader has committed. The leader
// refuses an order from a daemon that has not heard of an earlier one on the same subject.
func (c *cluster) awaitAllKnowNewest() {
	c.t.Helper()
	newest := c.leader().daemon.appliedIndex.Load()
	for _, slow := range c.hosts {
		c.eventually("all daemons know the newest order", func(h *host) bool { return h == slow && h.daemon.knownIndex() >= newest })
	}
}

// assertWhileLed checks orders while the group has one leader. If they do not end as wanted
// and the daemons have seen the leader change meanwhile, it checks again: on a busy machine
// they may do so, and the callers of orders that end for want of a leader send them again.
func (c *cluster) assertWhileLed(t *testing.T, check func() error) {
	t.Helper()
	const tries = 20
	var err error
	for range tries {
		changes := c.leadChanges()
		if err = check(); err == nil {
			return
		}
		if !c.hasLeadChanged(changes) {
			break
		}
	}
	t.Error(err)
}

// hasLeadChanged reports whether the leader has changed since an earlier leadChanges. A
// daemon refuses orders for want of a leader just before it logs the change.
func (c *cluster) hasLeadChanged(earlier int) bool {
	for deadline := time.Now().Add(5 * time.Second); c.leadChanges() == earlier; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// checkOrder returns an error unless an order has ended as wanted. The leader, perhaps
// another daemon, may have refused it.
func checkOrder(got, want error) error {
	if errors.Is(got, want) || got != nil && want != nil && strings.Contains(got.Error(), want.Error()) {
		return nil
	}
	return fmt.Errorf("the order ends with %v, want %v", got, want)
}

// assertOutOfService reads the state until a host answers with a confirmed one, and
// checks which data centres are out of service.
func (c *cluster) assertOutOfService(want ...string) {
	c.t.Helper()
	c.eventually("a read is answered", func(h *host) bool {
		s, err := h.daemon.ReadState(context.Background())
		if err == nil && !slices.Equal(s.OutOfService, want) {
			c.t.Errorf("out of service are %v, want %v", s.OutOfService, want)
		}
		return err == nil
	})
}

// Guards against builds that cannot read each other's calls to the leader: the earlier
// one knows neither the reply nor the index that the proposer knew.
func TestOrdersBetweenBuilds(t *testing.T) {
	type earlierCommand struct {
		Action     catalogs.Action
		DataCentre string
	}
	committed, command := Commit{}, catalogs.Command{}
	for _, call := range []struct {
		name     string
		sent     any
		received any
	}{
		{"reply of the earlier build", struct{}{}, &committed},
		{"reply to the earlier build", Commit{Index: 7}, &struct{}{}},
		{"command of the earlier build", earlierCommand{Action: catalogs.TakeOut, DataCentre: "a"}, &command},
		{"command to the earlier build", knowing(takeOut, 7), &earlierCommand{}},
	} {
		t.Run(call.name, func(t *testing.T) {
			var buffer bytes.Buffer
			if err := gob.NewEncoder(&buffer).Encode(call.sent); err != nil {
				t.Fatal(err)
			}
			if err := gob.NewDecoder(&buffer).Decode(call.received); err != nil {
				t.Error(err)
			}
		})
	}
	if committed.Index != 0 || command.KnownIndex != 0 || command.Action != catalogs.TakeOut {
		t.Errorf("received %+v and %+v", committed, command)
	}
}

// Guards against log entries that differ between builds: the index that a proposer knew
// is for the leader only.
func TestKnownIndexIsNotReplicated(t *testing.T) {
	if got, want := knowing(takeOut, 7).Encode(), takeOut.Encode(); !slices.Equal(got, want) {
		t.Errorf("the entry is %s, want %s", got, want)
	}
}

// Guards against an order that waits for a leader where none is known, so that its
// caller asks another daemon late.
func TestOrderFailsAtOnceWithoutALeader(t *testing.T) {
	c := newCluster(t, 3)
	c.start(c.hosts[0], true)
	started := time.Now()
	assertOrder(t, c.hosts[0].daemon.ProposeOrder(context.Background(), takeOut), ErrNotLeader)
	if waited := time.Since(started); waited >= callerSettleTime {
		t.Errorf("it fails after %v", waited)
	}
}

// fakeQuarantineState has one quarantine, and records how its lift is proposed.
type fakeQuarantineState struct{ lifted []catalogs.Command }

func (f *fakeQuarantineState) ReadState(context.Context) (catalogs.State, error) {
	return catalogs.State{Quarantines: []crashes.Quarantine{{Cause: "request:x", Until: time.Now().Add(time.Hour)}}}, nil
}

func (f *fakeQuarantineState) ProposeOrder(_ context.Context, c catalogs.Command) error {
	f.lifted = append(f.lifted, c)
	return ErrSuperseded
}

// Guards against a lift that was held up and ends a newer quarantine of the same cause,
// and against one that is refused for good.
func TestLiftIsAnOrder(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	state := &fakeQuarantineState{}
	w := httptest.NewRecorder()
	NewQuarantineHandler(state, time.Now, logrus.NewEntry(log)).ServeHTTP(w, httptest.NewRequest(http.MethodDelete, QuarantinesPath+"/request:x", nil))
	if len(state.lifted) != 1 || state.lifted[0].Lift.Cause != "request:x" || w.Code != http.StatusServiceUnavailable {
		t.Errorf("%d orders and status %d, want one and 503", len(state.lifted), w.Code)
	}
}

// refutedState has quarantines that appear after a number of reads, and lifts them.
type refutedState struct {
	quarantines []crashes.Quarantine
	after       int // reads
	lifted      []crashes.Cause
}

func (s *refutedState) ReadState(context.Context) (catalogs.State, error) {
	if s.after--; s.after >= 0 {
		return catalogs.State{}, nil
	}
	return catalogs.State{Quarantines: s.quarantines}, nil
}

func (s *refutedState) ProposeOrder(_ context.Context, c catalogs.Command) error {
	s.lifted = append(s.lifted, c.Lift.Cause)
	return nil
}

// Guards against a quarantine that stays in force after it was refuted, since it is committed
// later than that, and against the end of a later one.
func TestRefutedQuarantineIsLifted(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Now()
	for _, c := range []struct {
		name  string
		until time.Time
		after int
		want  []crashes.Cause
	}{
		{name: "in force", until: now.Add(crashes.QuarantineTime - time.Minute), want: []crashes.Cause{"part"}},
		{name: "committed later", until: now.Add(crashes.QuarantineTime - time.Second), after: 1, want: []crashes.Cause{"part"}},
		{name: "a later one", until: now.Add(crashes.QuarantineTime + time.Second)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			state := &refutedState{quarantines: []crashes.Quarantine{{Cause: "part", Until: c.until}}, after: c.after}
			(&refutation{state: state, lifts: []crashes.Lift{{Cause: "part", At: now}}, log: logrus.NewEntry(log)}).run()
			if !slices.Equal(state.lifted, c.want) {
				t.Errorf("lifted are %v, want %v", state.lifted, c.want)
			}
		})
	}
}
