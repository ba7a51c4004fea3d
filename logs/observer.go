package logs

import (
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

// Observer logs what the reducer was told and what it decided.
type Observer struct {
	log *logrus.Entry
}

// NewObserver returns an Observer that writes to log.
func NewObserver(log *logrus.Entry) *Observer { return &Observer{log: log} }

// Observe logs one step of the reducer.
func (o *Observer) Observe(_ time.Time, ev gypsumshelf.Event, effects []gypsumshelf.Effect) {
	if e, ok := ev.(attempts.Failed); ok {
		o.log.WithFields(logrus.Fields{
			KeyAttempt: e.Attempt, KeyCode: e.Failure.Code, KeyVerdict: e.Failure.Verdict.String(),
		}).Warn(e.Failure.Text)
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case attempts.Start:
			o.log.WithFields(logrus.Fields{KeyRequest: e.Request, KeyAttempt: e.Attempt, KeyServer: e.Server}).Debug("attempt started")
		case attempts.Refuse:
			o.log.WithFields(logrus.Fields{KeyRequest: e.Request, KeyCode: e.Err.Code, KeyVerdict: e.Err.Verdict.String()}).Info(e.Err.Text)
		case attempts.Finish:
			o.log.WithField(KeyRequest, e.Request).Debug("request answered in full")
		}
	}
}
