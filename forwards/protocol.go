// Package forwards proxies callers' requests to backend servers. It decides on
// retries, on resuming streams and on the final response. The HTTP headers of the
// platform that it runs on are behind the Protocol interface.
package forwards

import (
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/dispatchers"
)

// NoEvent stands for the ID of an event where there is none. IDs begin with 0 or later.
const NoEvent = -1

// RequestMeta is the metadata in the headers of a caller's request.
type RequestMeta struct {
	ID                   gypsumshelf.RequestID
	Key                  string          // key of a workspace, empty when none is given
	Deadline             time.Duration   // how long the caller waits, 0 when not stated
	PromptTokens         int             // tokens of the prompt, 0 when unknown
	MaxAnswerTokens      int             // maximum number of tokens of the answer, 0 when unknown
	ExpectedAnswerTokens int             // the caller's estimate of the answer's tokens, 0 when unknown
	LastEvent            int             // ID of the last event that the caller has, NoEvent for none
	Parts                []crashes.Cause // IDs of the prompt's parts
	Conditional          bool            // the caller set a condition; a server that does not meet it answers like a wrong one
}

// Call is the metadata that is sent to a backend server with a request.
type Call struct {
	Server    gypsumshelf.ServerID // intended server; any other one must refuse the call
	Remaining time.Duration        // time until the caller's deadline
	Workspace string               // empty when the caller has none
	StripKey  bool                 // the caller's key authenticates to this system and is not forwarded
	Urgency   int                  // 0 (first) to 9 (last); negative for none
	Helpers   []Helper
	LastEvent int // ID of the last event that the caller has, NoEvent for none
}

// Helper is an engine that prefills a part of the prompt.
type Helper struct {
	Address       string
	ReservationID string // ID of the memory reservation, empty for none
}

// ResponseMeta is the metadata in the header of a response.
type ResponseMeta struct {
	Request           gypsumshelf.RequestID // ID of the request that the response belongs to
	FromBackendServer bool                  // the response has the header that only backend servers set
	NotRun            bool                  // the backend server did not run the request
	WrongServer       bool                  // another backend server has the address, or a condition of the caller is not met
	Blamed            gypsumshelf.ServerID  // engine at fault, empty when not stated
	Running           int                   // requests running on the server, if HasLoad
	Queued            int                   // requests waiting on the server, if HasLoad
	Slots             int                   // requests that the server can run at once, if HasLoad
	HasLoad           bool                  // the response states the load
	Limit             float64               // requests per second that the server takes from all daemons, if HasLimit
	HasLimit          bool                  // the response names a limit
	RetryAfter        time.Duration         // for which a server that refused wants nothing from this daemon, 0 for no such time
	Leaving           bool                  // the server leaves and wants no new work
	UnreadableLimit   string                // what the response names instead of a limit, empty for nothing
}

// LeaveReporter tells other daemons about backend servers that leave.
type LeaveReporter interface {
	// ReportLeave reports that a start of a backend server has said that it leaves. It
	// does not wait.
	ReportLeave(server gypsumshelf.ServerID, born int64)
}

// Protocol reads and writes the headers that carry metadata on a platform. It also
// makes the calls to engines for memory reservations and load reports.
type Protocol interface {
	// ParseRequest parses the metadata of a caller's request.
	ParseRequest(r *http.Request) RequestMeta
	// SetHeaders sets the metadata of a call in h, a copy of the caller's header.
	SetHeaders(h http.Header, c Call)
	// ParseResponse parses the metadata of a response.
	ParseResponse(h http.Header, status int) ResponseMeta
	// EventID returns the number in an event's ID field, or false if it has none.
	EventID(event []byte) (int, bool)
	MemoryReserver
	dispatchers.Reporter
}
