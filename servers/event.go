package servers

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Announced is the event of an announcement by a backend server.
type Announced struct {
	Announcement gypsumshelf.Announcement
	Forwarded    bool          // received from another daemon, must not be forwarded again
	Age          time.Duration // age of a forwarded announcement when it was sent
}

// EventName implements gypsumshelf.Event.
func (Announced) EventName() string { return "server-announced" }
