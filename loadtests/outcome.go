package loadtests

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Result classifies how a request ended for its caller.
type Result string

// Results of requests.
const (
	Whole   Result = "whole"   // the complete answer to this request
	Refused Result = "refused" // an error status instead of an answer
	Broken  Result = "broken"  // a failed connection, or an answer that ended early or with an error
	Wrong   Result = "wrong"   // an invalid answer, or tokens that are wrong, repeated, missing or from another request, without an error
)

// Outcome is the result of one request.
type Outcome struct {
	Result     Result
	FirstToken time.Duration // from the intended send time; 0 when not streamed or when no token arrived
	Total      time.Duration // from the intended send time
	Tokens     int
	Verdict    gypsumshelf.Verdict
	Code       gypsumshelf.Code // empty when the answer contained no error
	Err        error            // nil if and only if Result is Whole
}

// CodeConnectionFailed is the code of a request whose connection failed.
const CodeConnectionFailed gypsumshelf.Code = "connection-failed"
