package loadtests

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/daemons"
	"gypsumshelf.example/gypsumshelf/operators"
	"gypsumshelf.example/gypsumshelf/settings"
	"gypsumshelf.example/gypsumshelf/standins"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// clusterVoters is the number of daemons that are voters.
	clusterVoters = 3
	// clusterStartTimeout bounds the time until every daemon is ready.
	clusterStartTimeout = 30 * time.Second
	clusterPollInterval = 20 * time.Millisecond
)

// clusterDataCentres are the data centres over which daemons and stand-ins are
// distributed.
var clusterDataCentres = []string{"wien-nord", "linz-hafen", "graz-sued"}

// clusterConfig configures a cluster.
type clusterConfig struct {
	Daemons int
	Policy  string // routing policy, the default when empty
	Fleet   standins.FleetConfig
}

// cluster is a set of daemons and stand-ins that run in this process.
type cluster struct {
	dir      string
	settings []settings.Settings
	daemons  []*daemons.Daemon
	fleet    *standins.Fleet
}

// newCluster starts a cluster and waits until every daemon is ready and knows
// every backend server.
func newCluster(ctx context.Context, cfg clusterConfig) (*cluster, error) {
	dir, err := os.MkdirTemp("", "gypsumshelf")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir}
	if err := c.start(ctx, cfg); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context, cfg clusterConfig) (err error) {
	if c.settings, err = clusterSettings(c.dir, cfg); err != nil {
		return err
	}
	for _, s := range c.settings {
		daemon, err := daemons.Start(s)
		if err != nil {
			return err
		}
		c.daemons = append(c.daemons, daemon)
		cfg.Fleet.DaemonAddresses = append(cfg.Fleet.DaemonAddresses, s.Listen.BackendServers)
	}
	if len(cfg.Fleet.DataCentres) == 0 {
		cfg.Fleet.DataCentres = clusterDataCentres
	}
	if c.fleet, err = standins.NewFleet(cfg.Fleet); err != nil {
		return err
	}
	return c.waitReady(ctx, cfg.Fleet.Engines+cfg.Fleet.PlainServers)
}

// callerAddresses returns the addresses of the daemons' listeners for callers.
func (c *cluster) callerAddresses() []string {
	var addresses []string
	for _, s := range c.settings {
		addresses = append(addresses, s.Listen.Callers)
	}
	return addresses
}

// Close stops the stand-ins and the daemons and removes the data folders.
func (c *cluster) Close() {
	if c.fleet != nil {
		c.fleet.Close()
	}
	for _, daemon := range c.daemons {
		daemon.Close()
	}
	_ = os.RemoveAll(c.dir)
}

var errNotReady = errors.New("daemons did not become ready or did not learn of all backend servers in time")

func (c *cluster) waitReady(ctx context.Context, servers int) error {
	deadline := time.Now().Add(clusterStartTimeout)
	for _, s := range c.settings {
		for !isReady(s, servers) {
			if timers.Sleep(ctx, clusterPollInterval); ctx.Err() != nil || time.Now().After(deadline) {
				return errNotReady
			}
		}
	}
	return nil
}

// isReady reports whether a daemon is ready and knows at least the given number of
// backend servers.
func isReady(s settings.Settings, servers int) bool {
	resp, err := http.Get("http://" + s.Listen.Callers + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	resp, err = http.Get("http://" + s.Listen.Operators + "/status")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var status operators.Status
	return json.NewDecoder(resp.Body).Decode(&status) == nil && len(status.BackendServers) >= servers
}

// clusterSettings returns the settings of each daemon of a cluster, with free
// addresses on the local host.
func clusterSettings(dir string, cfg clusterConfig) ([]settings.Settings, error) {
	all := make([]settings.Settings, cfg.Daemons)
	var peers []settings.Peer
	var voters []string
	for i := range all {
		s := settings.Default()
		s.Deployment, s.Region = "measured", "measured"
		s.Daemon = gypsumshelf.DaemonID(fmt.Sprintf("entry-%d", i+1))
		s.DataCentre = clusterDataCentres[i%len(clusterDataCentres)]
		s.DataFolder = filepath.Join(dir, string(s.Daemon))
		s.AllowedNetworks = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
		s.LogLevel = "error"
		if cfg.Policy != "" {
			s.Routing.Policy = cfg.Policy
		}
		for _, address := range []*string{&s.Listen.Callers, &s.Listen.BackendServers, &s.Listen.Peers, &s.Listen.Operators, &s.Listen.Metrics} {
			free, err := standins.FreeAddress()
			if err != nil {
				return nil, err
			}
			*address = free
		}
		peers = append(peers, settings.Peer{Daemon: s.Daemon, Address: s.Listen.Peers, DataCentre: s.DataCentre})
		if i < clusterVoters {
			voters = append(voters, string(s.Daemon))
		}
		all[i] = s
	}
	for i := range all {
		all[i].Peers, all[i].Voters = peers, voters
	}
	return all, nil
}
