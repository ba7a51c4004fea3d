package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// runner is a stand-in of a runner. It announces itself, and serves its health, load
// reports and requests.
type runner struct {
	record   *record
	platform *platform
	id       string
	service  string
	zone     string
	slots    int
	engine   bool
	born     int64
	listener net.Listener
	// serve answers a request that the runner has begun to run.
	serve func(w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	running int
	runs    map[string]int // by request ID
	stop    chan struct{}
	dark    chan struct{} // closed when the runner is silent, nil if it never is
}

// silentWriter sends nothing once the runner is silent.
type silentWriter struct {
	http.ResponseWriter
	runner  *runner
	request *http.Request
}

// Unwrap lets a http.ResponseController flush.
func (w *silentWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *silentWriter) Write(b []byte) (int, error) {
	if w.runner.isDark() {
		<-w.request.Context().Done()
		return 0, w.request.Context().Err()
	}
	return w.ResponseWriter.Write(b)
}

// isDark reports whether the runner is silent.
func (s *runner) isDark() bool {
	select {
	case <-s.dark:
		return true
	default:
		return false
	}
}

// startRunner starts a runner at a loopback address.
func startRunner(p *platform, name, service, zone string, slots int, engine bool, serve func(http.ResponseWriter, *http.Request)) (*runner, error) {
	l, err := net.Listen("tcp", p.network+"200:0")
	if err != nil {
		return nil, err
	}
	return newRunner(p, name, service, zone, slots, engine, l, serve), nil
}

// newRunner starts a runner on a listener.
func newRunner(p *platform, name, service, zone string, slots int, engine bool, l net.Listener, serve func(http.ResponseWriter, *http.Request)) *runner {
	s := &runner{
		record: p.record, platform: p, id: fmt.Sprintf("i-%s-%08x", name, rand.Uint32()), service: service, zone: zone, slots: slots, engine: engine,
		born: time.Now().UnixMilli(), listener: l, serve: serve, runs: map[string]int{}, stop: make(chan struct{}),
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	go s.announceLoop()
	return s
}

func (s *runner) close() {
	close(s.stop)
	s.listener.Close()
}

// ServeHTTP implements http.Handler.
func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDark() {
		<-r.Context().Done()
		return
	}
	w = &silentWriter{ResponseWriter: w, runner: s, request: r}
	expected := r.Header.Get("X-Gypsumshelf-Expect-Instance")
	if expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Gypsumshelf-Instance-Id", s.id)
		return
	case "/api/report":
		s.report(w)
		return
	case "/api/order":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"freeCapacity":400000}`)
		return
	}
	id := r.Header.Get("X-Gypsumshelf-Request-Id")
	w.Header().Set("X-Gypsumshelf-Request-Id", id)
	if !s.begin(id) {
		w.Header().Set("X-Gypsumshelf-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.record.printf("runner %s: runs %s", s.id, id)
	defer s.end()
	w.Header().Set("X-Gypsumshelf-Server-Seal", "seal."+id)
	s.serve(w, r)
}

// begin takes a slot for a request.
func (s *runner) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	s.runs[id]++
	return true
}

func (s *runner) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *runner) report(w http.ResponseWriter) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(object{
		"stage": "both", "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0, "queued": 0,
		"running": running, "kvUsed": 0, "kvTotal": 450000, "handles": 0, "pace": 1.0, "born": s.born,
	})
}

// announceLoop sends a heartbeat to one control machine after the other until one
// acknowledges it.
func (s *runner) announceLoop() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		body := object{
			"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": s.born,
		}
		if s.engine {
			body["stage"], body["models"] = "both", []object{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		data, _ := json.Marshal(body)
		for _, i := range rand.Perm(len(s.platform.ofRole("control"))) {
			m := s.platform.ofRole("control")[i]
			url := "http://" + net.JoinHostPort(m.ip, strconv.Itoa(s.platform.ports.control)) + "/api/instances/" + s.id
			request, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// streamEvents answers with a stream of events at a fixed interval.
func streamEvents(events int, interval time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		first := 1
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i <= events; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: text of event %d of %d\n\n", i, i, events); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(interval):
			}
		}
	}
}
