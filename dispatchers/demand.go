package dispatchers

import "github.com/sirupsen/logrus"

// logDemandChanges logs the begin and the end of bursts of short prompts; mu is held.
func (d *Dispatcher) logDemandChanges() {
	for _, c := range d.scheduler.TakeDemandChanges() {
		log := d.cfg.Log.WithFields(logrus.Fields{
			"service": c.Service, "arrivals-per-s": c.PerSecond, "short-answers": c.ShortAnswers, "forecast-short-answers": c.Forecast,
			"engines-for-long-prompts": c.LongPromptEngines, "local": d.cfg.Local,
		})
		if c.Burst {
			log.Info("a burst of short prompts begins; long prompts with slack wait")
		} else {
			log.Info("the burst of short prompts does not rise any more; long prompts are placed again")
		}
	}
}
