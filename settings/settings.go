// Package settings reads and checks a daemon's settings file, which is JSON with
// comments and keys in kebab case.
package settings

import (
	"net/netip"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Settings holds the checked settings of one daemon that is given all its peers.
type Settings struct {
	Deployment      string               `json:"deployment"`
	Daemon          gypsumshelf.DaemonID `json:"daemon"`
	DataCentre      string               `json:"data-centre"`
	Region          string               `json:"region"`
	DataFolder      string               `json:"data-folder"` // empty on a host without a disk
	Listen          Listen               `json:"listen"`
	Peers           []Peer               `json:"peers"`  // all daemons of the deployment, this one included
	Voters          []string             `json:"voters"` // initial voters of the replicated log
	AllowedNetworks []netip.Prefix       `json:"allowed-networks"`
	Workspaces      []string             `json:"workspaces"` // allowed workspaces; nil allows all
	Services        []Service            `json:"services"`
	Limits          Limits               `json:"limits"`
	Routing         Routing              `json:"routing"`
	Traces          Traces               `json:"traces"`
	LogLevel        string               `json:"log-level"`
}

// Listen holds the addresses (IP:PORT) of the listeners.
type Listen struct {
	Callers        string `json:"callers"`
	BackendServers string `json:"backend-servers"`
	Peers          string `json:"peers"`
	Operators      string `json:"operators"`
	Metrics        string `json:"metrics"`
}

// Peer is a daemon of the deployment.
type Peer struct {
	Daemon     gypsumshelf.DaemonID `json:"daemon"`
	Address    string               `json:"address"` // IP:PORT of its peer listener
	DataCentre string               `json:"data-centre"`
}

// Service lists the idempotent calls of a plain service, which may be repeated.
type Service struct {
	Name       string   `json:"name"`
	Idempotent []string `json:"idempotent"` // "METHOD /path-prefix"
}

// Limits holds the resource limits and timeouts of a daemon.
type Limits struct {
	MaxBodyBytes    int64    `json:"max-body-bytes"`
	BodyBudgetBytes int64    `json:"body-budget-bytes"` // memory for prompt bodies kept for a retry
	MaxAttempts     int      `json:"max-attempts"`
	FreshnessLease  Duration `json:"freshness-lease"`
	ProgressTimeout Duration `json:"progress-timeout"` // longest time without data in a running stream
	DialTimeout     Duration `json:"dial-timeout"`
	LoadsPerMinute  float64  `json:"loads-per-minute"` // model loads that the weight store can sustain
	ServerExpiry    Duration `json:"server-expiry"`    // time without an announcement after which a backend server counts as dead
}

// Routing selects the policy of package routes.
type Routing struct {
	Policy string `json:"policy"`
}

// Traces selects where spans are exported to, at most one of the two.
type Traces struct {
	Endpoint string `json:"endpoint"` // http://IP:PORT of an OTLP/HTTP collector
	File     string `json:"file"`
}

// Default returns the default settings, which apply to keys that the file omits.
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
