package logs

import (
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

// ObserverConfig configures an Observer.
type ObserverConfig struct {
	Log      *logrus.Entry
	Revision func() gypsumshelf.Revision // of the current configuration; called on the event loop
}

// Observer logs events and effects of the reducer.
type Observer struct {
	cfg             ObserverConfig
	serverByAttempt map[gypsumshelf.AttemptID]gypsumshelf.ServerID // of attempts in progress
}

// NewObserver returns an Observer without attempts in progress.
func NewObserver(cfg ObserverConfig) *Observer {
	return &Observer{cfg: cfg, serverByAttempt: map[gypsumshelf.AttemptID]gypsumshelf.ServerID{}}
}

// Observe logs one step of the reducer: an event and its effects.
func (o *Observer) Observe(_ time.Time, ev gypsumshelf.Event, effects []gypsumshelf.Effect) {
	switch e := ev.(type) {
	case attempts.Ended:
		delete(o.serverByAttempt, e.Attempt)
	case attempts.Failed:
		o.log().WithFields(logrus.Fields{
			KeyAttempt: e.Attempt, KeyServer: o.serverByAttempt[e.Attempt], KeyCode: e.Failure.Code, KeyVerdict: e.Failure.Verdict.String(),
		}).Warn(e.Failure.Text)
		delete(o.serverByAttempt, e.Attempt)
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case attempts.Start:
			o.serverByAttempt[e.Attempt] = e.Server
			o.log().WithFields(logrus.Fields{KeyRequest: e.Request, KeyAttempt: e.Attempt, KeyServer: e.Server}).Debug("attempt started")
		case attempts.Cancel:
			delete(o.serverByAttempt, e.Attempt)
		case attempts.Refuse:
			o.log().WithFields(logrus.Fields{KeyRequest: e.Request, KeyCode: e.Err.Code, KeyVerdict: e.Err.Verdict.String()}).Info(e.Err.Text)
		case attempts.Finish:
			o.log().WithField(KeyRequest, e.Request).Debug("request answered completely")
		}
	}
}

func (o *Observer) log() *logrus.Entry { return o.cfg.Log.WithField(KeyRevision, o.cfg.Revision()) }
