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

// Claim asks a voter to support the sender as the owner of slots.
type Claim struct {
	Sent  int64 // sender's clock in nanoseconds, returned by Promise
	Slots []SlotEpoch
}

// Promise answers a Claim. The voter supports no other owner of the granted
// slots for Config.Promise.
type Promise struct {
	Sent    int64
	Granted []SlotEpoch
	Refused []SlotEpoch // with the highest epoch that the voter knows
}

// Resign ends the sender's ownership of slots.
type Resign struct{ Slots []SlotEpoch }

// Leave tells the other daemons that the sender stops. Its heartbeats may go on
// until its process ends.
type Leave struct{}

// Amount is an amount of work on a server.
type Amount struct {
	Attempts int
	Tokens   int
}

// Ask asks the owner for shares of servers.
type Ask struct {
	Sent  int64 // sender's clock in nanoseconds, returned by Grant
	Items []RequestItem
}

// RequestItem is one server in an Ask.
type RequestItem struct {
	Server      gypsumshelf.ServerID
	Incarnation uint32 // hash of the incarnation id
	Held        Amount // share of the sender, in use until it expires or the answer arrives
	Running     Amount // in progress at the sender
	Need        Amount // smallest share with which the sender can start work that waits
	Want        Amount
	Evidence    servers.Evidence // counts of the sender for this incarnation
}

// Grant answers an Ask. A share lasts Config.Share from the time at which the
// Ask was sent.
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
	// Pulse is the owner's last report of the server where daemons are too many
	// to send pulses to every member; its Server is left out.
	Pulse *servers.Pulse
}

func init() {
	// Gob sends the name with every message; the full type names would double
	// the size of the small ones.
	gob.RegisterName("shares.C", Claim{})
	gob.RegisterName("shares.P", Promise{})
	gob.RegisterName("shares.R", Resign{})
	gob.RegisterName("shares.L", Leave{})
	gob.RegisterName("shares.A", Ask{})
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

// Heard is the event of any other sign of life of a daemon.
type Heard struct{ From gypsumshelf.DaemonID }

// HandOver is the event of a planned stop after the last attempt has ended: the
// daemon gives up its shares and its ownership.
type HandOver struct{}

// EventName implements gypsumshelf.Event.
func (HandOver) EventName() string { return "hand-over" }

// EventName implements gypsumshelf.Event.
func (Heard) EventName() string { return "daemon-heard" }
