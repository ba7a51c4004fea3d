package loads

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Result is how a request ended for its caller.
type Result string

// Results of requests.
const (
	Whole   Result = "whole"   // the whole answer to the caller's own request
	Refused Result = "refused" // an error before the first byte of an answer
	Broken  Result = "broken"  // an answer that ended early and was not presented as whole
	Wrong   Result = "wrong"   // a foreign, repeated or missing part, or no end, not reported as an error
)

// Outcome is the result of one request.
type Outcome struct {
	Result     Result
	FirstToken time.Duration // from the intended send time, 0 when not streamed or without a token
	Total      time.Duration // from the intended send time
	Tokens     int
	Verdict    gypsumshelf.Verdict
	Code       gypsumshelf.Code // empty when the failure had no error body
	Err        error            // nil exactly for a whole answer
}

// CodeConnectionFailed is the code of a request whose connection failed.
const CodeConnectionFailed gypsumshelf.Code = "connection-failed"
