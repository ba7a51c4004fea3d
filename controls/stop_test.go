package controls

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// pendingCall is a call to a daemon that stops while it waits.
type pendingCall struct {
	call func(context.Context) error
	err  error
	done chan struct{}
}

func (c *pendingCall) run() {
	c.err = c.call(context.Background())
	close(c.done)
}

// assertStopped checks that a call has ended because of the stop, and soon.
func (c *pendingCall) assertStopped(t *testing.T, stopped time.Time) {
	t.Helper()
	<-c.done
	if took := time.Since(stopped); took > 200*time.Millisecond || !errors.Is(c.err, ErrStopping) {
		t.Errorf("the call ended after %v with %v, want %v at once", took, c.err, ErrStopping)
	}
}

// Guards against calls that wait for a daemon which has stopped until their time is up,
// and against acknowledgements of what is lost with it.
func TestStopEndsPendingCalls(t *testing.T) {
	leave := rosters.Record{ID: "s1", Born: 1, Sequence: 1, Service: "x", Address: "127.0.0.1:1", DataCentre: "a", Leaving: true}
	for name, call := range map[string]func(*Daemon, context.Context) error{
		"read": func(d *Daemon, ctx context.Context) error {
			_, err := d.ReadState(ctx)
			return err
		},
		"change": func(d *Daemon, ctx context.Context) error {
			return d.Propose(ctx, catalogs.Command{Action: catalogs.TakeOut, DataCentre: "a"})
		},
		"leave": func(d *Daemon, ctx context.Context) error { return d.Announce(ctx, leave) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			for _, h := range c.hosts {
				c.start(h, true)
			}
			c.put(1)
			c.awaitVoters()
			leader := c.leader()
			for _, h := range c.hosts {
				if h != leader {
					h.kill()
				}
			}
			var v directories.View
			if err := leader.daemon.publisher.Poll(directories.PollRequest{Daemon: "mute"}, &v); err != nil {
				t.Fatal(err)
			}
			d := leader.daemon
			pending := &pendingCall{call: func(ctx context.Context) error { return call(d, ctx) }, done: make(chan struct{})}
			d.stopping.Store(true)
			go pending.run()
			time.Sleep(50 * time.Millisecond)
			stopped := time.Now()
			var wg sync.WaitGroup
			wg.Go(leader.kill)
			pending.assertStopped(t, stopped)
			wg.Wait()
			late := &pendingCall{call: pending.call, done: make(chan struct{})}
			go late.run()
			late.assertStopped(t, time.Now())
		})
	}
}

// Guards against a forwarded change whose daemon takes the stop of the leader for its loss.
func TestStopAnswersForwardedChanges(t *testing.T) {
	c := newCluster(t, 3)
	for _, h := range c.hosts {
		c.start(h, true)
	}
	c.put(1)
	c.awaitVoters()
	leader := c.leader()
	client, err := rpc.Dial("tcp", leader.directoryAddress(c.port))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for _, h := range c.hosts {
		if h != leader {
			h.kill()
		}
	}
	change := catalogs.Command{Action: catalogs.TakeOut, DataCentre: "a"}
	call := client.Go(ServiceName+".Propose", change, &struct{}{}, make(chan *rpc.Call, 1))
	time.Sleep(50 * time.Millisecond)
	leader.kill()
	<-call.Done
	if call.Error == nil || call.Error.Error() != ErrStopping.Error() {
		t.Errorf("the change ended with %v, want %v", call.Error, ErrStopping)
	}
}
