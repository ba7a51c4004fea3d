package operators

import (
	"fmt"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/settings"
)

// Codes of problems that are not results of a command.
const (
	CodeStopping       = "stopping"
	CodeUnknownRequest = "unknown-request"
	CodeUnknownOutcome = "unknown-outcome"
)

// Answer is the body of the answer to a command that was decided.
type Answer struct {
	CommandID string `json:"command-id"`
	Accepted  bool   `json:"accepted"`
	configs.Result
}

// Problem is the body of every other error.
type Problem struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

// Error implements error.
func (p Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Text) }

// Status is the answer to the status command.
type Status struct {
	Daemon         gypsumshelf.DaemonID `json:"daemon"`
	Ready          bool                 `json:"ready"` // accepts new work: its freshness lease holds
	Leader         gypsumshelf.DaemonID `json:"leader,omitempty"`
	Revision       gypsumshelf.Revision `json:"revision"`
	Classes        []ClassStatus        `json:"classes"`
	TakenOut       []string             `json:"taken-out"` // data centres out of service
	BackendServers []ServerStatus       `json:"backend-servers"`
}

// ClassStatus is one class with its target.
type ClassStatus struct {
	Name       string            `json:"name"`
	FirstToken settings.Duration `json:"first-token"`
	Finish     settings.Duration `json:"finish"`
}

// ServerStatus is one backend server as a daemon sees it.
type ServerStatus struct {
	gypsumshelf.Announcement
	Attempts int `json:"attempts"` // attempts of this daemon in progress
}
