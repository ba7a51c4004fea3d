// Package directories tells every daemon what the control daemons know: the
// replicated state, the leader, the other daemons and the backend servers.
//
// A Publisher on each control daemon answers long polls. A Subscriber on every
// daemon polls all control daemons that it knows, starting from three addresses.
package directories

import (
	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// ServiceName is the name of the net/rpc service.
const ServiceName = "Directory"

// Poll asks for what changed after a cursor.
type Poll struct {
	Daemon gypsumshelf.DaemonID
	Entry  bool   // the caller takes requests
	Epoch  uint64 // of the publisher's process, 0 at first
	Cursor uint64 // of the last view received in that epoch
}

// View is the answer to a Poll.
type View struct {
	Epoch    uint64
	Cursor   uint64
	Leader   string   // address of the leader's directory, empty when unknown
	Term     uint64   // of the leader
	Controls []string // addresses of the directories of all control daemons
	Entries  int      // daemons that take requests, as seen by the publisher
	Index    uint64   // of the replicated state, which Fetch returns
	Records  []rosters.Record
}
