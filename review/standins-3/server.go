package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatPeriod = 1200 * time.Millisecond
	headerPrefix    = "X-Gypsumshelf-"
)

// run is a request that a backend server began to run.
type run struct {
	at     time.Time
	id     string
	body   string
	server string
}

// fleet holds the plain backend servers and what they ran.
type fleet struct {
	deployment *deployment
	// behave answers a request that a server runs. It returns false if the request crashes
	// the server.
	behave func(body string, w http.ResponseWriter) bool
	// backAfter is the time after which a crashed server is back.
	backAfter time.Duration

	mu      sync.Mutex
	runs    []run
	crashes []time.Time
	lost    int // sound requests without success
	wg      sync.WaitGroup
}

// server is one start of a backend server.
type server struct {
	fleet    *fleet
	id       string
	ip       string
	zone     string
	born     int64
	http     *http.Server
	stop     chan struct{}
	stopOnce sync.Once
}

// startServer starts a backend server, again under another ID when it has crashed.
func (f *fleet) startServer(number, starts int) error {
	s := &server{
		fleet: f, id: fmt.Sprintf("i-%04x%04x", number, starts), ip: f.deployment.controls[0].ip[:len(f.deployment.controls[0].ip)-2] + strconv.Itoa(100+number),
		zone: zones[number%len(zones)], born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", address(s.ip, f.deployment.ports.servers))
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s}
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		_ = s.http.Serve(l)
	}()
	go s.heartbeatLoop(number, starts)
	return nil
}

// heartbeatLoop announces the server until it ends, and starts it again after a crash.
func (s *server) heartbeatLoop(number, starts int) {
	f := s.fleet
	defer f.wg.Done()
	op := newOperator(f.deployment)
	op.next = number
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": appName, "address": address(s.ip, f.deployment.ports.servers), "zone": s.zone, "version": "v1", "slots": 6, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": s.born,
		})
		ctx, cancel := context.WithTimeout(context.Background(), heartbeatPeriod)
		_, _, _ = op.call(ctx, http.MethodPut, "/api/instances/"+s.id, body, callTimeout)
		cancel()
		select {
		case <-f.deployment.stop:
			s.end()
			return
		case <-s.stop:
			select {
			case <-f.deployment.stop:
			case <-time.After(f.backAfter):
				_ = f.startServer(number, starts+1)
			}
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// end closes the listener and all connections, as the end of a process does.
func (s *server) end() {
	s.stopOnce.Do(func() {
		close(s.stop)
		_ = s.http.Close()
	})
}

// ServeHTTP implements http.Handler as the pages describe a plain backend server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(headerPrefix+"Instance-Id", s.id)
	h.Set(headerPrefix+"Request-Id", r.Header.Get(headerPrefix+"Request-Id"))
	if expected := r.Header.Get(headerPrefix + "Expect-Instance"); expected != "" && expected != s.id {
		h.Set(headerPrefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.fleet
	f.mu.Lock()
	f.runs = append(f.runs, run{at: time.Now(), id: r.Header.Get(headerPrefix + "Request-Id"), body: string(body), server: s.id})
	f.mu.Unlock()
	f.deployment.record.printf("%s runs request %s of tenant %q, %d keys passed on", s.id, r.Header.Get(headerPrefix+"Request-Id"), r.Header.Get(headerPrefix+"Tenant"), len(r.Header["Authorization"]))
	h.Set(headerPrefix+"Server-Seal", "seal."+s.id)
	if !f.behave(string(body), w) {
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.mu.Unlock()
		f.deployment.record.printf("%s crashes under request %s", s.id, r.Header.Get(headerPrefix+"Request-Id"))
		s.end()
		panic(http.ErrAbortHandler)
	}
}

// usualPatience is the time after which a requester that does not leave gives up.
const usualPatience = 1500 * time.Millisecond

// call is a request of a caller.
type call struct {
	id, path, body, key string
	patience            time.Duration // after which the caller leaves
}

// send sends a request of a caller on a channel of its own and returns the status, 0 if
// the channel was closed without an answer.
func send(d *deployment, entry *machine, id, path, body string) int {
	return call{id: id, path: path, body: body, key: apiKey, patience: usualPatience}.send(d, entry)
}

// sendWithKey is send with another key.
func sendWithKey(d *deployment, entry *machine, id, path, body, key string) int {
	return call{id: id, path: path, body: body, key: key, patience: usualPatience}.send(d, entry)
}

func (c call) send(d *deployment, entry *machine) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+address(entry.ip, d.ports.callers)+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return 0
	}
	request.Host = hostName
	request.Header.Set(headerPrefix+"Request-Id", c.id)
	request.Header.Set(headerPrefix+"Deadline-Ms", "1000")
	request.Header.Set("Authorization", "Bearer "+c.key)
	d.record.printf("request %s sent to %s", c.id, entry.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: c.patience}
	response, err := client.Do(request)
	if err != nil {
		d.record.printf("request %s: %v", c.id, err)
		return 0
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	d.record.printf("request %s: status %d, seal %q, %q, error %v", c.id, response.StatusCode, response.Header.Get(headerPrefix+"Server-Seal"), bytes.TrimSpace(answer), err)
	return response.StatusCode
}
