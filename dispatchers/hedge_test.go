package dispatchers

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/paths"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// stallingListener accepts connections of which the first ones can be made to deliver
// nothing more, like a link that has lost a packet.
type stallingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*stallingConn
}

type stallingConn struct {
	net.Conn
	mu    sync.Mutex
	until time.Time
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &stallingConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// stallFirst makes the first connection deliver nothing for a time.
func (l *stallingListener) stallFirst(d time.Duration) *stallingConn {
	l.mu.Lock()
	first := l.conns[0]
	l.mu.Unlock()
	first.mu.Lock()
	defer first.mu.Unlock()
	first.until = time.Now().Add(d)
	return first
}

func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	wait := time.Until(c.until)
	c.mu.Unlock()
	time.Sleep(wait)
	return n, err
}

// serveStalling serves a dispatcher on a link that can lose packets.
func serveStalling(t *testing.T, d *Dispatcher) (address string, link *stallingListener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	link = &stallingListener{Listener: l}
	s, err := directories.NewServer(link, map[string]any{directories.ServiceName: directories.NewPublisher(discardLog()), ServiceName: NewService(d)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return l.Addr().String(), link
}

func judgePaths(d *Dispatcher) *Dispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Policy.AvoidBadPaths = true
	d.scheduler = d.newScheduler()
	d.scheduler.UpdateEngines(d.cfg.Timers.Now(), d.profiles, d.states())
	return d
}

// Guards against a lost packet on the connection to the leader that makes a daemon
// schedule by itself, without knowing the jobs of the others.
func TestPlacementIsRequestedOverASecondConnection(t *testing.T) {
	leader := judgePaths(newDispatcher(t, 64))
	leader.SetActive(true)
	address, link := serveStalling(t, leader)
	c := newClient(t, address)
	judgePaths(c.cfg.Local)
	c.SetLeader(address, 1)
	assertPlacedBy(t, c, "first", address)
	c.backup.get(address)
	waitFor(t, func() bool { return c.backup.get(address) != nil })
	link.stallFirst(time.Second)
	begin := time.Now()
	assertPlacedBy(t, c, "second", address)
	if took := time.Since(begin); took > 500*time.Millisecond {
		t.Errorf("the placement took %v, want it before the lost packet is sent again", took)
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition does not come true")
		}
	}
}

// Guards against a job that is placed twice, or once more after its end, when both calls
// for its placement arrive. The second placement would keep a slot until the deadline.
func TestRepeatedPlaceIsTheSameJob(t *testing.T) {
	d := judgePaths(newDispatcher(t, 1))
	d.SetActive(true)
	first := requireDecision(t, d, "a")
	t.Run("while it runs", func(t *testing.T) {
		if again := requireDecision(t, d, "a"); again != first {
			t.Errorf("got decision %+v, want the one that was made", again)
		}
	})
	t.Run("while it waits", func(t *testing.T) {
		for range 2 {
			if decision, err := d.Place(job("b")); decision != nil || err != nil {
				t.Errorf("got %+v and error %v, want the job to wait", decision, err)
			}
		}
	})
	t.Run("after its end", func(t *testing.T) {
		d.End("b", schedules.Cancelled, "")
		d.End("a", schedules.Completed, "")
		if decision, err := d.Place(job("a")); !errors.Is(err, errRepeated) {
			t.Errorf("got %+v and error %v, want %v", decision, err, errRepeated)
		}
		if next := requireDecision(t, d, "c"); next.Placement == nil {
			t.Errorf("got %+v, want the only slot to be free", next)
		}
	})
}

func requireDecision(t *testing.T, d *Dispatcher, id string) *schedules.Decision {
	t.Helper()
	decision, err := d.Place(job(id))
	if err != nil || decision == nil {
		t.Fatalf("%s: got %+v and error %v, want a decision", id, decision, err)
	}
	return decision
}

// Guards against a leader that does not hear of bad paths, and a daemon that schedules by
// itself without knowing them.
func TestEvidenceAboutPathsIsShared(t *testing.T) {
	leader := judgePaths(newDispatcher(t, 64))
	leader.SetActive(true)
	address, _ := serveDispatcher(t, leader)
	observer, other := newClient(t, address), newClient(t, address)
	for _, c := range []*Client{observer, other} {
		judgePaths(c.cfg.Local)
		c.SetLeader(address, 1)
	}
	observer.RecordPath(paths.Sample{From: "a", To: "b", Events: 60, Stalls: 10})
	waitFor(t, func() bool { return len(leader.PathReports("a")) == 1 })
	j := job("j")
	j.DataCentre = "a"
	if _, err := other.Place(t.Context(), j); err != nil {
		t.Fatal(err)
	}
	if reports := other.cfg.Local.PathReports("a"); len(reports) != 0 {
		t.Errorf("got own evidence %v, want what the leader reported only", reports)
	}
	if state := stateOf(other.cfg.Local, "a", "b"); state != paths.Lossy {
		t.Errorf("the other daemon takes the path to be %v, want %v", state, paths.Lossy)
	}
	t.Run("a new leader", func(t *testing.T) {
		next := judgePaths(newDispatcher(t, 64))
		next.SetActive(true)
		nextAddress, _ := serveDispatcher(t, next)
		observer.cfg.Feeds.SetSeeds([]string{address, nextAddress})
		waitFor(t, func() bool { _, alive := observer.cfg.Feeds.Client(nextAddress); return alive })
		observer.SetLeader(nextAddress, 2)
		waitFor(t, func() bool { return len(next.PathReports("b")) == 1 })
	})
}

func stateOf(d *Dispatcher, from, to string) paths.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.PathState(d.cfg.Timers.Now(), from, to)
}

// Guards against samples of a faulty daemon that end the process or change the table.
func TestInvalidSamplesAreIgnored(t *testing.T) {
	d := judgePaths(newDispatcher(t, 4))
	d.SetActive(true)
	d.RecordPaths([]paths.Sample{{From: "a", To: "a", Events: 1}, {From: "a", To: "b", Events: -1}, {From: "a", To: "b", Events: 1, Stalls: 9}})
	if reports := d.PathReports("a"); len(reports) != 0 {
		t.Errorf("got reports %v, want none", reports)
	}
}

// Guards against a daemon that schedules by itself beside the leader, on the same engines,
// because its own way to the leader is cut while other daemons reach it.
func TestLeaderIsReachedAnotherWay(t *testing.T) {
	leader := judgePaths(newDispatcher(t, 64))
	leader.SetActive(true)
	address, link := serveStalling(t, leader)
	c := newClient(t, address)
	judgePaths(c.cfg.Local)
	detours := 0
	c.backup.dial = func(ctx context.Context, address string) (net.Conn, error) {
		detours++
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	c.SetLeader(address, 1)
	assertPlacedBy(t, c, "before", address)
	first := link.stallFirst(time.Minute)
	t.Cleanup(func() { first.Conn.Close() })
	if _, err := c.Place(t.Context(), job("while the detour is opened")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return !time.Now().Before(c.suspectUntil) })
	for _, id := range []string{"a", "b", "c", "d"} {
		begin := time.Now()
		assertPlacedBy(t, c, id, address)
		if took := time.Since(begin); took > placeTimeout {
			t.Errorf("%s was placed after %v, want less than %v", id, took, placeTimeout)
		}
	}
	if detours != 1 {
		t.Errorf("%d connections were opened, want one that is kept", detours)
	}
}
