// Package rosters keeps what backend servers say of themselves. Records come
// late, twice and over several daemons; the newest one about each start of a
// backend server wins.
package rosters

import (
	"cmp"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Record is the newest statement about one start of a backend server.
type Record struct {
	ID         gypsumshelf.ServerID
	Born       int64  // start of the backend server, in ms since 1970
	Sequence   uint64 // grows with each statement of one start
	Service    string
	Address    string // IP:PORT
	DataCentre string
	Slots      int
	Leaving    bool          // takes no new work
	Gone       bool          // has ended, or is about to
	Cold       time.Duration // left until it is warm, counted from the arrival of the record
	Silent     bool          // has sent nothing for longer than a daemon's limit
}

// newer reports whether r replaces old, a record about the same ID.
func (r Record) newer(old Record) bool {
	if r.Born != old.Born {
		return r.Born > old.Born
	}
	if old.Gone != r.Gone {
		return r.Gone // nothing is heard of an ended start any more, only late statements
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.Silent && !old.Silent
}

// Usable reports whether the backend server may get new work.
func (r Record) Usable() bool { return !r.Leaving && !r.Gone }

// Known is a record with the time at which a daemon learnt it.
type Known struct {
	Record
	At        time.Time
	ColdUntil time.Time
}

// Roster holds the newest record of each backend server. It has no lock.
type Roster struct {
	byID      map[gypsumshelf.ServerID]Known
	byAddress map[string]gypsumshelf.ServerID
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{byID: map[gypsumshelf.ServerID]Known{}, byAddress: map[string]gypsumshelf.ServerID{}}
}

// goneKept is the time for which the end of a backend server is remembered, so
// that a statement which arrives seconds late does not bring it back.
const goneKept = 2 * time.Minute

// Merge takes a record and reports whether it is news. A start at an address
// ends every earlier start at that address, under whatever ID.
func (o *Roster) Merge(now time.Time, r Record) bool {
	old, known := o.byID[r.ID]
	if known && !r.newer(old.Record) {
		return false
	}
	if holder, taken := o.byAddress[r.Address]; taken && holder != r.ID && r.Usable() {
		other := o.byID[holder]
		if other.Born >= r.Born && other.Usable() {
			return false // a late statement of an earlier start
		}
		other.Gone = true
		other.At = now
		o.byID[holder] = other
	}
	k := Known{Record: r, At: now}
	if r.Cold > 0 {
		k.ColdUntil = now.Add(r.Cold)
	}
	o.byID[r.ID] = k
	if r.Usable() {
		o.byAddress[r.Address] = r.ID
	}
	return true
}

// Get returns the record of a backend server.
func (o *Roster) Get(id gypsumshelf.ServerID) (Known, bool) {
	k, ok := o.byID[id]
	return k, ok
}

// All returns all records in the order of their IDs.
func (o *Roster) All() []Known {
	all := make([]Known, 0, len(o.byID))
	for _, k := range o.byID {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b Known) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Prune forgets ended backend servers, and those that have been silent for a time.
func (o *Roster) Prune(now time.Time, silentFor time.Duration) {
	for id, k := range o.byID {
		age := now.Sub(k.At)
		if k.Gone && age > goneKept || k.Silent && age > silentFor {
			delete(o.byID, id)
			if o.byAddress[k.Address] == id {
				delete(o.byAddress, k.Address)
			}
		}
	}
}
