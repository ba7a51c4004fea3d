package forwards

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// memoryProtocol keeps the memory reservations of engines as engines do: each one
// ends when it is released or when its time is over.
type memoryProtocol struct {
	fakeProtocol
	report func() error // the error of a load report; nil if all are answered
	born   int64        // start that load reports name

	mu       sync.Mutex
	expiry   map[string]time.Time // by reservation ID
	reserved int                  // number of reservations and renewals
}

func newMemoryProtocol() *memoryProtocol {
	return &memoryProtocol{expiry: map[string]time.Time{}}
}

func (p *memoryProtocol) Reserve(_ context.Context, _, id string, _ int, hold time.Duration) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiry[id] = time.Now().Add(hold)
	p.reserved++
	return true, nil
}

func (p *memoryProtocol) Release(_ context.Context, _, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.expiry, id)
	return nil
}

func (p *memoryProtocol) Report(context.Context, string) (schedules.Load, error) {
	if p.report != nil {
		if err := p.report(); err != nil {
			return schedules.Load{}, err
		}
	}
	return schedules.Load{Slowdown: 1, Born: p.born}, nil
}

var errNoReport = errors.New("no answer")

// held reports whether any memory is reserved.
func (p *memoryProtocol) held() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, until := range p.expiry {
		if time.Now().Before(until) {
			return true
		}
	}
	return false
}

// reservingPlacer places the first job on e1 with memory reserved on e2, and refuses
// all later ones: the other engines are busy.
type reservingPlacer struct{ fakePlacer }

func (p *reservingPlacer) Place(ctx context.Context, job schedules.Job) (schedules.Decision, error) {
	d, err := p.fakePlacer.Place(ctx, job)
	if d.Placement != nil {
		d.Placement.Helpers = []gypsumshelf.ServerID{"e2"}
		d.Placement.Holds = []schedules.Hold{{Server: "e2", Tokens: 1000}}
		d.Placement.First = 300 * time.Millisecond
	}
	return d, err
}

// memoryFixture returns a forwarder whose first job has its primary on e1 and
// reserved memory on e2.
func memoryFixture(t *testing.T, primary func(*http.Request, string, net.Conn)) (*fixture, *memoryProtocol) {
	t.Helper()
	p := newMemoryProtocol()
	f := newFixtureWith(t, p, newFakeBackend(t, "e1", "engines", primary), newFakeBackend(t, "e2", "engines", primary))
	f.placer.engines = f.placer.engines[:1]
	f.forwarder.cfg.Placer = &reservingPlacer{fakePlacer{engines: f.placer.engines}}
	f.forwarder.SetCatalog(newCatalog(t))
	return f, p
}

// pipeMemoryFixture is memoryFixture on a pipeNetwork.
func pipeMemoryFixture(t *testing.T, primary func(*http.Request, string, net.Conn)) (*fixture, *memoryProtocol) {
	t.Helper()
	p, n := newMemoryProtocol(), newPipeNetwork()
	f := newPipeFixture(t, p, n, newFakeBackendAt(t, n.listen(), "e1", "engines", primary), newFakeBackendAt(t, n.listen(), "e2", "engines", primary))
	f.forwarder.cfg.Placer = &reservingPlacer{fakePlacer{engines: f.placer.engines[:1]}}
	return f, p
}

// silent is the handler of an engine that never answers.
func silent(_ *http.Request, _ string, _ net.Conn) {}

// Guards against memory that stays reserved at the helpers of a dead engine until the
// caller's deadline. Seen on schriftgilde-plattform-now-grown, mix --seed 266581946997:
// the primary engine went dark in its prefill, and no other engine was free.
func TestDeadPrimaryReleasesMemory(t *testing.T) {
	f, p := memoryFixture(t, silent)
	p.report = func() error { return errNoReport }
	died := time.Now()
	answer := make(chan callerResponse, 1)
	go func() { answer <- f.send("POST", "/stream/", "x", "Wait", "15000") }()
	for !p.held() {
		time.Sleep(time.Millisecond)
	}
	for p.held() {
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(died); took > testMemoryBound {
		t.Errorf("memory was reserved for %v after the engine had died, want at most %v", took, testMemoryBound)
	}
	g := <-answer
	if took := time.Since(died); g.status != http.StatusBadGateway || took > testMemoryBound+time.Second {
		t.Errorf("status is %d with error %v after %v, want %d within %v", g.status, g.err, took, http.StatusBadGateway, testMemoryBound+time.Second)
	}
}

// succeed registers a later start at the address of a backend server.
func (f *fixture) succeed(id, successor gypsumshelf.ServerID) {
	entry, _ := f.forwarder.cfg.Fleet.Get(id)
	r := entry.Record
	r.ID, r.Born, r.Sequence = successor, r.Born+1, 1
	f.forwarder.cfg.Fleet.Merge([]rosters.Record{r})
}

// Guards against memory that stays reserved for a dead engine since its successor at the
// same address answers, until the deadline of the request.
func TestSuccessorOfADeadPrimaryDoesNotKeepItsMemory(t *testing.T) {
	for _, test := range []struct {
		name string
		born int64 // of the start that answers load reports, 0 if they do not say
		id   gypsumshelf.ServerID
	}{
		{"that has announced itself", 0, "e9"},
		{"that has announced itself under the same name", 0, "e1"},
		{"that says so in its load reports", 2, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			f, p := memoryFixture(t, func(*http.Request, string, net.Conn) { arrived <- struct{}{} })
			p.born = test.born
			answer := make(chan callerResponse, 1)
			go func() { answer <- f.send("POST", "/stream/", "x", "Wait", "15000") }()
			<-arrived
			returned := time.Now()
			if test.id != "" {
				f.succeed("e1", test.id)
			}
			for p.held() && time.Since(returned) < 2*testMemoryBound {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(returned); took > testMemoryBound {
				t.Errorf("memory was reserved for %v after the engine had a successor, want at most %v", took, testMemoryBound)
			}
			assertAnswer(t, <-answer, http.StatusBadGateway, "")
		})
	}
}

// Guards against a stream that waits until its deadline for an engine that has a successor
// at its address, since no other engine is free.
func TestStreamOfAReplacedEngineEnds(t *testing.T) {
	arrived := make(chan struct{}, 1)
	f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", func(*http.Request, string, net.Conn) { arrived <- struct{}{} }))
	answer := make(chan callerResponse, 1)
	go func() { answer <- f.send("POST", "/stream/", "x", "Wait", "15000") }()
	<-arrived
	replaced := time.Now()
	f.succeed("e1", "e9")
	assertAnswer(t, <-answer, http.StatusBadGateway, "")
	if took := time.Since(replaced); took > 4*time.Second {
		t.Errorf("the request ended %v after its engine was replaced, want less than its time of 5s", took)
	}
}

// Guards against renewals that reserve memory at the successor of a helper, where no request
// uses it.
func TestNoMemoryIsReservedAtTheSuccessorOfAHelper(t *testing.T) {
	f, p := memoryFixture(t, func(r *http.Request, _ string, conn net.Conn) {
		time.Sleep(3 * reservationRenewPeriod)
		writeEvents(r, conn, 1, 3)
		endChunkedBody(conn)
	})
	answer := make(chan callerResponse, 1)
	go func() { answer <- f.send("POST", "/stream/", "x", "Wait", "15000") }()
	for !p.held() {
		time.Sleep(time.Millisecond)
	}
	f.succeed("e2", "e8")
	assertAnswer(t, <-answer, http.StatusOK, eventText(1, 3))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved != 1 {
		t.Errorf("%d reservations and renewals reached the address, want 1 before it had a successor", p.reserved)
	}
}

// Guards against giving up an engine that is slow but lives: it sends nothing for
// longer than the bound and answers load reports.
func TestSlowPrimaryKeepsItsMemory(t *testing.T) {
	pause := testMemoryBound + 500*time.Millisecond
	f, p := memoryFixture(t, func(r *http.Request, _ string, conn net.Conn) {
		time.Sleep(pause)
		writeEvents(r, conn, 1, 3)
		endChunkedBody(conn)
	})
	begin := time.Now()
	var gaps atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				if since := time.Since(begin); since > 200*time.Millisecond && since < pause && !p.held() {
					gaps.Add(1)
				}
			}
		}
	})
	assertAnswer(t, f.send("POST", "/stream/", "x", "Wait", "15000"), http.StatusOK, eventText(1, 3))
	close(done)
	wg.Wait()
	if gaps.Load() > 0 {
		t.Error("the memory of a live engine was not reserved all the time")
	}
	if p.held() {
		t.Error("memory is still reserved after the end of the request")
	}
}

// Guards against a live engine that is given up because some of its load reports are
// late or lost.
func TestSomeLostReportsChangeNothing(t *testing.T) {
	f, p := memoryFixture(t, func(r *http.Request, _ string, conn net.Conn) {
		time.Sleep(testMemoryBound * 11 / 10)
		writeEvents(r, conn, 1, 3)
		endChunkedBody(conn)
	})
	begin := time.Now()
	p.report = func() error {
		// Silent for a little over half of the bound, then heard again.
		if phase := time.Since(begin) / (testMemoryBound * 6 / 10); phase == 0 || phase == 2 {
			return errNoReport
		}
		return nil
	}
	assertAnswer(t, f.send("POST", "/stream/", "x", "Wait", "15000"), http.StatusOK, eventText(1, 3))
}

// Guards against a live engine that is given up because this daemon did not run for a
// time: the engine was not asked then.
func TestPausedDaemonKeepsLiveEngines(t *testing.T) {
	for _, test := range []struct {
		name  string
		lost  time.Duration // at the beginning no load report is answered
		pause time.Duration // of this daemon, after that
	}{
		{"some lost reports, then a pause", testMemoryBound * 6 / 10, time.Second},
		{"a pause only", 0, testMemoryBound},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p := pipeMemoryFixture(t, func(r *http.Request, _ string, conn net.Conn) {
					time.Sleep(testMemoryBound * 12 / 10)
					writeEvents(r, conn, 1, 3)
					endChunkedBody(conn)
				})
				begin, paused := time.Now(), false
				p.report = func() error {
					switch since := time.Since(begin); {
					case since < test.lost-livenessProbePeriod/2:
						return errNoReport
					case !paused:
						paused = true
						time.Sleep(test.pause)
						return context.DeadlineExceeded
					}
					return nil
				}
				assertAnswer(t, f.send("POST", "/stream/", "x", "Wait", "15000"), http.StatusOK, eventText(1, 3))
			})
		})
	}
}

// Guards against memory that stays reserved after the bound because this daemon did not
// run for a time: the reservations end by themselves.
func TestPausedDaemonReleasesMemoryOfDeadEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p := pipeMemoryFixture(t, silent)
		begin, paused := time.Now(), false
		p.report = func() error {
			if time.Since(begin) > testMemoryBound/2 && !paused {
				paused = true
				time.Sleep(time.Second)
			}
			return context.DeadlineExceeded
		}
		answer := make(chan callerResponse, 1)
		go func() { answer <- f.send("POST", "/stream/", "x", "Wait", "15000") }()
		time.Sleep(testMemoryBound)
		if p.held() {
			t.Errorf("memory is reserved %v after the engine had died", testMemoryBound)
		}
		assertAnswer(t, <-answer, http.StatusBadGateway, "")
	})
}
