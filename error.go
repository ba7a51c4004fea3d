package gypsumshelf

import "fmt"

// Code identifies the reason of a refusal or failure in error bodies.
type Code string

// Codes of errors that callers receive.
const (
	CodeBadRequest       Code = "bad-request"
	CodeBodyTooLarge     Code = "body-too-large"
	CodeUnknownModel     Code = "unknown-model"
	CodeUnknownClass     Code = "unknown-class"
	CodeUnknownWorkspace Code = "unknown-workspace"
	CodeUnknownService   Code = "unknown-service"
	CodeNotReady         Code = "not-ready"         // freshness lease expired or starting
	CodeStopping         Code = "stopping"          // graceful shutdown in progress
	CodeNoBackendServer  Code = "no-backend-server" // none serves the model in a data centre in service
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline" // cannot finish, or did not finish, in the time of its class
	CodeTooLong          Code = "prompt-too-long"
	CodeBodyBudget       Code = "body-budget" // no memory left to keep long prompt bodies
	CodeQuarantined      Code = "quarantined"
	CodeBackendFailed    Code = "backend-server-failed"
	CodeBrokenStream     Code = "broken-stream"
	CodeDuplicateKey     Code = "duplicate-key"
	CodeKeyExpired       Code = "key-expired"
	CodeCallerGone       Code = "caller-gone"
	CodeInternal         Code = "internal"
)

// Error is a refusal or failure with its verdict.
type Error struct {
	Code    Code
	Text    string
	Verdict Verdict
}

// Errorf returns an Error with a formatted text.
func Errorf(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...), Verdict: v}
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s (%s)", e.Code, e.Text, e.Verdict) }
