package servers

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Announced is the event of an announcement by a backend server.
type Announced struct {
	Announcement gypsumshelf.Announcement
	Forwarded    bool          // came from another daemon, must not be forwarded again
	Age          time.Duration // age of a forwarded announcement when it was sent
}

// Forward is the effect that passes an announcement on to the other daemons.
type Forward struct{ Announcement gypsumshelf.Announcement }

// EventName implements gypsumshelf.Event.
func (Announced) EventName() string { return "server-announced" }

// EffectName implements gypsumshelf.Effect.
func (Forward) EffectName() string { return "forward-announcement" }
