package controls

import (
	"context"
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

func (p *quarantineProposal) commit(q crashes.Quarantine) (err error) {
	ctx := context.Background()
	for range quarantineTries {
		if err = p.daemon.Propose(ctx, catalogs.Command{Action: catalogs.QuarantineCause, Quarantine: q}); err == nil {
			return nil
		}
		timers.Sleep(ctx, quarantineRetryDelay)
	}
	return err
}
