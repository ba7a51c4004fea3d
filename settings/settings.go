// Package settings reads and checks a daemon's settings file: JSON with
// comments, keys in kebab case.
package settings

import (
	"net/netip"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	Deployment      string               `json:"deployment"`
	Daemon          gypsumshelf.DaemonID `json:"daemon"`
	DataCentre      string               `json:"data-centre"`
	Region          string               `json:"region"`
	DataFolder      string               `json:"data-folder"` // empty on a host without a disk
	Listen          Listen               `json:"listen"`
	Peers           []Peer               `json:"peers"`  // all daemons of the deployment, this one included
	Voters          []string             `json:"voters"` // daemons that vote at the first start
	AllowedNetworks []netip.Prefix       `json:"allowed-networks"`
	Workspaces      []string             `json:"workspaces"` // allowed workspaces, any when empty
	Services        []Service            `json:"services"`
	Limits          Limits               `json:"limits"`
	Routing         Routing              `json:"routing"`
	Traces          Traces               `json:"traces"`
	LogLevel        string               `json:"log-level"`
}

// Listen holds the addresses (IP:PORT) of the separate listeners.
type Listen struct {
	Callers        string `json:"callers"`
	BackendServers string `json:"backend-servers"`
	Peers          string `json:"peers"`
	Operators      string `json:"operators"`
	Metrics        string `json:"metrics"`
}

// Peer is another daemon of the deployment.
type Peer struct {
	Daemon     gypsumshelf.DaemonID `json:"daemon"`
	Address    string               `json:"address"` // IP:PORT of its peer listener
	DataCentre string               `json:"data-centre"`
}

// Service names the calls of a plain service that may be repeated.
type Service struct {
	Name       string   `json:"name"`
	Idempotent []string `json:"idempotent"` // "METHOD /path-prefix"
}

// Limits bound a daemon's resources and waits.
type Limits struct {
	MaxBodyBytes    int64    `json:"max-body-bytes"`
	BodyBudgetBytes int64    `json:"body-budget-bytes"` // memory for prompt bodies kept for a retry
	MaxAttempts     int      `json:"max-attempts"`
	FreshnessLease  Duration `json:"freshness-lease"`
	ProgressTimeout Duration `json:"progress-timeout"` // longest silence of a running stream
	DialTimeout     Duration `json:"dial-timeout"`
	LoadsPerMinute  float64  `json:"loads-per-minute"` // model loads that the weight store bears
	ServerExpiry    Duration `json:"server-expiry"`    // silence after which a backend server is taken for dead
}

// Routing selects the policy of package routes.
type Routing struct {
	Policy string `json:"policy"`
}

// Traces says where spans are exported to.
type Traces struct {
	Endpoint string `json:"endpoint"` // http://IP:PORT of an OTLP/HTTP collector
	File     string `json:"file"`
}

// Default returns the settings that hold where the file is silent.
func Default() Settings {
	return Settings{
		AllowedNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Limits: Limits{
			MaxBodyBytes:    16 << 20,
			BodyBudgetBytes: 256 << 20,
			MaxAttempts:     3,
			FreshnessLease:  Duration(3 * time.Second),
			ProgressTimeout: Duration(20 * time.Second),
			DialTimeout:     Duration(time.Second),
			ServerExpiry:    Duration(3 * time.Second),
			LoadsPerMinute:  2,
		},
		Routing:  Routing{Policy: "earliest-deadline"},
		LogLevel: "info",
	}
}
