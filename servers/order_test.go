package servers

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumshelf.example/gypsumshelf"
)

var testStart = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return testStart.Add(d) }

// announcement returns an announcement of an engine with memory for 160,000 tokens.
func announcement(incarnation string, state gypsumshelf.ServerState, sequence uint64) gypsumshelf.Announcement {
	return gypsumshelf.Announcement{
		Server: "fk-01", Incarnation: incarnation, DataCentre: "wien-nord", Kind: gypsumshelf.KindEngine,
		Models: []string{"m"}, MemoryTokens: 160_000, State: state, Sequence: sequence,
	}
}

func assertReady(t *testing.T, table *Table, now time.Time, want bool) {
	t.Helper()
	if got := len(table.Ready(now, "", "m")) == 1; got != want {
		t.Fatalf("server may take new work: %v, want %v", got, want)
	}
}

// Guards against a late forwarded announcement that overrides a newer one.
func TestLateAnnouncements(t *testing.T) {
	ready, leaving := gypsumshelf.ServerReady, gypsumshelf.ServerLeaving
	for _, c := range []struct {
		name  string
		known gypsumshelf.Announcement
		late  gypsumshelf.Announcement
		ready bool
	}{
		{"ready after leaving without sequence", announcement("i1", leaving, 0), announcement("i1", ready, 0), false},
		{"ready after leaving with lower sequence", announcement("i1", leaving, 9), announcement("i1", ready, 8), false},
		{"ready after leaving with higher sequence", announcement("i1", leaving, 9), announcement("i1", ready, 10), false},
		{"starting after ready without sequence", announcement("i1", ready, 0), announcement("i1", gypsumshelf.ServerStarting, 0), true},
		{"leaving after ready with higher sequence", announcement("i1", ready, 8), announcement("i1", leaving, 9), false},
		{"leaving after ready without sequence", announcement("i1", ready, 0), announcement("i1", leaving, 0), false},
		{"older unknown incarnation", announcement("i2", leaving, 9), announcement("i1", ready, 8), false},
		{"newer incarnation", announcement("i1", leaving, 8), announcement("i2", ready, 9), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New(Config{Expiry: 3 * time.Second})
			table.Announce(at(0), c.known)
			table.AnnounceForwarded(at(time.Second), c.late, 0)
			assertReady(t, table, at(time.Second), c.ready)
		})
	}
}

// Guards against the return of a replaced incarnation, even after the newer one
// has expired.
func TestReplacedIncarnation(t *testing.T) {
	table := New(Config{Expiry: 3 * time.Second})
	table.Announce(at(0), announcement("i1", gypsumshelf.ServerReady, 0))
	table.Announce(at(time.Second), announcement("i2", gypsumshelf.ServerLeaving, 0))
	table.AnnounceForwarded(at(2*time.Second), announcement("i1", gypsumshelf.ServerReady, 0), 0)
	assertReady(t, table, at(2*time.Second), false)
	table.Expire(at(10 * time.Second))
	table.AnnounceForwarded(at(11*time.Second), announcement("i1", gypsumshelf.ServerReady, 0), 0)
	assertReady(t, table, at(11*time.Second), false)
}

// Guards against an expired server that a delayed forwarded announcement revives.
func TestForwardedAge(t *testing.T) {
	table := New(Config{Expiry: 3 * time.Second})
	table.AnnounceForwarded(at(0), announcement("i1", gypsumshelf.ServerReady, 1), 0)
	table.AnnounceForwarded(at(4*time.Second), announcement("i1", gypsumshelf.ServerReady, 2), 3500*time.Millisecond)
	assertReady(t, table, at(4*time.Second), false)
}

// Guards against new work in a data centre out of service, loss of its running
// attempts, and full load when it returns to service.
func TestDataCentreOut(t *testing.T) {
	in := true
	table := New(Config{Expiry: 3 * time.Second, InService: func(string) bool { return in }})
	table.Announce(at(0), announcement("i1", gypsumshelf.ServerReady, 0))
	warmUp(table)
	if !table.Server("fk-01").Warm() {
		t.Fatal("server is not warm after 64 completed attempts")
	}
	table.Started(at(0), "fk-01", "running", tokens(5000))
	in = false
	assertReady(t, table, at(time.Second), false)
	if n, _ := table.Server("fk-01").InFlight(); n != 1 {
		t.Fatalf("%d attempts in progress, want 1", n)
	}
	in = true
	assertReady(t, table, at(2*time.Second), true)
	assertLimit(t, table, Limit{Attempts: 1, Tokens: 10_000})
}

func tokens(n int) Work { return Work{Tokens: n, Prompt: n} }

func warmUp(table *Table) {
	for i := range 64 {
		id := gypsumshelf.AttemptID(fmt.Sprintf("w%d", i))
		table.Started(at(0), "fk-01", id, tokens(5000))
		table.Completed(at(0), id)
		table.Ended("fk-01", id)
	}
}

func assertLimit(t *testing.T, table *Table, want Limit) {
	t.Helper()
	if got := table.Server("fk-01").Limit(); got != want {
		t.Fatalf("limit is %+v, want %+v", got, want)
	}
}

// Guards against a limit that grows without completed attempts or ignores
// failures.
func TestSlowStart(t *testing.T) {
	table := New(Config{Expiry: 3 * time.Second})
	table.Announce(at(0), announcement("i1", gypsumshelf.ServerReady, 0))
	assertLimit(t, table, Limit{Attempts: 1, Tokens: 10_000})
	for i, id := range []gypsumshelf.AttemptID{"a", "b", "c"} {
		table.Started(at(0), "fk-01", id, tokens(5000))
		assertLimit(t, table, Limit{Attempts: 1 + i, Tokens: 10_000 + 5000*i})
		table.Completed(at(0), id)
		table.Ended("fk-01", id)
	}
	table.Started(at(0), "fk-01", "d", tokens(5000))
	table.Failed("d")
	assertLimit(t, table, Limit{Attempts: 2, Tokens: 12_500})
	table.Announce(at(time.Second), announcement("i2", gypsumshelf.ServerReady, 0))
	assertLimit(t, table, Limit{Attempts: 1, Tokens: 10_000})
}

// Guards against a server that turns cold and keeps its full limit, and against
// slow start caused by load alone.
func TestColdServerIsDetected(t *testing.T) {
	table := New(Config{Expiry: 3 * time.Second})
	table.Announce(at(0), announcement("i1", gypsumshelf.ServerReady, 0))
	warmUp(table)
	observe := func(i int, wait time.Duration, ahead int) {
		id := gypsumshelf.AttemptID(fmt.Sprintf("f%d", i))
		if ahead > 0 {
			table.Started(at(0), "fk-01", "ahead", tokens(ahead))
		}
		table.Started(at(0), "fk-01", id, tokens(10_000))
		table.FirstToken(at(wait), "ahead")
		table.FirstToken(at(wait), id)
		table.Ended("fk-01", id)
		table.Ended("fk-01", "ahead")
	}
	for i := range 20 {
		observe(i, time.Second, 0)
	}
	for i := range 20 {
		observe(100+i, 6*time.Second, 50_000)
	}
	if !table.Server("fk-01").Warm() {
		t.Fatal("latency caused by load alone started slow start")
	}
	for i := range 8 {
		observe(200+i, 8*time.Second, 0)
	}
	assertLimit(t, table, Limit{Attempts: 1, Tokens: 10_000})
}

func init() { _ = flag.Set("rapid.seed", strconv.Itoa(seed())) }

func seed() int {
	if n, err := strconv.Atoi(os.Getenv("GYPSUMSHELF_SEED")); err == nil {
		return n
	}
	return 1
}

// Guards against an order of duplicated and delayed announcements from several
// incarnations by which a leaving or replaced incarnation gets new work: the table
// must hold the newest announcement delivered.
func TestAnnouncementOrders(t *testing.T) {
	t.Logf("seed %d", seed())
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "announcements")
		var sent []gypsumshelf.Announcement
		incarnation, state := 1, 0
		states := []gypsumshelf.ServerState{gypsumshelf.ServerStarting, gypsumshelf.ServerReady, gypsumshelf.ServerLeaving}
		for i := range n {
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				incarnation, state = incarnation+1, 0
			} else {
				state = min(2, state+rapid.IntRange(0, 1).Draw(t, "forward"))
			}
			sent = append(sent, announcement(fmt.Sprint(incarnation), states[state], uint64(i+1)))
		}
		table := New(Config{Expiry: time.Hour})
		newest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "deliveries") {
			a := sent[rapid.IntRange(0, n-1).Draw(t, "which")]
			table.AnnounceForwarded(at(0), a, 0)
			newest = max(newest, a.Sequence)
			if got := table.Server("fk-01").Announcement(); got.Sequence != newest {
				t.Fatalf("table holds sequence %d, newest delivered is %d", got.Sequence, newest)
			}
		}
	})
}

// Guards against a dead server that looks idle and attracts new work until its
// announcement expires, and against a live one that is never used again.
func TestUnreachableServer(t *testing.T) {
	table := New(Config{Expiry: time.Minute})
	table.Announce(at(0), announcement("i", gypsumshelf.ServerReady, 1))
	table.Started(at(time.Second), "fk-01", "a.1", Work{Tokens: 1})
	assertReady(t, table, at(2*time.Second), true)
	table.Unreachable(at(2*time.Second), "a.1")
	assertReady(t, table, at(2*time.Second), false)
	table.AnnounceForwarded(at(3*time.Second), announcement("i", gypsumshelf.ServerReady, 2), 1500*time.Millisecond)
	assertReady(t, table, at(3*time.Second), false) // received before the failure
	table.Announce(at(4*time.Second), announcement("i", gypsumshelf.ServerReady, 3))
	assertReady(t, table, at(4*time.Second), true)
}
