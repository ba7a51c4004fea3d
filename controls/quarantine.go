package controls

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// quarantineTries bounds the attempts to commit a quarantine. A later leader finds
	// the cause by itself, with what the entry daemons hand over.
	quarantineTries = 5
	// quarantineRetryDelay is the time in which a new leader is elected.
	quarantineRetryDelay = time.Second
)

// quarantineProposal commits quarantines, so that all daemons refuse their requests
// also while there is no leader or after a restart.
type quarantineProposal struct {
	daemon      *Daemon
	quarantines []crashes.Quarantine
}

// quarantine starts to commit quarantines that the scheduler of this daemon found.
func (d *Daemon) quarantine(quarantines []crashes.Quarantine) {
	go (&quarantineProposal{daemon: d, quarantines: quarantines}).run()
}

func (p *quarantineProposal) run() {
	for _, q := range p.quarantines {
		log := p.daemon.cfg.Log.WithFields(logrus.Fields{"crash-cause": q.Cause, "until": q.Until})
		log.Warn("a request or a prompt part crashes backend servers; requests with it are refused")
		if err := p.commit(q); err != nil {
			log.WithError(err).Error("a quarantine could not be committed; it is in force on this daemon only")
		}
	}
}

func (p *quarantineProposal) commit(q crashes.Quarantine) error {
	return tryRepeatedly(func(ctx context.Context) error {
		return p.daemon.Propose(ctx, catalogs.Command{Action: catalogs.QuarantineCause, Quarantine: q})
	})
}

// tryRepeatedly returns the error of the last try to change a quarantine, nil once one succeeds.
func tryRepeatedly(try func(context.Context) error) (err error) {
	ctx := context.Background()
	for range quarantineTries {
		if err = try(ctx); err == nil {
			return nil
		}
		timers.Sleep(ctx, quarantineRetryDelay)
	}
	return err
}

// refutation lifts quarantines that turned out to be wrong, on all daemons.
type refutation struct {
	state QuarantineState
	lifts []crashes.Lift
	log   *logrus.Entry
}

// liftRefuted starts to lift quarantines that the scheduler of this daemon has refuted.
func (d *Daemon) liftRefuted(lifts []crashes.Lift) {
	go (&refutation{state: d, lifts: lifts, log: d.cfg.Log}).run()
}

func (r *refutation) run() {
	for _, l := range r.lifts {
		log := r.log.WithField("crash-cause", l.Cause)
		log.Warn("requests with a quarantined cause run without harm to their backend servers; the quarantine is lifted")
		if err := r.lift(l); err != nil {
			log.WithError(err).Error("a quarantine that turned out to be wrong could not be lifted")
		}
	}
}

// errNoQuarantine is the error of a lift without a quarantine. It may be committed yet.
var errNoQuarantine = errors.New("no quarantine of this cause is in force")

func (r *refutation) lift(l crashes.Lift) error {
	err := tryRepeatedly(func(ctx context.Context) error { return r.tryLift(ctx, l) })
	if errors.Is(err, errNoQuarantine) {
		return nil
	}
	return err
}

func (r *refutation) tryLift(ctx context.Context, l crashes.Lift) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	s, err := r.state.ReadState(ctx)
	if err != nil {
		return err
	}
	// A later quarantine of the cause has evidence of its own.
	refuted := func(q crashes.Quarantine) bool {
		return q.Cause == l.Cause && !q.Until.After(l.At.Add(crashes.QuarantineTime))
	}
	if !slices.ContainsFunc(s.Quarantines, refuted) {
		return errNoQuarantine
	}
	return r.state.ProposeOrder(ctx, catalogs.Command{Action: catalogs.LiftQuarantine, Lift: l})
}
