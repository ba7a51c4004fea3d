package forwards

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

// silenceShare is the multiple of its target after which a request that may run
// again is taken to another plain backend server.
const silenceShare = 2.5

const (
	// announceWait is the time for which a request waits when no backend server
	// of its service is known; they announce themselves every second or so.
	announceWait = 600 * time.Millisecond
	announcePoll = 30 * time.Millisecond
)

// runOnPlain serves a request of a service without engines.
func (d *delivery) runOnPlain(ctx context.Context) {
	for {
		k, found := d.forwarder.cfg.Fleet.Choose(d.service.Name, d.tried)
		if !found && len(d.tried) == 0 && d.now().Sub(d.arrived) < announceWait && timers.Pause(ctx, announcePoll) {
			continue
		}
		if !found {
			d.finish("no backend server of the service is left")
			return
		}
		answer, verdict, err := d.plainAttempt(ctx, k)
		d.verdict = d.verdict.Worse(verdict)
		if err == nil && answer.status < http.StatusInternalServerError {
			d.deliver(answer)
			return
		}
		if answer != nil {
			d.failed = answer
			err = fmt.Errorf("the backend server answered with status %d", answer.status)
		}
		if again, why := d.mayTryAgain(verdict); !again {
			d.finish(fmt.Sprintf("%v; %s", err, why))
			return
		}
	}
}

// plainAttempt returns the whole answer of a backend server, which may be a failure.
func (d *delivery) plainAttempt(ctx context.Context, k rosters.Known) (*wholeAnswer, gypsumshelf.Verdict, error) {
	fleet := d.forwarder.cfg.Fleet
	fleet.Begin(k)
	a, err := d.try(ctx, k, d.call(k.ID), d.plainLimit())
	defer a.close()
	var answer *wholeAnswer
	if err == nil {
		answer, err = a.whole(d.left())
	}
	if err != nil {
		outcome := outcomeOf(ctx, err)
		fleet.End(k, outcome, a.reply)
		d.attemptFailed(k.ID, outcome, err)
		return nil, a.verdict, err
	}
	outcome := schedules.Completed
	if answer.status >= http.StatusInternalServerError {
		outcome = schedules.Broken
		d.attemptFailed(k.ID, outcome, fmt.Errorf("status %d", answer.status))
	}
	fleet.End(k, outcome, a.reply)
	return answer, a.verdict, nil
}

// plainLimit returns the longest wait for the head of an answer. A request that
// may run once only is never given up before the caller's time is over.
func (d *delivery) plainLimit() time.Duration {
	if !d.route.Idempotent() || d.sent+1 >= d.route.MaxAttempts || d.route.Target == 0 {
		return d.left()
	}
	return time.Duration(silenceShare * float64(d.route.Target))
}
