package controls

import (
	"context"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// quarantineTries bounds the attempts to commit a quarantine, which take up to
// proposeTimeout each. A later leader finds the prompt part by itself.
const quarantineTries = 5

// quarantineProposal commits quarantines, so that all daemons refuse the prompt parts
// also while there is no leader or after a restart.
type quarantineProposal struct {
	daemon      *Daemon
	quarantines []schedules.Quarantine
}

// quarantine starts to commit quarantines that the scheduler of this daemon found.
func (d *Daemon) quarantine(quarantines []schedules.Quarantine) {
	go (&quarantineProposal{daemon: d, quarantines: quarantines}).run()
}

func (p *quarantineProposal) run() {
	for _, q := range p.quarantines {
		log := p.daemon.cfg.Log.WithFields(logrus.Fields{"prompt-part": q.Part, "until": q.Until})
		log.Warn("a part of prompts crashes the engines that answer it; requests with it are refused")
		if err := p.commit(q); err != nil {
			log.WithError(err).Error("a quarantine could not be committed; it is in force on this daemon only")
		}
	}
}

func (p *quarantineProposal) commit(q schedules.Quarantine) (err error) {
	for range quarantineTries {
		if err = p.daemon.Propose(context.Background(), catalogs.Command{Action: catalogs.Isolate, Quarantine: q}); err == nil {
			return nil
		}
	}
	return err
}
