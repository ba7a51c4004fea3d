package gypsumshelf

import "fmt"

// Code identifies the cause of a refusal or failure in error bodies.
type Code string

// Codes of errors that callers receive.
const (
	CodeBadRequest         Code = "bad-request"
	CodeBodyTooLarge       Code = "body-too-large"
	CodeUnknownModel       Code = "unknown-model"
	CodeUnknownClass       Code = "unknown-class"
	CodeUnknownWorkspace   Code = "unknown-workspace"
	CodeUnknownService     Code = "unknown-service"
	CodeNotReady           Code = "not-ready"         // the daemon is starting, or its freshness lease has expired
	CodeStopping           Code = "stopping"          // graceful shutdown in progress
	CodeInterrupted        Code = "interrupted"       // a second stop signal ended the request while a server was at work
	CodeNoBackendServer    Code = "no-backend-server" // no data centre in service has a server for the request
	CodeOverloaded         Code = "overloaded"
	CodeDeadline           Code = "deadline" // cannot meet, or did not meet, the target of its class
	CodePromptTooLong      Code = "prompt-too-long"
	CodeBodyBudgetExceeded Code = "body-budget" // the memory limit for long prompt bodies is reached
	CodeQuarantined        Code = "quarantined"
	CodeBackendFailed      Code = "backend-server-failed"
	CodeBrokenStream       Code = "broken-stream"
	CodeDuplicateKey       Code = "duplicate-key"
	CodeKeyExpired         Code = "key-expired"
	CodeCallerGone         Code = "caller-gone"
	CodeInternal           Code = "internal"
)

// Error is a refusal or failure of a request, with a verdict on whether the
// request may have run.
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
