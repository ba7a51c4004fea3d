package engines

import (
	"net/http/httptrace"

	"gypsumshelf.example/gypsumshelf/answers"
)

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
