package gypsumshelf

// Event is an input of the reducer: it reports something that happened outside.
type Event interface{ EventName() string }

// Effect is an output of the reducer: an action for a driver to perform.
type Effect interface{ EffectName() string }
