// Package directories distributes cluster information from the control daemons
// to all daemons: the replicated state, the leader, the other daemons and the
// backend servers.
//
// Each control daemon runs a Publisher, which answers long polls. Every daemon
// runs a Subscriber, which polls all control daemons that it knows. It starts
// with the seed addresses and learns the others from the answers.
package directories

import (
	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// ServiceName is the net/rpc name under which a Publisher is registered.
const ServiceName = "Directory"

// PollRequest requests the changes after a cursor.
type PollRequest struct {
	Daemon     gypsumshelf.DaemonID
	DataCentre string
	Entry      bool   // the polling daemon accepts requests of callers
	PeersIndex uint64 // of the last view received, 0 at first
	Epoch      uint64 // of the last view received, 0 at first; differs for each publisher process
	Cursor     uint64 // of the last view received, valid within its epoch
}

// View is the answer to a PollRequest.
type View struct {
	Epoch    uint64
	Cursor   uint64
	Leader   string   // address of the leader's directory, empty when unknown
	Term     uint64   // of the leader
	Controls []string // directory addresses of all control daemons
	Entries  int      // number of daemons that accept requests and poll this publisher
	Index    uint64   // of the replicated state, which Fetch returns
	Records  []rosters.Record
	// Peers are some of the other daemons that accept requests, for one that does. They
	// are left out if PeersIndex is KnownPeersIndex, that of the request.
	Peers           []Peer
	PeersIndex      uint64 // grows when a daemon that accepts requests comes or goes
	KnownPeersIndex uint64
}

// Peer is a daemon that accepts requests.
type Peer struct {
	Daemon     gypsumshelf.DaemonID
	DataCentre string
}
