package forwards

import (
	"time"

	"gypsumshelf.example/gypsumshelf/paths"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// PathRecorder records evidence about the paths to other data centres.
type PathRecorder interface {
	RecordPath(paths.Sample)
}

// sampleEvents is the number of events after which the evidence of a stream is recorded. A
// stall is recorded at once.
const sampleEvents = 8

// judgesPath reports whether streams from a backend server are evidence about a path.
func (req *proxyRequest) judgesPath(server rosters.Entry) bool {
	cfg := req.forwarder.cfg
	return cfg.Paths != nil && server.DataCentre != "" && server.DataCentre != cfg.DataCentre
}

// recordConnection records that a connection could not be made directly. The first packet
// of a connection counts like an event of a stream.
func (req *proxyRequest) recordConnection(server rosters.Entry, x *exchange) {
	if req.judgesPath(server) && x.isRelayed() {
		cfg := req.forwarder.cfg
		cfg.Paths.RecordPath(paths.Sample{From: cfg.DataCentre, To: server.DataCentre, Events: 1, Stalls: 1, Unreached: 1})
	}
}

// pathMeter takes evidence about a path from the arrivals of one stream. The zero pointer
// takes none.
type pathMeter struct {
	request    *proxyRequest
	dataCentre string // of the backend server
	stream     *paths.Stream
	waitedFrom time.Time
	events     int // since the last sample
}

// newPathMeter returns the meter of an attempt whose first event is expected at a time, or
// nil if its path is not judged.
func (req *proxyRequest) newPathMeter(a *attempt, first time.Time) *pathMeter {
	if !req.judgesPath(a.server) || a.exchange.isRelayed() {
		return nil
	}
	return &pathMeter{request: req, dataCentre: a.server.DataCentre, stream: paths.NewStream(first)}
}

// wait notes that the reader waits for the next event.
func (m *pathMeter) wait() {
	if m != nil {
		m.waitedFrom = m.request.now()
	}
}

// arrived records the arrival of an event. What arrives after a pause of this process says
// nothing about the path.
func (m *pathMeter) arrived() {
	if m == nil {
		return
	}
	now := m.request.now()
	if m.request.forwarder.pauses.RecentlyPaused(now) {
		m.waitedFrom = now
	}
	m.events++
	if m.stream.Arrived(m.waitedFrom, now) || m.events >= sampleEvents {
		m.flush()
	}
}

// flush records what has arrived since the last sample.
func (m *pathMeter) flush() {
	if m == nil {
		return
	}
	events, stalls := m.stream.Take()
	m.events = 0
	if events > 0 {
		cfg := m.request.forwarder.cfg
		cfg.Paths.RecordPath(paths.Sample{From: cfg.DataCentre, To: m.dataCentre, Events: events, Stalls: stalls})
	}
}
