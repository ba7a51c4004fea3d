package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"github.com/ansel1/merry/v2"

	"gypsumshelf.example/gypsumshelf/routes"
)

// maxVoters bounds the voters of the replicated log. Each voter adds a copy of
// every entry, and five voters already tolerate the loss of two.
const maxVoters = 5

var logLevels = []string{"debug", "info", "warn", "error"}

// Load reads and checks a settings file. If the file is invalid, the error is
// a ValidationErrors that lists all errors.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Prepend(err, "reading settings file")
	}
	return Parse(data)
}

// Parse decodes and checks settings.
func Parse(data []byte) (Settings, error) {
	s := Default()
	d, err := parseInto(data, &s)
	if err != nil {
		return Settings{}, err
	}
	d.check(s)
	if len(d.errs) > 0 {
		return Settings{}, d.sortedErrors()
	}
	return s, nil
}

func (d *document) sortedErrors() ValidationErrors {
	slices.SortStableFunc(d.errs, func(a, b ValidationError) int { return cmp.Compare(a.Line, b.Line) })
	return d.errs
}

func (d *document) check(s Settings) {
	d.checkNames(s)
	d.checkAddresses(s)
	d.checkPeers(s)
	d.checkVoters(s)
	d.checkLimits(s.Limits)
	d.checkServices(s.Services)
	if len(s.AllowedNetworks) == 0 {
		d.addError("allowed-networks", "is empty; no backend server could announce itself")
	}
	if s.Workspaces != nil && len(s.Workspaces) == 0 {
		d.addError("workspaces", "is empty; no workspace could send a request")
	}
	if !slices.Contains(routes.Names(), s.Routing.Policy) {
		d.addError("routing.policy", "unknown policy %q, want one of %v", s.Routing.Policy, routes.Names())
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		d.addError("log-level", "is %q, want one of %v", s.LogLevel, logLevels)
	}
	if s.Traces.Endpoint != "" && s.Traces.File != "" {
		d.addError("traces", "has both endpoint and file, want at most one")
	}
}

func (d *document) checkNames(s Settings) {
	for _, f := range []struct{ key, value string }{
		{"deployment", s.Deployment}, {"daemon", string(s.Daemon)},
		{"data-centre", s.DataCentre}, {"region", s.Region},
	} {
		if f.value == "" {
			d.addError(f.key, "is missing or empty")
		}
	}
}

func (d *document) checkAddresses(s Settings) {
	used := map[string]string{} // settings key by address
	for _, l := range []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.backend-servers", s.Listen.BackendServers},
		{"listen.peers", s.Listen.Peers}, {"listen.operators", s.Listen.Operators},
		{"listen.metrics", s.Listen.Metrics},
	} {
		d.checkAddress(l.key, l.address)
		d.checkAddressUnused(used, l.key, l.address)
	}
	for i, p := range s.Peers {
		key := fmt.Sprintf("peers[%d].address", i)
		d.checkAddress(key, p.Address)
		if p.Daemon != s.Daemon {
			d.checkAddressUnused(used, key, p.Address)
		}
	}
}

func (d *document) checkAddress(key, address string) {
	if address == "" {
		d.addError(key, "is missing or empty")
		return
	}
	ap, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		d.addError(key, "%q is not an IP address with a port, such as 10.0.0.1:8080; host names are not resolved", address)
	case ap.Port() == 0:
		d.addError(key, "%q has port 0, want 1 to 65535", address)
	}
}

func (d *document) checkAddressUnused(used map[string]string, key, address string) {
	if other, ok := used[address]; ok && address != "" {
		d.addError(key, "address %s is already used by %s", address, other)
		return
	}
	used[address] = key
}

func (d *document) checkPeers(s Settings) {
	seen := map[string]bool{}
	selfListed := false
	for i, p := range s.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		if p.Daemon == "" || p.DataCentre == "" {
			d.addError(key, "daemon or data-centre is missing or empty")
		}
		if seen[string(p.Daemon)] {
			d.addError(key+".daemon", "daemon %q is listed twice", p.Daemon)
		}
		seen[string(p.Daemon)] = true
		if p.Daemon != s.Daemon {
			continue
		}
		selfListed = true
		if p.Address != s.Listen.Peers {
			d.addError(key+".address", "is %s, but listen.peers of this daemon is %s", p.Address, s.Listen.Peers)
		}
		if p.DataCentre != s.DataCentre {
			d.addError(key+".data-centre", "is %q, but data-centre of this daemon is %q", p.DataCentre, s.DataCentre)
		}
	}
	if !selfListed {
		d.addError("peers", "does not list the daemon %q of this file", s.Daemon)
	}
}

func (d *document) checkVoters(s Settings) {
	if n := len(s.Voters); n%2 == 0 || n > maxVoters {
		d.addError("voters", "has %d daemons, want an odd number of at most %d", n, maxVoters)
	}
	for i, v := range s.Voters {
		key := fmt.Sprintf("voters[%d]", i)
		if !slices.ContainsFunc(s.Peers, func(p Peer) bool { return string(p.Daemon) == v }) {
			d.addError(key, "daemon %q is not listed in peers", v)
		}
		if slices.Index(s.Voters, v) != i {
			d.addError(key, "daemon %q is listed twice", v)
		}
		if v == string(s.Daemon) && s.DataFolder == "" {
			d.addError(key, "daemon %q has no data-folder, but a voter must keep its vote across restarts", v)
		}
	}
}

func (d *document) checkLimits(l Limits) {
	for _, f := range []struct {
		key   string
		value int64
	}{
		{"max-body-bytes", l.MaxBodyBytes}, {"body-budget-bytes", l.BodyBudgetBytes},
		{"max-attempts", int64(l.MaxAttempts)}, {"freshness-lease", int64(l.FreshnessLease)},
		{"progress-timeout", int64(l.ProgressTimeout)}, {"dial-timeout", int64(l.DialTimeout)},
		{"server-expiry", int64(l.ServerExpiry)},
	} {
		if f.value <= 0 {
			d.addError("limits."+f.key, "must be greater than zero")
		}
	}
	if l.LoadsPerMinute <= 0 {
		d.addError("limits.loads-per-minute", "must be greater than zero")
	}
	if l.BodyBudgetBytes < l.MaxBodyBytes {
		d.addError("limits.body-budget-bytes", "must be at least max-body-bytes, or the largest body could not be kept for a retry")
	}
}
