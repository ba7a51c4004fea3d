package servers

import "gypsumshelf.example/gypsumshelf"

// Announced is the event of an announcement by a backend server.
type Announced struct {
	Announcement gypsumshelf.Announcement
	Forwarded    bool // came from another daemon, must not be forwarded again
}

// Forward is the effect that passes an announcement on to the other daemons.
type Forward struct{ Announcement gypsumshelf.Announcement }

// EventName implements gypsumshelf.Event.
func (Announced) EventName() string { return "server-announced" }

// EffectName implements gypsumshelf.Effect.
func (Forward) EffectName() string { return "forward-announcement" }
