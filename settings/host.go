package settings

import (
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// Roles of daemons in a deployment with discovery by seed addresses.
const (
	RoleEntry   = "entry"   // serves requests of callers, has no durable state
	RoleControl = "control" // is a voter of the replicated log
)

// Host holds the checked settings of one daemon in a deployment whose daemons
// discover each other from a few seed addresses.
type Host struct {
	Daemon     gypsumshelf.DaemonID `json:"daemon"` // only used in logs
	Role       string               `json:"role"`
	Address    netip.Addr           `json:"address"` // of this host
	DataCentre string               `json:"data-centre"`
	Region     string               `json:"region"`
	DataFolder string               `json:"data-folder"` // of a control daemon
	FirstStart bool                 `json:"first-start"` // the whole deployment starts for the first time, with empty disks
	Seeds      []netip.AddrPort     `json:"seeds"`       // addresses at which control daemons serve operators
	Ports      Ports                `json:"ports"`
	Listen     HostListen           `json:"listen"`
	Bounds     HostBounds           `json:"bounds"`
	LogLevel   string               `json:"log-level"`
	MemoryMB   int                  `json:"memory-mb"` // memory that the process may use, 0 when unknown
	DiskMB     int                  `json:"disk-mb"`   // size of the disk with the data folder, 0 when unknown
	// StaleState is the time without contact to any control daemon after which an
	// entry daemon refuses requests. With 0 it serves them from its last known
	// state without a limit.
	StaleState Duration `json:"stale-state"`
	// DataCentres holds the region by data centre, of all in which backend servers may be.
	// It is nil when they are unknown.
	DataCentres map[string]string `json:"data-centres"`
	Placement   Placement         `json:"placement"`
}

// Placement switches on decisions of the scheduler that a deployment asks for. Without
// them requests are placed as by builds that do not know the section.
type Placement struct {
	AvoidBadPaths      bool `json:"avoid-bad-paths"`      // measure the paths between data centres and avoid those that lose packets
	LearnPredictions   bool `json:"learn-predictions"`    // correct predicted times by those of finished work
	ForecastDemand     bool `json:"forecast-demand"`      // divide engines by the expected arrivals
	FindPace           bool `json:"find-pace"`            // raise the load of a server that has started or recovered by its answers
	ProtectFirstEvents bool `json:"protect-first-events"` // let no prefill make the first event of a placed short prompt late
	ShareBusyEngines   bool `json:"share-busy-engines"`   // tell entry daemons which engines work for long prompts, for the time without a leader
	CheckNeighbours    bool `json:"check-neighbours"`     // poll the engines of a data centre at once when one of them has failed
}

// Policy returns the decisions that the settings ask for.
func (p Placement) Policy() schedules.Policy {
	return schedules.Policy{
		AvoidBadPaths: p.AvoidBadPaths, LearnPredictions: p.LearnPredictions, ForecastDemand: p.ForecastDemand, FindPace: p.FindPace,
		CheckNeighbours: p.CheckNeighbours, ShareBusyEngines: p.ShareBusyEngines, ProtectFirstEvents: p.ProtectFirstEvents,
	}
}

// Ports are ports that are the same on all hosts.
type Ports struct {
	Internal uint16 `json:"internal"` // of the replicated log; the directory uses the next port
	Metrics  uint16 `json:"metrics"`  // 0 for none
}

// HostListen holds the addresses (IP:PORT) of the external listeners.
type HostListen struct {
	Callers   string `json:"callers"`   // entry daemon: requests of callers
	Readiness string `json:"readiness"` // entry daemon: readiness checks of the load balancer
	Control   string `json:"control"`   // control daemon: calls of operators and backend servers
}

// HostBounds are limits that a deployment guarantees to its users.
type HostBounds struct {
	Grace       Duration `json:"grace"`       // time from the stop signal until the process is killed
	Heartbeat   Duration `json:"heartbeat"`   // period of the announcements of backend servers
	RetryRatio  float64  `json:"retry-ratio"` // allowed second attempts per request, over all daemons
	RetrySlack  float64  `json:"retry-slack"` // second attempts allowed beyond RetryRatio within RetryWindow
	RetryWindow Duration `json:"retry-window"`
	FreeMemory  Duration `json:"free-memory"` // time within which engine memory must be free after its request has ended, 0 for 4 s
}

// minFreeMemory is the shortest bounds.free-memory: in less time a dead engine cannot
// be told from one whose answers are delayed.
const minFreeMemory = Duration(1500 * time.Millisecond)

const maxPort = 1<<16 - 1

// PeerAddress returns the address at which the host's daemon listens for peers.
func (h Host) PeerAddress() netip.AddrPort { return netip.AddrPortFrom(h.Address, h.Ports.Internal) }

// DirectoryAddress returns the address of the host's directory.
func (h Host) DirectoryAddress() netip.AddrPort {
	return netip.AddrPortFrom(h.Address, h.Ports.Internal+1)
}

// SeedDirectories returns the directory addresses of the seeds.
func (h Host) SeedDirectories() []string {
	addresses := make([]string, 0, len(h.Seeds))
	for _, s := range h.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(s.Addr(), h.Ports.Internal+1).String())
	}
	return addresses
}

// MemoryBytes returns the memory that the process may use, 0 when unknown.
func (h Host) MemoryBytes() int64 { return int64(h.MemoryMB) << 20 }

// DiskBytes returns the size of the disk with the data folder, 0 when unknown.
func (h Host) DiskBytes() int64 { return int64(h.DiskMB) << 20 }

// LoadHost reads and checks the settings of a host.
func LoadHost(path string) (Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Host{}, merry.Prepend(err, "reading settings file")
	}
	return ParseHost(data)
}

// Check reads and checks a settings file of either kind: a file with a role is
// decoded as Host, any other as Settings.
func Check(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return merry.Prepend(err, "reading settings file")
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
	if len(d.errs) > 0 {
		return Host{}, d.sortedErrors()
	}
	return h, nil
}

// parseInto decodes a settings file into out. It reports unknown and repeated keys
// and values of a wrong type as ValidationErrors.
func parseInto[T any](data []byte, out *T) (*document, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, merry.Prepend(err, "settings are not valid JSON with comments")
	}
	d := &document{data: data, lines: map[string]int{}}
	d.checkValue(value, reflect.TypeFor[T](), "")
	if len(d.errs) > 0 {
		return nil, d.sortedErrors()
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
		{"data-centres", h.DataCentres != nil && len(h.DataCentres) == 0},
		{"ports.internal", h.Ports.Internal == 0 || h.Ports.Internal == maxPort},
		{"bounds.grace", h.Bounds.Grace <= 0},
		{"bounds.heartbeat", h.Bounds.Heartbeat <= 0},
		{"bounds.retry-window", h.Bounds.RetryWindow <= 0},
		{"stale-state", h.StaleState < 0},
		{"bounds.free-memory", h.Bounds.FreeMemory < 0 || h.Bounds.FreeMemory > 0 && h.Bounds.FreeMemory < minFreeMemory},
		{"memory-mb", h.MemoryMB < 0},
		{"disk-mb", h.DiskMB < 0},
		{"bounds.retry-ratio", h.Bounds.RetryRatio < 0},
		{"data-folder", h.Role == RoleControl && h.DataFolder == ""},
		{"listen.control", h.Role == RoleControl && !isAddress(h.Listen.Control)},
		{"listen.callers", h.Role == RoleEntry && !isAddress(h.Listen.Callers)},
		{"listen.readiness", h.Role == RoleEntry && !isAddress(h.Listen.Readiness)},
	} {
		if f.invalid {
			d.addError(f.key, "is missing or invalid")
		}
	}
	if !slices.Contains([]string{RoleEntry, RoleControl}, h.Role) {
		d.addError("role", "is %q, want %s or %s", h.Role, RoleEntry, RoleControl)
	}
	if !slices.Contains(logLevels, h.LogLevel) {
		d.addError("log-level", "is %q, want one of %v", h.LogLevel, logLevels)
	}
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
