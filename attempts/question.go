package attempts

import "gypsumshelf.example/gypsumshelf"

// Question is the message that asks another daemon to explain a request.
type Question struct {
	Ticket  uint64 // identifies the question on the daemon that asks
	Request gypsumshelf.RequestID
}

// Explanation is the message that answers a Question. A daemon that does not know
// the request sends none.
type Explanation struct {
	Ticket uint64
	Notes  []Note
}

// Asked is the event of a Question from another daemon.
type Asked struct {
	From     gypsumshelf.DaemonID
	Question Question
}

// Explain is the effect that sends an Explanation.
type Explain struct {
	To          gypsumshelf.DaemonID
	Explanation Explanation
}

// EventName implements gypsumshelf.Event.
func (Asked) EventName() string { return "explanation-asked" }

// EffectName implements gypsumshelf.Effect.
func (Explain) EffectName() string { return "send-explanation" }
