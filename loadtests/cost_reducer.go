package loadtests

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
	costModel = "quill"
	// eventsPerSample is the number of events over which a cost is averaged.
	eventsPerSample = 20_000
	recordRetention = 10 * time.Minute // same value as in package daemons
)

// serverCounts and keptRecordCounts are the sizes at which costs are measured.
var (
	serverCounts     = []int{14, 100, 425, 1_700}
	keptRecordCounts = []int{2_000, 8_000, 32_000}
)

func exampleAnnouncement(i int) gypsumshelf.Announcement {
	return gypsumshelf.Announcement{
		Server: gypsumshelf.ServerID(fmt.Sprintf("runner-%05d", i)), Incarnation: "0b3c1a52-9a49-4ad1-8c1e-5f1f3c1b2a10",
		Address: fmt.Sprintf("10.%d.%d.1:9001", i/250, i%250), DataCentre: "wien-nord", Service: "federkiel",
		Kind: gypsumshelf.KindEngine, Models: []string{costModel}, MemoryTokens: 1_500_000, ChecksFencing: true,
		State: gypsumshelf.ServerReady, Load: gypsumshelf.Load{Running: 12, Queued: 3, UsedTokens: 510_000},
	}
}

// newReducerWithServers returns a reducer that knows n backend servers.
func newReducerWithServers(now time.Time, n int) *daemons.Reducer {
	policy, err := routes.New(routes.LeastLoaded)
	if err != nil {
		panic(err)
	}
	r := daemons.NewReducer(daemons.ReducerConfig{
		Daemon: "entry-1", Policy: policy,
		Servers:  servers.Config{Expiry: time.Hour},
		Attempts: attempts.Config{MaxAttempts: 3, RecordTTL: recordRetention},
	})
	for i := range n {
		r.Step(now, servers.Announced{Announcement: exampleAnnouncement(i), Forwarded: true})
	}
	return r
}

// announcementCosts measures the cost of one forwarded announcement in the reducer.
// The heap is that of one backend server.
func announcementCosts() costCurve {
	curve := costCurve{operation: "announcement received", sizeUnit: "backend servers"}
	now := time.Unix(0, 0)
	for _, n := range serverCounts {
		var r *daemons.Reducer
		serverCost := measureCost(1, func(int) { r = newReducerWithServers(now, n) })
		c := measureCost(eventsPerSample, func(i int) {
			r.Step(now, servers.Announced{Announcement: exampleAnnouncement(i % n), Forwarded: true})
		}, r)
		c.heapBytes = serverCost.heapBytes / float64(n)
		curve.samples = append(curve.samples, costSample{n, c})
	}
	return curve
}

func exampleRequest(now time.Time, i int) gypsumshelf.Request {
	return gypsumshelf.Request{
		ID: gypsumshelf.RequestID(fmt.Sprintf("0b3c1a52-9a49-4ad1-8c1e-%012d", i)), Workspace: "workspace-0001",
		Class: gypsumshelf.Class{Name: "default", Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}},
		Model: costModel, PromptTokens: 4_000, MaxTokens: 256, Idempotent: true, Arrived: now,
	}
}

// serveRequest feeds the events of one request, from its arrival to its end, to a
// reducer and reports whether an attempt was started.
func serveRequest(r *daemons.Reducer, now time.Time, i int) (started bool) {
	for _, effect := range r.Step(now, attempts.Arrived{Request: exampleRequest(now, i)}) {
		if start, ok := effect.(attempts.Start); ok {
			r.Step(now, attempts.Sent{Attempt: start.Attempt})
			r.Step(now, attempts.FirstToken{Attempt: start.Attempt})
			r.Step(now, attempts.Ended{Attempt: start.Attempt, Position: 256})
			started = true
		}
	}
	return started
}

// requestCosts measures the cost of one request in the reducer, by the number of
// backend servers.
func requestCosts() costCurve {
	curve := costCurve{operation: "request served", sizeUnit: "backend servers"}
	now := time.Unix(0, 0)
	for _, n := range serverCounts {
		r := newReducerWithServers(now, n)
		curve.samples = append(curve.samples, costSample{n, measureCost(2_000, func(i int) { serveRequest(r, now, i) }, r)})
	}
	return curve
}

// recordCosts measures the heap of one ended request whose record is kept so that
// operators can ask for an explanation of it.
func recordCosts() costCurve {
	curve := costCurve{operation: "request kept", sizeUnit: "records"}
	now := time.Unix(0, 0)
	for _, n := range keptRecordCounts {
		r := newReducerWithServers(now, 14)
		curve.samples = append(curve.samples, costSample{n, measureCost(n, func(i int) { serveRequest(r, now, i) }, r)})
	}
	return curve
}

// tickCosts measures the cost of one periodic tick, by the number of kept records.
func tickCosts() costCurve {
	curve := costCurve{operation: "tick", sizeUnit: "records"}
	now := time.Unix(0, 0)
	for _, n := range keptRecordCounts {
		r := newReducerWithServers(now, 14)
		for i := range n {
			serveRequest(r, now, i)
		}
		curve.samples = append(curve.samples, costSample{n, measureCost(50, func(int) { r.Step(now, daemons.Tick{}) }, r)})
	}
	return curve
}

// encodingCosts measures the cost of encoding and decoding one announcement in a
// batch to one peer. The encoder is reused, as on a connection, so that type
// descriptions are sent only once.
func encodingCosts() costCurve {
	curve := costCurve{operation: "announcement on a peer link", sizeUnit: "in one batch"}
	for _, n := range []int{1, 16, 256} {
		var wire bytes.Buffer
		enc, dec := gob.NewEncoder(&wire), gob.NewDecoder(&wire)
		totalBytes := 0
		send := func(int) {
			batch := make([]peers.Envelope, n)
			for i := range batch {
				batch[i] = peers.Envelope{From: "entry-001", Payload: exampleAnnouncement(i)}
			}
			if err := enc.Encode(batch); err != nil {
				panic(err)
			}
			totalBytes += wire.Len()
			var got []peers.Envelope
			if err := dec.Decode(&got); err != nil {
				panic(err)
			}
		}
		send(0) // the first batch contains the type descriptions
		totalBytes = 0
		rounds := max(1, eventsPerSample/n)
		c := measureCost(rounds, send)
		c.cpu /= time.Duration(n)
		c.heapBytes /= float64(n)
		c.wireBytes = float64(totalBytes) / float64(rounds*n)
		curve.samples = append(curve.samples, costSample{n, c})
	}
	return curve
}

// announcementBytes returns the length of the body of POST /announce.
func announcementBytes() int {
	data, err := json.Marshal(exampleAnnouncement(1))
	if err != nil {
		panic(err)
	}
	return len(data)
}
