package settings

import (
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"

	"gypsumshelf.example/gypsumshelf"
)

// Roles of the daemons of a deployment whose hosts find each other.
const (
	RoleEntry   = "entry"   // takes requests, keeps no durable state
	RoleControl = "control" // votes in the replicated log
)

// Host are the checked settings of one daemon of a deployment whose daemons
// are told three addresses and find each other from there.
type Host struct {
	Daemon     gypsumshelf.DaemonID `json:"daemon"` // name in logs
	Role       string               `json:"role"`
	Address    netip.Addr           `json:"address"` // of this host
	DataCentre string               `json:"data-centre"`
	Region     string               `json:"region"`
	DataFolder string               `json:"data-folder"` // of a control daemon
	FirstStart bool                 `json:"first-start"` // the whole deployment starts with empty disks
	Seeds      []netip.AddrPort     `json:"seeds"`       // where control daemons serve operators
	Ports      Ports                `json:"ports"`
	Listen     HostListen           `json:"listen"`
	Bounds     HostBounds           `json:"bounds"`
	LogLevel   string               `json:"log-level"`
	// StaleState is the time without any control daemon after which an entry
	// daemon refuses requests; 0 lets it go on with the state that it has.
	StaleState Duration `json:"stale-state"`
}

// Ports are the ports between daemons, the same on all hosts.
type Ports struct {
	Internal uint16 `json:"internal"` // replicated log; the directory is at the next one
	Metrics  uint16 `json:"metrics"`
}

// HostListen holds the addresses of the listeners to the outside.
type HostListen struct {
	Callers   string `json:"callers"`   // requests, of an entry daemon
	Readiness string `json:"readiness"` // load balancer, of an entry daemon
	Control   string `json:"control"`   // operators and backend servers, of a control daemon
}

// HostBounds are promises to the users of a deployment.
type HostBounds struct {
	Grace       Duration `json:"grace"`       // from a stop signal to the kill
	Heartbeat   Duration `json:"heartbeat"`   // period at which backend servers announce themselves
	RetryRatio  float64  `json:"retry-ratio"` // second attempts for each request, over all daemons
	RetrySlack  float64  `json:"retry-slack"` // second attempts beyond that in RetryWindow
	RetryWindow Duration `json:"retry-window"`
}

const maxPort = 1<<16 - 1

// PeerAddress returns the address at which the host's daemon listens for others.
func (h Host) PeerAddress() netip.AddrPort { return netip.AddrPortFrom(h.Address, h.Ports.Internal) }

// DirectoryAddress returns the address of the host's directory.
func (h Host) DirectoryAddress() netip.AddrPort {
	return netip.AddrPortFrom(h.Address, h.Ports.Internal+1)
}

// SeedDirectories returns the addresses of the directories of the seeds.
func (h Host) SeedDirectories() []string {
	addresses := make([]string, 0, len(h.Seeds))
	for _, s := range h.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(s.Addr(), h.Ports.Internal+1).String())
	}
	return addresses
}

// LoadHost reads and checks the settings of a host.
func LoadHost(path string) (Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Host{}, merry.Prepend(err, "settings file cannot be read")
	}
	return ParseHost(data)
}

// Check reads and checks a settings file of either kind: that of a host, which
// names a role, or that of a daemon that is told all its peers.
func Check(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return merry.Prepend(err, "settings file cannot be read")
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return merry.Prepend(err, "settings are not valid JSON with comments")
	}
	if value.Find("/role") != nil {
		_, err = ParseHost(data)
	} else {
		_, err = Parse(data)
	}
	return err
}

// ParseHost decodes and checks the settings of a host.
func ParseHost(data []byte) (Host, error) {
	h := Host{LogLevel: "info"}
	d, err := parseInto(data, &h)
	if err != nil {
		return Host{}, err
	}
	d.checkHost(h)
	if len(d.faults) > 0 {
		return Host{}, d.sortedFaults()
	}
	return h, nil
}

// parseInto decodes a settings file and finds unknown and repeated keys.
func parseInto[T any](data []byte, out *T) (*document, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, merry.Prepend(err, "settings are not valid JSON with comments")
	}
	d := &document{data: data, lines: map[string]int{}}
	d.checkValue(value, reflect.TypeFor[T](), "")
	if len(d.faults) > 0 {
		return nil, d.sortedFaults()
	}
	value = value.Clone()
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), out); err != nil {
		return nil, merry.Prepend(err, "settings")
	}
	return d, nil
}

func (d *document) checkHost(h Host) {
	for _, f := range []struct {
		key     string
		invalid bool
	}{
		{"daemon", h.Daemon == ""},
		{"address", !h.Address.IsValid()},
		{"data-centre", h.DataCentre == ""},
		{"seeds", len(h.Seeds) == 0},
		{"ports.internal", h.Ports.Internal == 0 || h.Ports.Internal == maxPort},
		{"bounds.grace", h.Bounds.Grace <= 0},
		{"bounds.heartbeat", h.Bounds.Heartbeat <= 0},
		{"bounds.retry-window", h.Bounds.RetryWindow <= 0},
		{"stale-state", h.StaleState < 0},
		{"bounds.retry-ratio", h.Bounds.RetryRatio < 0},
		{"data-folder", h.Role == RoleControl && h.DataFolder == ""},
		{"listen.control", h.Role == RoleControl && !isAddress(h.Listen.Control)},
		{"listen.callers", h.Role == RoleEntry && !isAddress(h.Listen.Callers)},
		{"listen.readiness", h.Role == RoleEntry && !isAddress(h.Listen.Readiness)},
	} {
		if f.invalid {
			d.addFault(f.key, "is missing or out of range")
		}
	}
	if !slices.Contains([]string{RoleEntry, RoleControl}, h.Role) {
		d.addFault("role", "is %q, want %s or %s", h.Role, RoleEntry, RoleControl)
	}
	if !slices.Contains(logLevels, h.LogLevel) {
		d.addFault("log-level", "is %q, want one of %v", h.LogLevel, logLevels)
	}
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
