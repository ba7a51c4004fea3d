package forwards

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/relays"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// lossCollectTime is the time in which the connections to a backend server that has
	// ended are all lost.
	lossCollectTime = 20 * time.Millisecond
	// probeTimeout is the time after which a probe says nothing about its backend
	// server, which may be busy or cut off.
	probeTimeout = 500 * time.Millisecond
	// probeTries and probeRetryDelay bound the probes whose connection is closed
	// without an answer, as when a backend server has no connection left.
	probeTries      = 3
	probeRetryDelay = 50 * time.Millisecond
)

// CrashReporter receives the evidence about what crashes backend servers.
type CrashReporter interface {
	// ReportCrash reports which requests were lost with a backend server that has
	// ended.
	ReportCrash(r crashes.Report)
	// ReportCompleted reports that a request with the causes was answered. Requests to
	// engines are reported by Placer.End instead.
	ReportCompleted(causes []crashes.Cause)
}

// crashChecks finds out whether backend servers to which connections were lost have
// ended. A connection alone may be lost for other reasons.
type crashChecks struct {
	forwarder *Forwarder

	mu      sync.Mutex
	pending map[serverStart]*crashCheck
}

// serverStart identifies one start of a backend server.
type serverStart struct {
	id   gypsumshelf.ServerID
	born int64
}

// crashCheck is the check of one start of a backend server.
type crashCheck struct {
	checks *crashChecks
	server rosters.Entry
	path   string // of the health check of its service, empty if it has none
	lostAt time.Time
	runs   []crashes.Run // guarded by mu of checks
	done   chan struct{} // closed when ended is known
	ended  bool
}

// recordLost starts a check of a backend server, or adds a lost request to the one that
// has begun. A backend server that has announced its end is not checked.
func (c *crashChecks) recordLost(req *proxyRequest, server rosters.Entry, began time.Time) {
	current, known := c.forwarder.cfg.Fleet.Get(server.ID)
	if c.forwarder.cfg.Crashes == nil || known && current.Born == server.Born && !current.Usable() {
		return
	}
	run := crashes.Run{Causes: req.identify().causes, Duration: req.now().Sub(began)}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := serverStart{id: server.ID, born: server.Born}
	check := c.pending[key]
	if check == nil {
		check = &crashCheck{checks: c, server: server, path: req.service.HealthPath, lostAt: req.now(), done: make(chan struct{})}
		c.pending[key] = check
		go check.run()
	}
	check.runs = append(check.runs, run)
	req.lostServers = append(req.lostServers, check)
}

// maxEndedServers is the number of backend servers that may end under one request. A
// second one decides for nearly all requests whose server ended by itself.
const maxEndedServers = 2

// crashesServers reports whether maxEndedServers backend servers have ended under the
// request. With fewer lost connections it does not wait for the checks.
func (req *proxyRequest) crashesServers() bool {
	if len(req.lostServers) < maxEndedServers {
		return false
	}
	ended := 0
	for _, check := range req.lostServers {
		select {
		case <-check.done:
		case <-req.r.Context().Done():
			return false
		}
		if check.ended {
			ended++
		}
	}
	return ended >= maxEndedServers
}

func (k *crashCheck) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	f := k.checks.forwarder
	timers.Sleep(ctx, lossCollectTime)
	ended, err := k.hasEnded(ctx)
	k.ended = ended
	close(k.done)
	k.checks.mu.Lock()
	delete(k.checks.pending, serverStart{id: k.server.ID, born: k.server.Born})
	runs := k.runs
	k.checks.mu.Unlock()
	log := f.cfg.Log.WithFields(logrus.Fields{logs.KeyServer: k.server.ID, "lost-requests": len(runs), "ended": ended})
	if err != nil {
		log = log.WithError(err)
	}
	log.Info("checked whether a backend server has ended that lost requests")
	if ended {
		f.cfg.Crashes.ReportCrash(crashes.Report{Server: k.server.ID, Born: k.server.Born, Age: f.cfg.Fleet.now().Sub(k.lostAt), Runs: runs})
	}
}

// hasEnded reports whether the start of the backend server has ended: its address
// refuses connections, or another backend server answers there. The error says why a
// probe failed.
func (k *crashCheck) hasEnded(ctx context.Context) (ended bool, err error) {
	for range probeTries {
		var reply ResponseMeta
		reply, err = k.probe(ctx)
		switch {
		case err == nil:
			return reply.WrongServer, nil
		case ctx.Err() != nil, errors.Is(err, relays.ErrNoPath), errors.Is(err, errNoProgress), errors.Is(err, os.ErrDeadlineExceeded):
			return false, err
		case errors.Is(err, errConnect):
			return !isTimeout(err), err
		}
		timers.Sleep(ctx, probeRetryDelay)
	}
	return false, err
}

// probe asks the backend server for its health. Any other one at its address says that
// it is not the intended one. Without a health check it only connects, since a backend
// server could run anything else as a request.
func (k *crashCheck) probe(ctx context.Context) (ResponseMeta, error) {
	x, err := k.checks.forwarder.dial(ctx, relays.Target{Address: k.server.Address, Service: k.server.Service})
	if err != nil {
		return ResponseMeta{}, err
	}
	defer x.close()
	if k.path == "" {
		return ResponseMeta{}, nil
	}
	protocol := k.checks.forwarder.cfg.Protocol
	header := http.Header{}
	protocol.SetHeaders(header, Call{Server: k.server.ID, Remaining: probeTimeout, Urgency: -1, LastEvent: NoEvent})
	out := &outgoingRequest{method: http.MethodGet, uri: k.path, host: k.server.Address, header: header}
	data, err := out.encode()
	if err != nil {
		return ResponseMeta{}, err
	}
	x.send(data)
	response, err := x.readHeader(out, probeTimeout)
	if err != nil {
		return ResponseMeta{}, err
	}
	return protocol.ParseResponse(response.Header, response.StatusCode), nil
}
