package dispatchers

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"gypsumshelf.example/gypsumshelf/paces"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

// newPacingLeader returns a leader that finds out the pace of servers.
func newPacingLeader(t *testing.T) *leader {
	t.Helper()
	service := timers.New(timers.Config{})
	t.Cleanup(service.Close)
	l := &leader{Dispatcher: New(Config{Log: discardLog(), Timers: service, Policy: schedules.Policy{FindPace: true}})}
	l.SetActive(true)
	l.address, _ = serveDispatcher(t, l.Dispatcher)
	return l
}

// Guards against a change of phase that is not logged, and against one that each entry daemon
// logs although it does not schedule.
func TestPaceChangesAreLogged(t *testing.T) {
	for _, local := range []bool{false, true} {
		service := timers.New(timers.Config{})
		t.Cleanup(service.Close)
		log, hook := test.NewNullLogger()
		d := New(Config{Log: logrus.NewEntry(log), Timers: service, Local: local, Policy: schedules.Policy{FindPace: true}})
		d.SetActive(true)
		_, err := d.Admit(schedules.AdmissionRequest{Servers: []schedules.ServerLimit{
			{Server: "p1", Born: time.Now().UnixMilli(), Age: time.Hour, Pace: &schedules.ServerPace{Slots: 4, AnswerTime: time.Second}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		d.tick(service.Now())
		logged := 0
		for _, entry := range hook.AllEntries() {
			if entry.Data["phase"] == "starting" && entry.Data["reason"] == paces.ReasonStarted {
				logged++
			}
		}
		if want := map[bool]int{false: 1, true: 0}[local]; logged != want {
			t.Errorf("local %v: %d lines about the start of a server, want %d", local, logged, want)
		}
	}
}

// Guards against daemons that raise the load of a started server each for itself, and
// against answers that the leader does not hear of.
func TestPaceIsSharedByDaemons(t *testing.T) {
	l := newPacingLeader(t)
	one, two := newClient(t, l.address), newClient(t, l.address)
	one.SetLeader(l.address, 1)
	two.SetLeader(l.address, 1)
	pace := schedules.ServerPace{Slots: 4, AnswerTime: time.Second}
	born := time.Now().UnixMilli()
	server := schedules.ServerLimit{Server: "p1", Born: born, Age: time.Hour, Pace: &pace}
	time.Sleep(10 * time.Millisecond)
	if n := admissions(t, one, server, 5) + admissions(t, two, server, 5); n != 1 {
		t.Errorf("%d requests of two daemons admitted at once after the start, want 1", n)
	}
	for range 2 {
		two.ReportAnswer(schedules.ServerAnswer{Server: "p1", Born: born, Pace: pace, Admitted: true, Outcome: schedules.Completed})
	}
	for begin := time.Now(); l.PaceCounts()[paces.Steady] != 1; time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatalf("the paces are %v, want one that is steady", l.PaceCounts())
		}
	}
	if n := admissions(t, one, server, 10); n != 10 {
		t.Errorf("%d of 10 requests admitted to a steady server", n)
	}
}

// Guards against a leader that does not know of paces and takes the question for room on a
// started server for the end of a limit.
func TestOlderLeaderKeepsLimits(t *testing.T) {
	l := newLeader(t)
	c := newClient(t, l.address)
	c.SetLeader(l.address, 1)
	now := time.Now().UnixMilli()
	admissions(t, c, schedules.ServerLimit{Server: "p1", Born: now, Named: true, PerSecond: 1}, 1)
	started := schedules.ServerLimit{Server: "p1", Born: now, Age: time.Hour, Pace: &schedules.ServerPace{Slots: 4, AnswerTime: time.Second}}
	if n := admissions(t, c, started, 10); n > 0 {
		t.Errorf("%d requests admitted beyond the limit of a server", n)
	}
}
