package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerRequest  = "X-Gypsumshelf-Request-Id"
	headerDeadline = "X-Gypsumshelf-Deadline-Ms"
	headerTokens   = "X-Gypsumshelf-Token-Count"
	headerExpect   = "X-Gypsumshelf-Expect-Instance"
	headerVersion  = "X-Gypsumshelf-Expect-Version"
	headerSeal     = "X-Gypsumshelf-Server-Seal"
	headerNotRun   = "X-Gypsumshelf-Not-Executed"
)

const (
	serviceModel  = "federkiel"
	serviceOrders = "auftragsbuch"
	// plainWork is the time in which a runner of auftragsbuch answers.
	plainWork = 30 * time.Millisecond
	// streamEvents and eventPause make up the answer of a runner of federkiel.
	streamEvents = 10
	eventPause   = 20 * time.Millisecond
	// weights is the version of the weights of all runners.
	weights = "1"
)

// run is a request that a runner began to work on.
type run struct {
	id     string
	runner *runner
	at     time.Time
}

// runner stands in for a runner.
type runner struct {
	deployment *deployment
	id         string
	service    string
	zone       string
	address    string
	born       int64
	server     *http.Server
	cancel     context.CancelFunc

	mu        sync.Mutex
	sequence  int
	runs      []run
	coldAt    time.Time
	coldUntil time.Time
	pinged    chan struct{} // closed at the next acknowledged ping, nil if nobody waits for it
}

// addRunners starts runners of a service, one in each zone in turn.
func (d *deployment) addRunners(service string, n int) error {
	for i := range n {
		r := &runner{
			deployment: d, id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i%len(zones)],
			address: fmt.Sprintf("%s:%d", d.address(), runnerPort), born: time.Now().UnixMilli(),
		}
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			return err
		}
		r.serve(l)
		d.runners = append(d.runners, r)
	}
	return nil
}

// serve starts to serve on a listener and to announce the runner.
func (r *runner) serve(l net.Listener) {
	r.server = &http.Server{Handler: r}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.loop(l)
	go r.announceLoop(ctx)
}

// loop serves until the runner is closed.
func (r *runner) loop(l net.Listener) { _ = r.server.Serve(l) }

func (r *runner) close() {
	r.cancel()
	_ = r.server.Close()
}

// announceLoop registers the runner about every heartbeat, with one daemon after another
// until one acknowledges.
func (r *runner) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mu.Lock()
		r.sequence++
		sequence := r.sequence
		r.mu.Unlock()
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":16,"state":"ready","coldRemainingMs":%d,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,"born":%d}`,
			r.service, r.address, r.zone, r.coldFor().Milliseconds(), sequence, r.born)
		for i := range r.deployment.controls {
			m := r.deployment.controls[(i+sequence)%len(r.deployment.controls)]
			req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s:%d/api/instances/%s", m.ip, controlPort, r.id), strings.NewReader(body))
			if err != nil {
				return
			}
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					r.recordPing()
					break
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/api/report" {
		fmt.Fprint(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":450000,"handles":0,"pace":1.0,"tickets":[]}`)
		return
	}
	id := req.Header.Get(headerRequest)
	if id != "" {
		w.Header().Set(headerRequest, id)
	}
	if expected := req.Header.Get(headerExpect); expected != "" && expected != r.id {
		r.misdirect(w, id, "another runner is named")
		return
	}
	if v := req.Header.Get(headerVersion); v != "" && v != weights {
		r.misdirect(w, id, "the weights have version "+weights)
		return
	}
	if req.URL.Path == "/health" {
		w.Header().Set("X-Gypsumshelf-Instance-Id", r.id)
		if cold := r.coldFor(); cold > 0 {
			w.Header().Set("X-Gypsumshelf-Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		return
	}
	if id == "" {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, runner: r, at: time.Now()})
	r.mu.Unlock()
	r.deployment.rec.printf("runner %s in %s runs %s", r.id, r.zone, id)
	if string(body) == deadlyBody || r.overloaded() {
		r.crash(id)
		return
	}
	w.Header().Set(headerSeal, r.id+"."+id)
	if r.deployment.interim {
		w.WriteHeader(http.StatusProcessing)
	}
	if r.service == serviceOrders {
		r.answerPlain(w, req, id)
		return
	}
	r.answerStream(w, req, id)
}

// answerPlain works on a request and answers it, unless its channel closes first.
func (r *runner) answerPlain(w http.ResponseWriter, req *http.Request, id string) {
	select {
	case <-time.After(plainWork):
	case <-req.Context().Done():
		r.deployment.rec.printf("runner %s drops %s unfinished, since its channel was closed", r.id, id)
		return
	}
	r.deployment.rec.printf("runner %s has finished %s", r.id, id)
	fmt.Fprintf(w, "answer of %s to %s", r.id, id)
}

// answerStream sends the events that the requester does not have yet.
func (r *runner) answerStream(w http.ResponseWriter, req *http.Request, id string) {
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= streamEvents; i++ {
		time.Sleep(eventPause)
		number := i
		if r.deployment.idsFromZero {
			number--
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, id)
		if err := http.NewResponseController(w).Flush(); err != nil || req.Context().Err() != nil {
			return
		}
	}
}

// misdirect answers 421, which means that the request has not run.
func (r *runner) misdirect(w http.ResponseWriter, id, reason string) {
	r.deployment.rec.printf("runner %s answers %s with 421: %s", r.id, id, reason)
	w.Header().Set(headerNotRun, "1")
	w.Header().Set("At-Server", r.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// runsIn returns what the runners of a zone began to work on after a time.
func (d *deployment) runsIn(zone string, after time.Time) []run {
	var found []run
	for _, r := range d.runners {
		r.mu.Lock()
		for _, one := range r.runs {
			if r.zone == zone && one.at.After(after) {
				found = append(found, one)
			}
		}
		r.mu.Unlock()
	}
	return found
}
