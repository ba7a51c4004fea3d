package relays

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/timers"
)

// fakeServers are the backend servers that a daemon knows, all of service s.
type fakeServers struct {
	mu       sync.Mutex
	unusable bool
	known    []string // addresses
}

func (f *fakeServers) ServiceAt(address string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range f.known {
		if known == address {
			return "s", true
		}
	}
	return "", false
}

func (f *fakeServers) UsableAt(string) bool { return !f.unusable }

func (f *fakeServers) AddressesOf(string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// backend is a backend server; handle gets each connection.
type backend struct {
	listener net.Listener
	handle   func(net.Conn)
}

func newBackend(t *testing.T, handle func(net.Conn)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	b := &backend{listener: l, handle: handle}
	go b.run()
	return b
}

func (b *backend) run() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.handle(conn)
	}
}

func (b *backend) address() string { return b.listener.Addr().String() }

// pair is a daemon whose direct way can be closed, and another one that relays.
type pair struct {
	dialer   *Dialer
	relay    *Relay
	servers  *fakeServers
	peerDial Dial

	mu         sync.Mutex
	cut        error // of direct connections, nil if they are made
	lossy      bool  // every second direct connection is made all the same
	dials      int
	delay      time.Duration // of direct connections
	relayCut   bool          // the relay has lost the path too
	foreigners bool          // the relay admits nobody
	paused     time.Duration // time for which the process was paused
	held       *heldDial     // nil if nothing is held
	silences   int           // connections to the relay that go to silent from now on
	silent     *backend      // accepts connections and answers nothing
}

// heldDial is a connection whose direct way is held until another daemon is asked, which
// then does not answer.
type heldDial struct {
	asked chan struct{} // closed once the other daemon is asked
	at    time.Time     // at which it was
}

func (p *pair) now() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(p.paused)
}

func newPair(t *testing.T, addresses ...string) *pair {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	p := &pair{servers: &fakeServers{known: addresses}}
	service := timers.New(timers.Config{Now: p.now})
	t.Cleanup(service.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.relay = NewRelay(RelayConfig{
		Listener: l, Servers: p.servers, Dial: new(net.Dialer).DialContext, Log: log,
		Admits:        func(netip.Addr) bool { p.mu.Lock(); defer p.mu.Unlock(); return !p.foreigners },
		IsServiceLost: func(string) bool { p.mu.Lock(); defer p.mu.Unlock(); return p.relayCut },
	})
	t.Cleanup(p.relay.Close)
	p.dialer = NewDialer(DialerConfig{Daemon: "127.0.0.1:1", DataCentre: "a", Servers: p.servers, Dial: p.dial, Log: log, Timers: service})
	p.peerDial = p.dialer.dialPeer
	p.dialer.dialPeer = p.dialPeer
	p.dialer.SetPeers("control", []Peer{{Daemon: gypsumshelf.DaemonID(l.Addr().String()), DataCentre: "a"}})
	return p
}

func (p *pair) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	cut := p.cut
	if p.dials++; p.lossy && p.dials%2 == 0 {
		cut = nil
	}
	delay, held := p.delay, p.held
	p.mu.Unlock()
	time.Sleep(delay)
	if held != nil {
		<-held.asked
		ctx = context.WithoutCancel(ctx) // however late the other daemon is asked
	}
	if cut == nil {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	if errors.Is(cut, context.DeadlineExceeded) {
		<-ctx.Done()
	}
	return nil, cut
}

func (p *pair) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	held := p.held
	if p.silences > 0 {
		p.silences--
		address = p.silent.address()
	}
	p.mu.Unlock()
	if held == nil {
		return p.peerDial(ctx, network, address)
	}
	held.at = time.Now()
	close(held.asked)
	<-ctx.Done()
	return nil, ctx.Err()
}

// assertDirect checks that a connection is made directly, and that another daemon is asked
// only for want of a direct one within hedgeDelay, which may happen on a busy machine.
func (p *pair) assertDirect(t *testing.T, b *backend) {
	t.Helper()
	held := &heldDial{asked: make(chan struct{})}
	p.hold(held)
	defer p.hold(nil)
	start := time.Now()
	relayed := IsRelayed(p.connect(t, b))
	<-held.asked
	if after := held.at.Sub(start); after < hedgeDelay {
		t.Errorf("another daemon is asked after %v, want at least %v", after, hedgeDelay)
	}
	if relayed {
		t.Error("the connection is relayed")
	}
}

func (p *pair) hold(held *heldDial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
}

func (p *pair) setCut(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = err
}

func (p *pair) connect(t *testing.T, b *backend) net.Conn {
	t.Helper()
	return p.connectTo(t, Target{Address: b.address(), Service: "s", NewWork: true, Lifetime: 10 * time.Second})
}

func (p *pair) connectTo(t *testing.T, target Target) net.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := p.dialer.Dial(ctx, target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func (p *pair) connectError(b *backend) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := p.dialer.Dial(ctx, Target{Address: b.address(), Service: "s", NewWork: true})
	if err == nil {
		conn.Close()
	}
	return err
}

// Guards against bytes that are lost or changed on the way, and against an end of the
// connection that looks like another one: an answer that is cut must not look whole.
func TestRelayedConnection(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<14)
	respond := func(end func(net.Conn)) func(net.Conn) {
		return func(conn net.Conn) {
			defer conn.Close() // also keeps it from being closed by the garbage collector
			if _, err := io.ReadFull(conn, make([]byte, 4)); err != nil {
				return
			}
			if _, err := conn.Write(body); err == nil {
				end(conn)
			}
		}
	}
	reset := func(conn net.Conn) {
		time.Sleep(200 * time.Millisecond) // the bytes are read before
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	for _, c := range []struct {
		name string
		end  func(*pair, net.Conn)
		want error // of the read at the end, nil for a clean end
	}{
		{"the server closes", func(_ *pair, conn net.Conn) { conn.Close() }, nil},
		{"the server resets", func(_ *pair, conn net.Conn) { reset(conn) }, syscall.ECONNRESET},
		{"the relay ends", func(p *pair, _ net.Conn) { time.Sleep(200 * time.Millisecond); p.relay.Close() }, errRelayLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p *pair
			b := newBackend(t, respond(func(conn net.Conn) { c.end(p, conn) }))
			p = newPair(t, b.address())
			p.setCut(syscall.ECONNREFUSED)
			conn := p.connect(t, b)
			if !IsRelayed(conn) {
				t.Fatal("the connection is direct")
			}
			if _, err := conn.Write([]byte("ping")); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if !bytes.Equal(got, body) || !errors.Is(err, c.want) {
				t.Errorf("got %d bytes and error %v, want %d and %v", len(got), err, len(body), c.want)
			}
			if err != nil && errors.Is(err, io.EOF) {
				t.Errorf("error %v counts as a regular end", err)
			}
		})
	}
}

// Guards against relays that count as failed because the direct way was faster.
func TestFasterWayDoesNotBlameTheRelay(t *testing.T) {
	b := newBackend(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	p := newPair(t, b.address())
	silent := newBackend(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }) // never answers
	peer := Peer{Daemon: gypsumshelf.DaemonID(silent.address()), DataCentre: "a"}
	p.dialer.SetPeers("control", []Peer{peer})
	p.dialer.mu.Lock()
	p.dialer.paths.RecordLoss(time.Now(), Target{Address: b.address(), Service: "s"}) // suspect: both ways start at once
	p.dialer.mu.Unlock()
	p.mu.Lock()
	p.delay = 50 * time.Millisecond
	p.mu.Unlock()
	if IsRelayed(p.connect(t, b)) {
		t.Fatal("the connection is relayed")
	}
	time.Sleep(100 * time.Millisecond)
	p.dialer.mu.Lock()
	defer p.dialer.mu.Unlock()
	if p.dialer.peers.inBackoff(time.Now(), peer, "s") {
		t.Error("the relay is in backoff")
	}
}

// Guards against work that goes on at a server after its caller has left.
func TestClosingARelayedConnectionReachesTheServer(t *testing.T) {
	closed := make(chan struct{})
	b := newBackend(t, func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn) // until it is closed
		close(closed)
	})
	p := newPair(t, b.address())
	p.setCut(syscall.ECONNREFUSED)
	p.connect(t, b).Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection to the server stays open")
	}
}

// Guards against an answer that is lost when its server answers before it has read a
// long request, and closes.
func TestEarlyAnswerToALongRequestArrives(t *testing.T) {
	b := newBackend(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "early")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(300 * time.Millisecond)
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	})
	p := newPair(t, b.address())
	p.setCut(syscall.ECONNREFUSED)
	conn := p.connect(t, b)
	go func() { _, _ = conn.Write(make([]byte, 4<<20)) }()
	if got, err := io.ReadAll(conn); string(got) != "early" || err != nil {
		t.Errorf("got %q and error %v, want early", got, err)
	}
}

// Guards against a relay that discards an answer by closing its connection to the server
// once the rest of the request cannot be sent.
func TestAnswerBeforeAResetArrives(t *testing.T) {
	const tries = 200
	b := newBackend(t, func(conn net.Conn) {
		defer conn.Close() // resets, since the rest of the request was not read
		if _, err := io.ReadFull(conn, make([]byte, 1<<16)); err == nil {
			_, _ = io.WriteString(conn, "early")
		}
	})
	p := newPair(t, b.address())
	p.setCut(syscall.ECONNREFUSED)
	lost := 0
	for range tries {
		conn := p.connect(t, b)
		go func() { _, _ = conn.Write(make([]byte, 1<<20)) }()
		if got, err := io.ReadAll(conn); string(got) != "early" || IsRelayLost(err) {
			lost++
		}
		conn.Close()
	}
	if lost > 0 {
		t.Errorf("%d of %d answers were lost", lost, tries)
	}
}

// Guards against a server that counts as out of reach because the only relay, on a busy
// host, did not answer in time once; and against relays that are asked without end.
func TestSilentRelayIsAskedAgainOnce(t *testing.T) {
	for name, c := range map[string]struct {
		silences int
		relayed  bool
	}{"silent once": {1, true}, "silent twice": {2, false}} {
		t.Run(name, func(t *testing.T) {
			idle := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
			b := newBackend(t, idle)
			p := newPair(t, b.address())
			p.setCut(syscall.ECONNREFUSED)
			p.mu.Lock()
			p.silences, p.silent = c.silences, newBackend(t, idle)
			p.mu.Unlock()
			if err := p.connectError(b); (err == nil) != c.relayed {
				t.Errorf("error %v, want a connection: %v", err, c.relayed)
			}
		})
	}
}

// Guards against a sound path that is given up for a server which is down or silent, and
// against servers that count as ended because one daemon cannot reach them.
func TestOtherDaemonsDecideWhatAFailureMeans(t *testing.T) {
	idle := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
	t.Run("the server is down", func(t *testing.T) {
		b := newBackend(t, idle)
		p := newPair(t, b.address())
		b.listener.Close()
		for range 3 * lossesOfPath {
			if err := p.connectError(b); !errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrNoPath) {
				t.Errorf("error %v, want that the server refuses", err)
			}
		}
		if p.dialer.IsLost(Target{Address: b.address(), Service: "s"}) {
			t.Error("the path to a server that is down counts as lost")
		}
	})
	t.Run("the server is down and the path is cut", func(t *testing.T) {
		b := newBackend(t, idle)
		p := newPair(t, b.address())
		b.listener.Close()
		p.setCut(context.DeadlineExceeded)
		if err := p.connectError(b); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("error %v, want that the server refuses", err)
		}
	})
	t.Run("the path is cut here", func(t *testing.T) {
		b := newBackend(t, idle)
		p := newPair(t, b.address())
		p.setCut(syscall.ECONNREFUSED)
		target := Target{Address: b.address(), Service: "s"}
		if !p.dialer.Check(context.Background(), target) {
			t.Error("the check does not see that the path is lost")
		}
		p.connect(t, b)
		// Both ways are tried at once, so that the other daemon may be faster than the failure.
		awaitTrue(t, "the path counts as lost", func() bool { return p.dialer.IsLost(target) })
		p.setCut(nil)
		for deadline := time.Now().Add(10 * time.Second); p.dialer.IsLost(target); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the path is not regained within 10 s")
			}
		}
		p.assertDirect(t, b)
	})
	t.Run("the path is lossy everywhere", func(t *testing.T) {
		b, other := newBackend(t, idle), newBackend(t, idle)
		p := newPair(t, b.address(), other.address())
		p.setCut(syscall.ECONNREFUSED)
		p.connect(t, b)
		p.connect(t, other)
		awaitTrue(t, "the path counts as lost", func() bool { return p.dialer.IsServiceLost("s") })
		p.mu.Lock()
		p.relayCut, p.lossy = true, true
		p.mu.Unlock()
		for end := time.Now().Add((noWayRounds + 2) * probePeriod); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if p.dialer.HasNoWay("s") {
				t.Fatal("requests are refused although every second connection is made")
			}
		}
	})
	t.Run("the path is cut everywhere", func(t *testing.T) {
		b := newBackend(t, idle)
		p := newPair(t, b.address())
		p.setCut(syscall.ECONNREFUSED)
		p.mu.Lock()
		p.relayCut = true
		p.mu.Unlock()
		if err := p.connectError(b); !errors.Is(err, ErrNoPath) {
			t.Errorf("error %v, want ErrNoPath", err)
		}
	})
}

// Guards against a service that is refused for ever after a pause of the process, in which
// the lost path was forgotten but not that nobody reaches the service.
func TestServiceIsReachedAfterALongPause(t *testing.T) {
	idle := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
	b, other := newBackend(t, idle), newBackend(t, idle)
	p := newPair(t, b.address(), other.address())
	p.setCut(syscall.ECONNREFUSED)
	p.connect(t, b)
	p.connect(t, other)
	p.mu.Lock()
	p.relayCut = true
	p.mu.Unlock()
	awaitTrue(t, "the service counts as unreachable", func() bool { return p.dialer.HasNoWay("s") })
	awaitTrue(t, "no round of probes runs", func() bool { return !p.dialer.round.Swap(true) })
	p.mu.Lock()
	p.relayCut, p.cut, p.paused = false, nil, 2*pathRetention
	p.mu.Unlock()
	p.dialer.probePaths(p.now())
	p.dialer.round.Store(false)
	awaitTrue(t, "the service is reached again", func() bool { return !p.dialer.HasNoWay("s") && p.connectError(b) == nil })
}

func awaitTrue(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// Guards against hosts outside the deployment that connect to anything through a daemon,
// and against new work for servers that take none.
func TestRelayRejects(t *testing.T) {
	b := newBackend(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for _, c := range []struct {
		name   string
		set    func(*pair)
		reason string
	}{
		{"a foreign host", func(p *pair) { p.foreigners = true }, "not a daemon of the deployment"},
		{"an unknown address", func(p *pair) { p.servers.known = nil }, "no backend server is known"},
		{"new work for a server that leaves", func(p *pair) { p.servers.unusable = true }, "no new work"},
		{"anything while it stops", func(p *pair) { p.relay.Drain() }, "stopping"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(t, b.address())
			c.set(p)
			address := p.relay.cfg.Listener.Addr().String()
			_, v, err := openTunnel(context.Background(), new(net.Dialer).DialContext, address, Target{Address: b.address(), NewWork: true})
			if v != rejected || err == nil || !strings.Contains(err.Error(), c.reason) {
				t.Errorf("verdict %q with error %v, want a rejection for %q", v, err, c.reason)
			}
		})
	}
	t.Run("malformed openings", func(t *testing.T) {
		p := newPair(t, b.address())
		for _, text := range []string{"\n", "{\n", "null\n", "[]\n", `{"address":7}` + "\n", strings.Repeat("x", 1<<20), `{"address":"` + b.address() + `","lifetime-ms":-9223372036854775808}` + "\n"} {
			conn, err := net.Dial("tcp", p.relay.cfg.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
			_, _ = io.WriteString(conn, text)
			_, _ = conn.Read(make([]byte, 100)) // an answer or the end
			conn.Close()
		}
		p.setCut(syscall.ECONNREFUSED)
		p.connect(t, b) // the relay still works
	})
}

// Guards against a planned stop that cuts connections of other daemons.
func TestDrainingRelayKeepsConnections(t *testing.T) {
	b := newBackend(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	p := newPair(t, b.address())
	p.setCut(syscall.ECONNREFUSED)
	conn := p.connect(t, b)
	p.relay.Drain()
	if _, err := io.WriteString(conn, "ping"); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 4)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "ping" {
		t.Errorf("got %q and error %v, want the echo", got, err)
	}
	if n := p.relay.Active(); n != 1 {
		t.Errorf("%d connections are active, want 1", n)
	}
}
