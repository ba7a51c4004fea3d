package controls

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/timers"
)

// host is a simulated host that runs at most one control daemon.
type host struct {
	t      *testing.T
	ip     string
	folder string
	disk   *faultyDisk // nil for the disk of the machine
	daemon *Daemon
	id     replicas.NodeID
	timers *timers.Service
	leads  leadLog
}

// leadLog is a hook of the log of a daemon that counts the changes of its leader.
type leadLog struct {
	mu      sync.Mutex
	last    string
	changes int
}

// Levels implements logrus.Hook.
func (*leadLog) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

// Fire implements logrus.Hook.
func (l *leadLog) Fire(e *logrus.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lead := fmt.Sprint(e.Data["leader"], e.Data["term"]); e.Message == "leader or members changed" && lead != l.last {
		l.last = lead
		l.changes++
	}
	return nil
}

func (l *leadLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changes
}

// leadChanges returns the number of changes of the leader that the daemons have seen.
func (c *cluster) leadChanges() int {
	n := 0
	for _, h := range c.hosts {
		n += h.leads.count()
	}
	return n
}

// cluster is a set of hosts on loopback addresses with the same ports.
type cluster struct {
	t     *testing.T
	port  int
	hosts []*host
	seeds []string
	// diskBytes is the size of the disks that the daemons started next are told.
	diskBytes int64
	// stopTimeout is that of the daemons started next. Tests that stop a majority of
	// the voters one after the other wait for it.
	stopTimeout time.Duration
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, port: freePortPair(t), stopTimeout: time.Second}
	for range n {
		c.add()
	}
	for _, h := range c.hosts[:min(3, n)] {
		c.seeds = append(c.seeds, h.directoryAddress(c.port))
	}
	return c
}

// freePortPair returns a port of the first host that is free together with the next one.
// Connections that were closed a moment ago take up most ports of 127.0.0.1 on a busy machine.
func freePortPair(t *testing.T) int {
	t.Helper()
	for range 50 {
		l, err := net.Listen("tcp", hostIP(1)+":0")
		if err != nil {
			t.Fatal(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		next, err := net.Listen("tcp", fmt.Sprintf("%s:%d", hostIP(1), port+1))
		l.Close()
		if err == nil {
			next.Close()
			return port
		}
	}
	t.Fatal("no two adjacent ports are free")
	return 0
}

// hostIP returns the IP address of the nth host of a cluster.
func hostIP(n int) string { return fmt.Sprintf("127.0.77.%d", n) }

func (h *host) directoryAddress(port int) string { return fmt.Sprintf("%s:%d", h.ip, port+1) }

func (c *cluster) add() *host {
	h := &host{t: c.t, ip: hostIP(len(c.hosts) + 1), folder: c.t.TempDir()}
	c.hosts = append(c.hosts, h)
	return h
}

// listen opens a listener. It retries, because the port of a daemon that has
// just stopped may still be in use.
func (h *host) listen(port int) net.Listener {
	h.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h.ip, port))
		if err == nil {
			return l
		}
		if time.Now().After(deadline) {
			h.t.Fatal(err)
		}
	}
}

func (c *cluster) start(h *host, first bool) {
	c.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(&h.leads)
	h.timers = timers.New(timers.Config{})
	peers, directory := h.listen(c.port), h.listen(c.port+1)
	cfg := Config{
		Daemon: gypsumshelf.DaemonID(peers.Addr().String()), DataCentre: "a", DataFolder: filepath.Join(h.folder, "log"),
		Seeds: c.seeds, FirstStart: first, Peers: peers, Directory: directory, Decode: decode,
		SilenceTimeout: 3 * time.Second, StopTimeout: c.stopTimeout, Log: logrus.NewEntry(log), Timers: h.timers, DiskBytes: c.diskBytes,
	}
	if h.disk != nil {
		cfg.OpenFile = h.disk.open
	}
	d, err := Start(cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	h.daemon, h.id = d, d.ID()
	c.t.Cleanup(h.kill)
}

func (h *host) stop() {
	if h.daemon != nil {
		h.daemon.Close()
		h.timers.Close()
		h.daemon = nil
	}
}

// kill ends the daemon without a planned stop.
func (h *host) kill() {
	if h.daemon != nil {
		h.daemon.terminate()
		h.timers.Close()
		h.daemon = nil
	}
}

// wipe replaces the disk of a stopped host by an empty one.
func (h *host) wipe() { h.folder = h.t.TempDir() }

// decode returns a catalog with the service of all announcements.
func decode([]byte) (*catalogs.Catalog, error) {
	return catalogs.New(catalogs.Spec{Services: []catalogs.Service{{Name: "x"}}})
}

// put sends a catalog to the hosts in turn until one acknowledges it.
func (c *cluster) put(version uint64) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("version %d is acknowledged", version), func(h *host) bool {
		return h.daemon.Propose(context.Background(), catalogs.Command{
			Action: catalogs.Put, Version: version, Document: []byte(fmt.Sprint(version)),
		}) == nil
	})
}

// assertVersion reads the state until a host answers with a confirmed one, and
// checks its version.
func (c *cluster) assertVersion(want uint64) {
	c.t.Helper()
	c.eventually("a read is answered", func(h *host) bool {
		s, err := h.daemon.ReadState(context.Background())
		if err == nil && s.Version != want {
			c.t.Fatalf("%s answers version %d, want %d", h.ip, s.Version, want)
		}
		return err == nil
	})
}

func (c *cluster) eventually(what string, ok func(h *host) bool) {
	c.t.Helper()
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, h := range c.hosts {
			if h.daemon != nil && ok(h) {
				return
			}
		}
	}
	c.t.Fatalf("timed out waiting until %s", what)
}

// awaitVoters waits until all running daemons are voters with their current
// incarnations.
func (c *cluster) awaitVoters() {
	c.t.Helper()
	c.eventually("all running daemons vote", func(h *host) bool {
		l := h.daemon.leadership.Load()
		for _, other := range c.hosts {
			if other.daemon != nil && !l.Members.IsVoter(other.id) {
				return false
			}
		}
		return l.IsLeader
	})
}

// Guards against an acknowledged configuration that is lost or replaced by an
// older one when hosts lose their disks, are replaced at another address, or all
// restart.
func TestAcknowledgedStateSurvives(t *testing.T) {
	c := newCluster(t, 5)
	for _, h := range c.hosts {
		c.start(h, true)
	}
	c.put(1)
	c.awaitVoters()
	t.Run("two disks are lost at once", func(*testing.T) {
		c.put(2)
		for _, h := range c.hosts[:2] {
			h.stop()
			h.wipe()
		}
		c.assertVersion(2)
		for _, h := range c.hosts[:2] {
			c.start(h, false)
		}
		c.put(3)
		c.awaitVoters()
	})
	t.Run("a host is replaced at another address", func(*testing.T) {
		c.hosts[2].stop()
		h := c.add()
		c.start(h, false)
		c.put(4)
		c.awaitVoters()
	})
	t.Run("all restart", func(*testing.T) {
		c.put(5)
		for _, h := range c.hosts {
			h.stop()
		}
		for i, h := range c.hosts {
			if i != 2 {
				c.start(h, false)
			}
		}
		c.assertVersion(5)
	})
}

// Guards against a planned stop that takes a vote away while two other voters have
// lost their disks, although a learner that has the whole log could vote.
func TestReplacedVoterStopsWhileTwoDisksAreLost(t *testing.T) {
	for name, leads := range map[string]bool{"leader": true, "follower": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5)
			c.stopTimeout = 10 * time.Second
			for _, h := range c.hosts {
				c.start(h, true)
			}
			c.put(1)
			c.awaitVoters()
			successor := c.add()
			c.start(successor, false)
			c.eventually("the successor is a member", func(h *host) bool {
				l := h.daemon.leadership.Load()
				_, ok := l.Members.Member(successor.id)
				return l.IsLeader && ok
			})
			c.put(2)
			time.Sleep(2 * electionTimeout) // the successor catches up
			leader := c.leader()
			others := slices.DeleteFunc(slices.Clone(c.hosts[:5]), func(h *host) bool { return h == leader })
			stopped := leader
			if !leads {
				stopped = others[2]
			}
			for _, h := range others[:2] {
				h.kill()
				h.wipe()
			}
			stopped.stop()
			for _, h := range others[:2] {
				c.start(h, false)
			}
			c.put(3)
			c.assertVersion(3)
			c.awaitVoters()
		})
	}
}

// Guards against stale reads: a daemon without a quorum must not answer a read,
// because the others may have committed newer entries.
func TestReadNeedsAQuorum(t *testing.T) {
	c := newCluster(t, 3)
	for _, h := range c.hosts {
		c.start(h, true)
	}
	c.put(1)
	c.awaitVoters()
	c.assertVersion(1)
	c.hosts[1].stop()
	c.hosts[2].stop()
	time.Sleep(2 * electionTimeout)
	if s, err := c.hosts[0].daemon.ReadState(context.Background()); err == nil {
		t.Errorf("a daemon without a quorum answers version %d", s.Version)
	}
	if err := c.hosts[0].daemon.Propose(context.Background(), catalogs.Command{Action: catalogs.TakeOut, DataCentre: "a"}); err == nil {
		t.Error("a daemon without a quorum acknowledges a command")
	}
}

// Guards against an acknowledged leave that other daemons have not received and
// that is lost if the acknowledging daemon fails.
func TestLeaveIsKnownWhenItIsAcknowledged(t *testing.T) {
	c := newCluster(t, 3)
	for _, h := range c.hosts {
		c.start(h, true)
	}
	c.put(1)
	c.eventually("all daemons poll each other", func(h *host) bool { return len(h.daemon.subscriber.Reachable()) == 2 })
	r := rosters.Record{ID: "s1", Born: 1, Sequence: 1, Service: "x", Address: "127.0.0.1:1", DataCentre: "a"}
	c.hosts[0].daemon.Announce(context.Background(), r)
	r.Sequence, r.Leaving = 2, true
	c.hosts[0].daemon.Announce(context.Background(), r)
	for _, h := range c.hosts {
		h.daemon.registry.mu.Lock()
		k, known := h.daemon.registry.roster.Get("s1")
		h.daemon.registry.mu.Unlock()
		if known && k.Usable() {
			t.Errorf("%s still uses a backend server whose leave was acknowledged", h.ip)
		}
	}
}
