package forwards

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// Errors of attempts on which the request has not run.
var (
	errRejected    = errors.New("the backend server refused the request without running it")
	errWrongServer = errors.New("another backend server has the address")
)

// errForeign says that an answer belongs to another request or was not made by
// a backend server.
var errInvalidResponse = errors.New("the answer is not a backend server's answer to this request")

// attempt is a request at one backend server, up to the head of its answer.
type attempt struct {
	exchange *exchange
	server   rosters.Known
	response *http.Response
	reply    Reply
	verdict  gypsumshelf.Verdict
}

// try sends the request to a backend server and reads the head of the answer.
// The returned attempt must be closed, also after an error.
func (req *proxyRequest) sendAndReadHeader(ctx context.Context, k rosters.Known, call Call, limit time.Duration) (*attempt, error) {
	a, out, err := req.startAttempt(ctx, k, call)
	if err != nil {
		return a, err
	}
	if a.response, err = a.exchange.readHeader(out, min(limit, req.remaining())); err != nil {
		return a, err
	}
	return a, req.validateHeader(a)
}

// open sends the request to a backend server.
func (req *proxyRequest) startAttempt(ctx context.Context, k rosters.Known, call Call) (*attempt, *outgoingRequest, error) {
	a := &attempt{server: k}
	req.triedServers = append(req.triedServers, k.ID)
	x, err := dial(ctx, k.Address)
	if err != nil {
		return a, nil, err
	}
	a.exchange = x
	header := endToEnd(req.r.Header)
	call.Left = req.remaining()
	req.forwarder.cfg.Protocol.Outgoing(header, call)
	out := &outgoingRequest{method: req.r.Method, uri: req.r.RequestURI, host: req.r.Host, header: header, body: req.body}
	data, err := out.encode()
	if err != nil {
		return a, nil, err
	}
	if _, usable := req.forwarder.cfg.Fleet.Usable(k.ID); !usable {
		return a, nil, errWrongServer // it began to leave while the connection was opened
	}
	req.sentAttempts++
	a.verdict = gypsumshelf.MayHaveRun
	x.send(data)
	return a, out, nil
}

// examine checks that the head of an answer is one to this request.
func (req *proxyRequest) validateHeader(a *attempt) error {
	a.reply = req.forwarder.cfg.Protocol.Reply(a.response.Header, a.response.StatusCode)
	switch {
	case a.reply.Wrong:
		a.verdict = gypsumshelf.NotRun
		req.forwarder.cfg.Fleet.MarkGone(a.server)
		return errWrongServer
	case a.reply.NotRun:
		a.verdict = gypsumshelf.NotRun
		return errRejected
	case a.reply.Request != req.meta.ID:
		return fmt.Errorf("%w: it names %q", errInvalidResponse, a.reply.Request)
	case !a.reply.Sealed:
		return fmt.Errorf("%w: status %d without a seal", errInvalidResponse, a.response.StatusCode)
	}
	return nil
}

func (a *attempt) close() {
	if a.exchange != nil {
		a.exchange.close()
	}
}

// call returns what every backend server is told.
func (req *proxyRequest) newCall(server gypsumshelf.ServerID) Call {
	c := Call{Server: server, Urgency: -1, Protected: req.catalog.Protected(), LastEvent: req.lastEvent}
	if req.workspace != nil {
		c.Workspace = req.workspace.Name
	}
	return c
}

// whole reads the rest of an answer that is kept in memory.
func (a *attempt) bufferResponse(limit time.Duration) (*bufferedResponse, error) {
	body, err := a.exchange.readBody(limit)
	if err != nil {
		return nil, err
	}
	return &bufferedResponse{status: a.response.StatusCode, header: endToEnd(a.response.Header), body: body}, nil
}
