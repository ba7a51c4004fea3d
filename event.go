package gypsumshelf

// Event is an input of the reducer: something that happened outside it.
type Event interface{ EventName() string }

// Effect is an output of the reducer: something that a driver must do.
type Effect interface{ EffectName() string }
