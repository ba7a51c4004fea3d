package loads

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/daemons"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
)

const (
	slopeModel = "quill"
	// slopeEvents is the number of events over which a cost is averaged.
	slopeEvents = 20_000
	recordsKept = 10 * time.Minute // as in package daemons
)

// serverSizes and recordSizes are the sizes at which costs are measured.
var (
	serverSizes = []int{14, 100, 425, 1_700}
	recordSizes = []int{2_000, 8_000, 32_000}
)

func slopeAnnouncement(i int) gypsumshelf.Announcement {
	return gypsumshelf.Announcement{
		Server: gypsumshelf.ServerID(fmt.Sprintf("runner-%05d", i)), Incarnation: "0b3c1a52-9a49-4ad1-8c1e-5f1f3c1b2a10",
		Address: fmt.Sprintf("10.%d.%d.1:9001", i/250, i%250), DataCentre: "wien-nord", Service: "federkiel",
		Kind: gypsumshelf.KindEngine, Models: []string{slopeModel}, MemoryTokens: 1_500_000, ChecksFencing: true,
		State: gypsumshelf.ServerReady, Load: gypsumshelf.Load{Running: 12, Queued: 3, UsedTokens: 510_000},
	}
}

// newSlopeReducer returns a reducer that has heard of n backend servers.
func newSlopeReducer(now time.Time, n int) *daemons.Reducer {
	policy, err := routes.New(routes.LeastLoaded)
	if err != nil {
		panic(err)
	}
	r := daemons.NewReducer(daemons.ReducerConfig{
		Daemon: "entry-1", Policy: policy,
		Servers:  servers.Config{Expiry: time.Hour},
		Attempts: attempts.Config{MaxAttempts: 3, Keep: recordsKept},
	})
	for i := range n {
		r.Step(now, servers.Announced{Announcement: slopeAnnouncement(i), Forwarded: true})
	}
	return r
}

// announceSlope is the cost of one forwarded announcement in the reducer; the
// heap is that of one backend server.
func announceSlope() slope {
	s := slope{name: "announcement received", per: "backend servers"}
	now := time.Unix(0, 0)
	for _, n := range serverSizes {
		var r *daemons.Reducer
		table := measure(1, func(int) { r = newSlopeReducer(now, n) })
		c := measure(slopeEvents, func(i int) {
			r.Step(now, servers.Announced{Announcement: slopeAnnouncement(i % n), Forwarded: true})
		}, r)
		c.heap = table.heap / float64(n)
		s.samples = append(s.samples, sample{n, c})
	}
	return s
}

func slopeRequest(now time.Time, i int) gypsumshelf.Request {
	return gypsumshelf.Request{
		ID: gypsumshelf.RequestID(fmt.Sprintf("0b3c1a52-9a49-4ad1-8c1e-%012d", i)), Workspace: "workspace-0001",
		Class: gypsumshelf.Class{Name: "default", Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}},
		Model: slopeModel, PromptTokens: 4_000, MaxTokens: 256, Idempotent: true, Arrived: now,
	}
}

// serveOne takes a request from its arrival to its end and reports whether it
// was started.
func serveOne(r *daemons.Reducer, now time.Time, i int) (started bool) {
	for _, effect := range r.Step(now, attempts.Arrived{Request: slopeRequest(now, i)}) {
		if start, ok := effect.(attempts.Start); ok {
			r.Step(now, attempts.Sent{Attempt: start.Attempt})
			r.Step(now, attempts.FirstToken{Attempt: start.Attempt})
			r.Step(now, attempts.Ended{Attempt: start.Attempt, Position: 256})
			started = true
		}
	}
	return started
}

// requestSlope is the cost of one request in the reducer by the number of
// backend servers.
func requestSlope() slope {
	s := slope{name: "request served", per: "backend servers"}
	now := time.Unix(0, 0)
	for _, n := range serverSizes {
		r := newSlopeReducer(now, n)
		s.samples = append(s.samples, sample{n, measure(2_000, func(i int) { serveOne(r, now, i) }, r)})
	}
	return s
}

// recordSlope is the heap of one ended request that is kept for explanation.
func recordSlope() slope {
	s := slope{name: "request kept", per: "records"}
	now := time.Unix(0, 0)
	for _, n := range recordSizes {
		r := newSlopeReducer(now, 14)
		s.samples = append(s.samples, sample{n, measure(n, func(i int) { serveOne(r, now, i) }, r)})
	}
	return s
}

// tickSlope is the cost of the periodic timer by the number of kept records.
func tickSlope() slope {
	s := slope{name: "tick", per: "records"}
	now := time.Unix(0, 0)
	for _, n := range recordSizes {
		r := newSlopeReducer(now, 14)
		for i := range n {
			serveOne(r, now, i)
		}
		s.samples = append(s.samples, sample{n, measure(50, func(int) { r.Step(now, daemons.Tick{}) }, r)})
	}
	return s
}

// encodeSlope is the cost of one announcement in a batch to one peer, encoded
// and decoded, with an encoder that lives as long as the connection.
func encodeSlope() slope {
	s := slope{name: "announcement on a peer link", per: "in one batch"}
	for _, n := range []int{1, 16, 256} {
		var wire bytes.Buffer
		enc, dec := gob.NewEncoder(&wire), gob.NewDecoder(&wire)
		total := 0
		send := func(int) {
			batch := make([]peers.Envelope, n)
			for i := range batch {
				batch[i] = peers.Envelope{From: "entry-001", Payload: slopeAnnouncement(i)}
			}
			if err := enc.Encode(batch); err != nil {
				panic(err)
			}
			total += wire.Len()
			var got []peers.Envelope
			if err := dec.Decode(&got); err != nil {
				panic(err)
			}
		}
		send(0) // the first batch carries the type descriptions
		total = 0
		rounds := max(1, slopeEvents/n)
		c := measure(rounds, send)
		c.cpu /= time.Duration(n)
		c.heap /= float64(n)
		c.bytes = float64(total) / float64(rounds*n)
		s.samples = append(s.samples, sample{n, c})
	}
	return s
}

// announcementBytes is the length of the body of POST /announce.
func announcementBytes() int {
	data, err := json.Marshal(slopeAnnouncement(1))
	if err != nil {
		panic(err)
	}
	return len(data)
}
