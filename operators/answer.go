package operators

import (
	"fmt"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/settings"
)

// Codes of problems other than the refusal of a command by the configuration.
const (
	CodeStopping       = "stopping"
	CodeUnknownRequest = "unknown-request"
	CodeUnknownOutcome = "unknown-outcome"
)

// CommandResponse is the response body for a command whose result is known.
type CommandResponse struct {
	CommandID string `json:"command-id"`
	Accepted  bool   `json:"accepted"`
	configs.Result
}

// Problem is the response body of all other errors.
type Problem struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

// Error implements error.
func (p Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Text) }

// Status is the response body of the status command.
type Status struct {
	Daemon         gypsumshelf.DaemonID `json:"daemon"`
	Ready          bool                 `json:"ready"` // accepts new work: its freshness lease is valid
	Leader         gypsumshelf.DaemonID `json:"leader,omitempty"`
	Revision       gypsumshelf.Revision `json:"revision"`
	Classes        []ClassStatus        `json:"classes"`
	TakenOut       []string             `json:"taken-out"` // data centres out of service
	BackendServers []ServerStatus       `json:"backend-servers"`
}

// ClassStatus is a class with its target.
type ClassStatus struct {
	Name       string            `json:"name"`
	FirstToken settings.Duration `json:"first-token"`
	Finish     settings.Duration `json:"finish"`
}

// ServerStatus is a backend server as known to the daemon.
type ServerStatus struct {
	gypsumshelf.Announcement
	Attempts int `json:"attempts"` // attempts in progress from this daemon
}
