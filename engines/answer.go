package engines

import (
	"context"
	"net"
	"net/http/httptrace"

	"gypsumshelf.example/gypsumshelf/answers"
)

// checkAnswers wraps dial for connections that carry one call each.
func checkAnswers(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return answers.NewConn(answers.Config{Conn: conn, CheckHeads: true}), nil
	}
}

// traceRequest returns a trace that calls sent before the first byte of a request can be
// delivered, and reports to the connection when the request has been written.
func traceRequest(sent func()) *httptrace.ClientTrace {
	end := func() {}
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, checked := info.Conn.(*answers.Conn); checked {
				end = conn.BeginRequest()
			}
			sent()
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { end() },
	}
}
