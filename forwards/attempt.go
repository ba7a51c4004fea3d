package forwards

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/buffers"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// Errors of attempts that did not run the request.
var (
	errRejected          = errors.New("the backend server refused the request without running it")
	errServerUnavailable = errors.New("the backend server has left its address or takes no new work")
)

// errInvalidResponse is returned for a response that belongs to another request,
// does not come from a backend server or has events missing.
var errInvalidResponse = errors.New("the response is not a valid response of a backend server to this request")

// errNoEvent is returned for a stream without events. Without a length or chunks, it
// ends like that when the backend server closes the connection.
var errNoEvent = fmt.Errorf("%w: the stream ended without an event", errInvalidResponse)

// attempt is one attempt of a request at one backend server.
type attempt struct {
	exchange *exchange
	server   rosters.Entry
	response *http.Response
	reply    ResponseMeta
	verdict  gypsumshelf.Verdict
	sentAt   time.Time
	complete bool // a whole response was read
}

// sendAndReadHeader sends the request to a backend server and reads the response
// header. The returned attempt must be closed, also after an error.
func (req *proxyRequest) sendAndReadHeader(ctx context.Context, server rosters.Entry, call Call, timeout time.Duration) (*attempt, error) {
	a, out, err := req.startAttempt(ctx, server, call)
	if err != nil {
		return a, err
	}
	if a.response, err = a.exchange.readHeader(out, min(timeout, req.remaining())); err != nil {
		return a, err
	}
	return a, req.validateHeader(a)
}

// startAttempt connects to a backend server and starts to send the request. The
// returned attempt is never nil.
func (req *proxyRequest) startAttempt(ctx context.Context, server rosters.Entry, call Call) (*attempt, *outgoingRequest, error) {
	a := &attempt{server: server}
	req.triedServers = append(req.triedServers, server.ID)
	req.phase = phaseSending
	x, err := req.forwarder.dial(ctx, req.target(server))
	if err != nil {
		return a, nil, err
	}
	a.exchange = x
	req.recordConnection(server, x)
	header := endToEnd(req.r.Header)
	call.Remaining = req.remaining()
	req.forwarder.cfg.Protocol.SetHeaders(header, call)
	out := &outgoingRequest{method: req.r.Method, uri: req.r.RequestURI, host: req.r.Host, header: header, body: req.body}
	data, err := out.encode()
	if err != nil {
		return a, nil, err
	}
	if _, usable := req.forwarder.cfg.Fleet.Usable(server.ID); !usable {
		return a, nil, errServerUnavailable // it started to drain while the connection was opened
	}
	if req.forwarder.cfg.Fleet.isPaused(server) {
		return a, nil, errPaused // it refused another request meanwhile
	}
	req.sentAttempts++
	a.sentAt = req.now()
	a.verdict = gypsumshelf.MayHaveRun
	req.phase = phaseAwaiting
	x.send(data)
	return a, out, nil
}

// validateHeader checks that a response header belongs to this request and comes
// from the intended backend server.
func (req *proxyRequest) validateHeader(a *attempt) error {
	a.reply = req.forwarder.cfg.Protocol.ParseResponse(a.response.Header, a.response.StatusCode)
	if isAnswer := !a.reply.WrongServer && (a.reply.FromBackendServer || a.reply.NotRun); isAnswer {
		req.recordLimit(a)
		req.recordLeave(a)
		req.recordPause(a)
		req.forwarder.crashChecks.recordAlive(a.server, a.sentAt)
	}
	switch {
	case a.reply.WrongServer:
		a.verdict = gypsumshelf.NotRun
		return req.refuseWrongServer(a)
	case a.reply.NotRun:
		a.verdict = gypsumshelf.NotRun
		return errRejected
	case a.reply.Request != req.meta.ID:
		return fmt.Errorf("%w: request ID is %q, want %q", errInvalidResponse, a.reply.Request, req.meta.ID)
	case !a.reply.FromBackendServer:
		return fmt.Errorf("%w: status %d without the seal header of a backend server", errInvalidResponse, a.response.StatusCode)
	}
	return nil
}

// recordLeave keeps new work off a backend server that says in an answer that it leaves,
// here and at all other daemons.
func (req *proxyRequest) recordLeave(a *attempt) {
	f := req.forwarder
	if !a.reply.Leaving || !f.cfg.Fleet.markLeaving(a.server) {
		return
	}
	f.cfg.Log.WithFields(logrus.Fields{logs.KeyServer: a.server.ID, logs.KeyRequest: req.meta.ID}).Info("a backend server says that it leaves; it gets no new work")
	if f.cfg.Leaves != nil {
		f.cfg.Leaves.ReportLeave(a.server.ID, a.server.Born)
	}
}

func (a *attempt) close() {
	if a.exchange != nil {
		a.exchange.close()
	}
}

// newCall returns the call metadata that engines and plain services share.
func (req *proxyRequest) newCall(server gypsumshelf.ServerID) Call {
	c := Call{Server: server, Urgency: -1, StripKey: req.catalog.RequiresKey(), LastEvent: req.lastEvent}
	if req.workspace != nil {
		c.Workspace = req.workspace.Name
	}
	return c
}

// bufferResponse reads the response body into memory.
func (a *attempt) bufferResponse(timeout time.Duration, memory *buffers.Reservation) (*bufferedResponse, error) {
	body, err := a.exchange.readBody(timeout, memory)
	if err != nil {
		return nil, err
	}
	a.complete = true
	return &bufferedResponse{status: a.response.StatusCode, header: endToEnd(a.response.Header), body: body}, nil
}
