package directories

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
)

func serverRecord(n int) rosters.Record {
	return rosters.Record{ID: gypsumshelf.ServerID(fmt.Sprintf("s-%04d", n)), Born: 1, Sequence: 1, Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:8080", n/250, n%250), DataCentre: "a", Slots: 16}
}

// fakePoller polls a publisher as a daemon does and counts the answers.
type fakePoller struct {
	publisher *Publisher
	daemon    gypsumshelf.DaemonID
	answers   atomic.Int64
	records   atomic.Int64
	stop      chan struct{}
}

func (p *fakePoller) run(t *testing.T) {
	q := PollRequest{Daemon: p.daemon, Entry: true}
	for {
		var v View
		if err := p.publisher.Poll(q, &v); err != nil {
			t.Error(err)
			return
		}
		q.Epoch, q.Cursor = v.Epoch, v.Cursor
		p.answers.Add(1)
		p.records.Add(int64(len(v.Records)))
		select {
		case <-p.stop:
			return
		default:
		}
	}
}

// Guards against answers that grow with the number of daemons times the number of
// changes. When all daemons and 1,000 backend servers had restarted, the control
// daemons of a deployment with 100 hosts spent their time on views of one record
// each, and nothing was served for 30 s.
func TestChangesInQuickSuccessionShareAnswers(t *testing.T) {
	const daemons, changes, changeInterval = 100, 500, time.Millisecond
	p := NewPublisher(discardLog())
	stop := make(chan struct{})
	pollers := make([]*fakePoller, 0, daemons)
	var wg sync.WaitGroup
	for i := range daemons {
		poller := &fakePoller{publisher: p, daemon: gypsumshelf.DaemonID(fmt.Sprint(i)), stop: stop}
		pollers = append(pollers, poller)
		wg.Go(func() { poller.run(t) })
	}
	start := time.Now()
	for i := range changes {
		p.Publish(serverRecord(i))
		time.Sleep(changeInterval)
	}
	took := time.Since(start)
	eventually(t, "every daemon has every record", func() bool {
		for _, poller := range pollers {
			if poller.records.Load() < changes {
				return false
			}
		}
		return true
	})
	close(stop)
	p.SetLeader("x", 1, nil) // answers the polls that wait
	wg.Wait()
	var answers int64
	for _, poller := range pollers {
		answers += poller.answers.Load()
	}
	// One answer in each spacing, one before the first and one after the last change,
	// and one for the end.
	spacing := viewSpacingPerDaemon * daemons
	if limit := int64(daemons) * (int64(took/spacing) + 5); answers > limit {
		t.Errorf("%d changes in %v were sent to %d daemons in %d answers, want at most %d", changes, took, daemons, answers, limit)
	}
}

// Guards against a leave or a new leader that waits for the next answer that is due.
func TestUrgentChangesAreSentAtOnce(t *testing.T) {
	for name, publish := range map[string]func(*Publisher){
		"leader": func(p *Publisher) { p.SetLeader("b", 2, nil) },
		"leave":  func(p *Publisher) { p.Publish(rosters.Record{ID: "s-0001", Born: 1, Sequence: 2, Leaving: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPublisher(discardLog())
			for i := range 1000 { // enough daemons for the longest spacing
				p.pollers[gypsumshelf.DaemonID(fmt.Sprint(i))] = poller{lastPoll: time.Now()}
			}
			p.Publish(serverRecord(1))
			var v View
			if err := p.Poll(PollRequest{Daemon: "d"}, &v); err != nil {
				t.Fatal(err)
			}
			p.Publish(serverRecord(2)) // an ordinary change waits
			publish(p)
			start := time.Now()
			if err := p.Poll(PollRequest{Daemon: "d", Epoch: v.Epoch, Cursor: v.Cursor}, &v); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(start); took > maxViewSpacing/2 {
				t.Errorf("the answer took %v, want less than %v", took, maxViewSpacing/2)
			}
		})
	}
}

// Guards against one answer with all backend servers, which takes longer than
// pollTimeout to send when all daemons ask at once.
func TestLongViewsAreSentInPages(t *testing.T) {
	const servers = 3*maxViewRecords + 7
	p := NewPublisher(discardLog())
	for i := range servers {
		p.Publish(serverRecord(i))
	}
	p.Publish(serverRecord(3)) // replaces an earlier change
	seen := map[gypsumshelf.ServerID]int{}
	q := PollRequest{Daemon: "d"}
	for range 4 {
		var v View
		if err := p.Poll(q, &v); err != nil {
			t.Fatal(err)
		}
		if len(v.Records) > maxViewRecords {
			t.Errorf("a view has %d records, want at most %d", len(v.Records), maxViewRecords)
		}
		for _, r := range v.Records {
			seen[r.ID]++
		}
		q.Epoch, q.Cursor = v.Epoch, v.Cursor
	}
	if len(seen) != servers || seen["s-0003"] != 1 {
		t.Errorf("%d backend servers arrived, one of them %d times, want %d and 1", len(seen), seen["s-0003"], servers)
	}
}

// Guards against a subscriber that asks for everything again after each lost
// connection, which overloads a publisher that was late.
func TestReconnectedSubscriberAsksForTheRest(t *testing.T) {
	p := NewPublisher(discardLog())
	address := startPublisher(t, p)
	for i := range 10 {
		p.Publish(serverRecord(i))
	}
	var d fakeDaemon
	s := subscribe(t, &d, address)
	eventually(t, "the records arrive", func() bool { return d.count() == 10 })
	d.clear()
	client, _ := s.Client(address)
	client.Close()
	p.Publish(serverRecord(10))
	eventually(t, "the new record arrives", func() bool { return d.count() > 0 })
	if n := d.count(); n != 1 {
		t.Errorf("%d records arrived after the reconnection, want 1", n)
	}
}

func (h *fakeDaemon) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}

func (h *fakeDaemon) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.records)
}
