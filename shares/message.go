package shares

import (
	"encoding/gob"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/servers"
)

// Slot is a group of backend servers that have the same owner.
type Slot uint16

// SlotEpoch is a slot with the epoch of its owner.
type SlotEpoch struct {
	Slot  Slot
	Epoch uint64
}

// Claim asks a voter to promise the sender the ownership of slots.
type Claim struct {
	Sent  int64 // sender's clock in nanoseconds, echoed in Promise
	Slots []SlotEpoch
}

// Promise answers a Claim. The voter promises the granted slots to no other
// daemon for Config.PromiseTTL.
type Promise struct {
	Sent    int64
	Granted []SlotEpoch
	Refused []SlotEpoch // with the highest epoch known to the voter
}

// Resign ends the sender's ownership of slots.
type Resign struct{ Slots []SlotEpoch }

// Leave announces that the sender is stopping. Its heartbeats may continue until
// its process ends.
type Leave struct{}

// Amount is an amount of work on a server.
type Amount struct {
	Attempts int
	Tokens   int
}

// Request requests shares of servers from their owner.
type Request struct {
	Sent  int64 // sender's clock in nanoseconds, echoed in Grant
	Items []RequestItem
}

// RequestItem is one server in a share request.
type RequestItem struct {
	Server      gypsumshelf.ServerID
	Incarnation uint32           // hash of the incarnation id
	Held        Amount           // share of the sender, in use until it expires or the answer arrives
	Running     Amount           // in progress at the sender
	Need        Amount           // smallest share with which the sender can start queued work
	Want        Amount           // share that covers the sender's whole demand
	Evidence    servers.Evidence // the sender's counts for this incarnation
}

// Grant answers a share request. A share expires Config.ShareTTL after the request
// was sent.
type Grant struct {
	Sent  int64
	Items []GrantItem
}

// GrantItem is the share of one server.
type GrantItem struct {
	Server      gypsumshelf.ServerID
	Incarnation uint32
	Epoch       uint64
	Share       Amount
	Limit       Amount // limit of the server, summed over all daemons
	// Pulse is the server's last load report known to the owner, set only in large
	// deployments, where pulses are not sent to every member. Its Server is empty.
	Pulse *servers.Pulse
}

func init() {
	// Gob sends the registered name with every message; full type names would
	// double the size of small messages.
	gob.RegisterName("shares.C", Claim{})
	gob.RegisterName("shares.P", Promise{})
	gob.RegisterName("shares.R", Resign{})
	gob.RegisterName("shares.L", Leave{})
	gob.RegisterName("shares.A", Request{})
	gob.RegisterName("shares.G", Grant{})
}

// Send is the effect that sends a payload to another daemon.
type Send struct {
	To      gypsumshelf.DaemonID
	Payload any
}

// EffectName implements gypsumshelf.Effect.
func (Send) EffectName() string { return "send-share-message" }

// Received is the event of a message from another daemon.
type Received struct {
	From    gypsumshelf.DaemonID
	Payload any
}

// EventName implements gypsumshelf.Event.
func (Received) EventName() string { return "share-message-received" }

// DaemonHeard is the event of a heartbeat or any other message from a daemon.
type DaemonHeard struct{ From gypsumshelf.DaemonID }

// HandOver is the event of a planned stop after the last attempt has ended. The
// daemon gives up its shares and its slots.
type HandOver struct{}

// EventName implements gypsumshelf.Event.
func (HandOver) EventName() string { return "hand-over" }

// EventName implements gypsumshelf.Event.
func (DaemonHeard) EventName() string { return "daemon-heard" }
