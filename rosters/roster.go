// Package rosters stores the newest record of each backend server. Records may
// arrive late, repeatedly and through several daemons, so they are ordered by
// the start time of the backend server and by a sequence number.
package rosters

import (
	"cmp"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Record describes the state of one start of a backend server. It comes from an
// announcement of the backend server, or from a daemon that noticed a change.
type Record struct {
	ID          gypsumshelf.ServerID
	Born        int64  // start of the backend server, in ms since 1970
	Sequence    uint64 // grows with each announcement of one start
	Service     string
	Address     string // IP:PORT
	DataCentre  string
	Slots       int
	Leaving     bool          // takes no new work
	Gone        bool          // has ended, or is about to
	SaidLeaving bool          // has said in an answer that it leaves; later announcements of this start do not end it
	Cold        time.Duration // remaining time until it is warm, from the arrival of the record
	Silent      bool          // has sent no announcement for longer than the limit of a daemon
}

// newer reports whether r replaces old, a record with the same ID.
func (r Record) newer(old Record) bool {
	if r.Born != old.Born {
		return r.Born > old.Born
	}
	if old.Gone != r.Gone {
		return r.Gone // a start that has ended sends nothing new, so other records of it are late
	}
	if r.SaidLeaving && !old.SaidLeaving {
		return true
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.Silent && !old.Silent
}

// Usable reports whether the backend server may get new work.
func (r Record) Usable() bool { return !r.Leaving && !r.SaidLeaving && !r.Gone }

// Entry is a record with the time of its last update on this daemon.
type Entry struct {
	Record
	UpdatedAt time.Time
	ColdUntil time.Time // zero if the record has no cold time left
	// assumedColdUntil is the time until which this start counts as cold although it may
	// not have said so.
	assumedColdUntil time.Time
}

// setColdUntil sets ColdUntil for a record that arrived now.
func (e *Entry) setColdUntil(now time.Time) {
	e.ColdUntil = e.assumedColdUntil
	if until := now.Add(e.Cold); e.Cold > 0 && until.After(e.ColdUntil) {
		e.ColdUntil = until
	}
}

// Roster holds the newest record of each backend server. It is not safe for
// concurrent use.
type Roster struct {
	byID      map[gypsumshelf.ServerID]Entry
	byAddress map[string]gypsumshelf.ServerID
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{byID: map[gypsumshelf.ServerID]Entry{}, byAddress: map[string]gypsumshelf.ServerID{}}
}

// goneRetention is the time for which the record of an ended backend server is
// kept, so that an announcement which arrives seconds late does not make it
// usable again.
const goneRetention = 2 * time.Minute

// Merge stores a record if it is newer than the one held for its ID, and reports
// whether it did. A usable record also marks another backend server at the same
// address as gone, because an address belongs to its latest start. The record is
// rejected if that other backend server is usable and did not start earlier.
func (o *Roster) Merge(now time.Time, r Record) bool {
	old, known := o.byID[r.ID]
	if known && !r.newer(old.Record) {
		return false
	}
	if known && old.Born == r.Born {
		r.SaidLeaving = r.SaidLeaving || old.SaidLeaving
	}
	if otherID, occupied := o.byAddress[r.Address]; occupied && otherID != r.ID && r.Usable() {
		other := o.byID[otherID]
		if other.Born >= r.Born && other.Usable() {
			return false // late record of an earlier start at the address
		}
		other.Gone = true
		other.UpdatedAt = now
		o.byID[otherID] = other
	}
	if known && old.Address != r.Address && o.byAddress[old.Address] == r.ID {
		delete(o.byAddress, old.Address) // it has restarted at another address
	}
	e := Entry{Record: r, UpdatedAt: now}
	if known && old.Born == r.Born {
		e.assumedColdUntil = old.assumedColdUntil
	}
	e.setColdUntil(now)
	o.byID[r.ID] = e
	if r.Usable() {
		o.byAddress[r.Address] = r.ID
	}
	return true
}

// SetOutOfService returns the set of data centres that are out of service from now on. The
// backend servers of those that return from the old set count as cold for the time in which
// servers of their service warm up, whatever they announce: their records may be older than
// the moment at which they became cold.
func (o *Roster) SetOutOfService(now time.Time, old map[string]bool, dataCentres []string, warmUp func(service string) time.Duration) map[string]bool {
	out := map[string]bool{}
	for _, dc := range dataCentres {
		out[dc] = true
	}
	for dc := range old {
		if !out[dc] {
			o.assumeCold(now, dc, warmUp)
		}
	}
	return out
}

func (o *Roster) assumeCold(now time.Time, dataCentre string, warmUp func(service string) time.Duration) {
	for id, e := range o.byID {
		until := now.Add(warmUp(e.Service))
		if e.DataCentre != dataCentre || !until.After(now) {
			continue
		}
		e.assumedColdUntil = until
		if until.After(e.ColdUntil) {
			e.ColdUntil = until
		}
		o.byID[id] = e
	}
}

// Get returns the record of a backend server.
func (o *Roster) Get(id gypsumshelf.ServerID) (Entry, bool) {
	e, ok := o.byID[id]
	return e, ok
}

// MarkLeaving records that a start of a backend server has said that it leaves, and
// returns its record. It returns false if that was known, or if the backend server is
// unknown or has started again.
func (o *Roster) MarkLeaving(now time.Time, id gypsumshelf.ServerID, born int64) (Record, bool) {
	current, known := o.byID[id]
	if !known || current.Born != born || current.SaidLeaving {
		return Record{}, false
	}
	r := current.Record
	r.SaidLeaving = true
	return r, o.Merge(now, r)
}

// At returns the record of the last backend server that was usable at an address.
func (o *Roster) At(address string) (Entry, bool) {
	id, ok := o.byAddress[address]
	if !ok {
		return Entry{}, false
	}
	return o.Get(id)
}

// All returns all records, sorted by ID.
func (o *Roster) All() []Entry {
	all := make([]Entry, 0, len(o.byID))
	for _, e := range o.byID {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Prune removes the backend servers that have been gone for longer than
// goneRetention or silent for longer than silentFor.
func (o *Roster) Prune(now time.Time, silentFor time.Duration) {
	for id, e := range o.byID {
		age := now.Sub(e.UpdatedAt)
		if e.Gone && age > goneRetention || e.Silent && age > silentFor {
			delete(o.byID, id)
			if o.byAddress[e.Address] == id {
				delete(o.byAddress, e.Address)
			}
		}
	}
}
