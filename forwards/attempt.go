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
	errRejected = errors.New("the backend server refused the request without running it")
	errWrong    = errors.New("another backend server has the address")
)

// errForeign says that an answer belongs to another request or was not made by
// a backend server.
var errForeign = errors.New("the answer is not a backend server's answer to this request")

// attempt is a request at one backend server, up to the head of its answer.
type attempt struct {
	exchange *exchange
	server   rosters.Known
	answer   *http.Response
	reply    Reply
	verdict  gypsumshelf.Verdict
}

// try sends the request to a backend server and reads the head of the answer.
// The returned attempt must be closed, also after an error.
func (d *delivery) try(ctx context.Context, k rosters.Known, call Call, limit time.Duration) (*attempt, error) {
	a, out, err := d.open(ctx, k, call)
	if err != nil {
		return a, err
	}
	if a.answer, err = a.exchange.head(out, min(limit, d.left())); err != nil {
		return a, err
	}
	return a, d.examine(a)
}

// open sends the request to a backend server.
func (d *delivery) open(ctx context.Context, k rosters.Known, call Call) (*attempt, *outgoing, error) {
	a := &attempt{server: k}
	d.tried = append(d.tried, k.ID)
	x, err := dial(ctx, k.Address)
	if err != nil {
		return a, nil, err
	}
	a.exchange = x
	header := endToEnd(d.r.Header)
	call.Left = d.left()
	d.forwarder.cfg.Protocol.Outgoing(header, call)
	out := &outgoing{method: d.r.Method, uri: d.r.RequestURI, host: d.r.Host, header: header, body: d.body}
	data, err := out.encode()
	if err != nil {
		return a, nil, err
	}
	if _, usable := d.forwarder.cfg.Fleet.Usable(k.ID); !usable {
		return a, nil, errWrong // it began to leave while the connection was opened
	}
	d.sent++
	a.verdict = gypsumshelf.MayHaveRun
	x.send(data)
	return a, out, nil
}

// examine checks that the head of an answer is one to this request.
func (d *delivery) examine(a *attempt) error {
	a.reply = d.forwarder.cfg.Protocol.Reply(a.answer.Header, a.answer.StatusCode)
	switch {
	case a.reply.Wrong:
		a.verdict = gypsumshelf.NotRun
		d.forwarder.cfg.Fleet.MarkGone(a.server)
		return errWrong
	case a.reply.NotRun:
		a.verdict = gypsumshelf.NotRun
		return errRejected
	case a.reply.Request != d.meta.ID:
		return fmt.Errorf("%w: it names %q", errForeign, a.reply.Request)
	case !a.reply.Sealed:
		return fmt.Errorf("%w: status %d without a seal", errForeign, a.answer.StatusCode)
	}
	return nil
}

func (a *attempt) close() {
	if a.exchange != nil {
		a.exchange.close()
	}
}

// call returns what every backend server is told.
func (d *delivery) call(server gypsumshelf.ServerID) Call {
	c := Call{Server: server, Urgency: -1, Protected: d.catalog.Protected(), LastEvent: d.lastEvent}
	if d.workspace != nil {
		c.Workspace = d.workspace.Name
	}
	return c
}

// whole reads the rest of an answer that is kept in memory.
func (a *attempt) whole(limit time.Duration) (*wholeAnswer, error) {
	body, err := a.exchange.body(limit)
	if err != nil {
		return nil, err
	}
	return &wholeAnswer{status: a.answer.StatusCode, header: endToEnd(a.answer.Header), body: body}, nil
}
