package placements

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Report is the message with which a daemon sends the leader its demand for
// each model, in prompt tokens per second.
type Report struct{ Tokens map[string]float64 }

// Reported is the event of a received Report.
type Reported struct {
	From   gypsumshelf.DaemonID
	Report Report
}

// SendReport is the effect that sends a Report to the leader.
type SendReport struct {
	To     gypsumshelf.DaemonID
	Report Report
}

// SendOrder is the effect that sends an order to its engine.
type SendOrder struct {
	Address  string
	Order    Order
	Fencing  uint64
	NotAfter time.Time // end of the freshness lease; the order must not be sent later
}

// EventName implements gypsumshelf.Event.
func (Reported) EventName() string { return "demand-reported" }

// EffectName implements gypsumshelf.Effect.
func (SendReport) EffectName() string { return "send-demand-report" }

// EffectName implements gypsumshelf.Effect.
func (SendOrder) EffectName() string { return "send-order" }
