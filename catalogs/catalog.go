// Package catalogs defines the catalog, the versioned configuration of a
// deployment: routes, services, workspaces and limits on callers. It also
// defines the replicated state that holds the newest catalog.
package catalogs

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"gypsumshelf.example/gypsumshelf/costs"
)

// RouteKind states how often a request of a route may run.
type RouteKind uint8

// Kinds of routes.
const (
	Safe   RouteKind = iota // may run more than once
	Unsafe                  // runs at most once
	Stream                  // an event stream, runs at most once unless it can be resumed
)

// WeightedService is the weight of one service in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route configures the handling of requests for one host name and path prefix.
type Route struct {
	Name        string
	Host        string // host name without a port, lower case
	Prefix      string // path prefix, begins and ends with a slash
	Kind        RouteKind
	Timeout     time.Duration // longest time for which a caller waits
	Target      time.Duration // target for the time to the answer, or to the first event of a stream
	GapTarget   time.Duration // target for the longest pause between events
	Priority    int           // 0 is the most urgent
	Split       []WeightedService
	MaxAttempts int  // number of backend servers to which one request may be sent
	Anonymous   bool // requests need no key
	Resumable   bool // a stream may be resumed on another backend server
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// SelectService selects the service for a request by the weights of the split.
// n is a uniformly distributed random number.
func (r *Route) SelectService(n uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := int(n % uint64(total))
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name                  string
	HealthPath            string
	MaxConnections        int            // connections that one backend server accepts from all callers
	ColdDuration          time.Duration  // time for which a backend server is cold after its start
	ColdRequestsPerSecond float64        // requests per second that a cold backend server can serve, 0 when unlimited
	Engine                *costs.Profile // performance profile of a model engine, nil for a plain service
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int // overrides the priority of a route when set
}

// Limits bound the size of a caller's requests and the time to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // time for which an idle connection of a caller is kept
}

// Spec is the content of a catalog before validation.
type Spec struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// RequiresKeys states that requests need the key of a workspace, also if there is no
	// workspace left. With any workspace they do.
	RequiresKeys bool
	Limits       Limits
}

// Catalog is a validated configuration. It is immutable.
type Catalog struct {
	spec            Spec
	routesByHost    map[string][]*Route // longest prefix first
	servicesByName  map[string]*Service
	workspacesByKey map[string]*Workspace
}

// New validates a configuration and builds the indexes for look-ups.
func New(spec Spec) (*Catalog, error) {
	c := &Catalog{spec: spec, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{}, workspacesByKey: map[string]*Workspace{}}
	for i := range spec.Services {
		s := &spec.Services[i]
		if s.Name == "" || c.servicesByName[s.Name] != nil {
			return nil, fmt.Errorf("service %q has no name or is listed twice", s.Name)
		}
		c.servicesByName[s.Name] = s
	}
	for i := range spec.Routes {
		if err := c.addRoute(&spec.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range spec.Workspaces {
		w := &spec.Workspaces[i]
		for _, key := range w.Keys {
			if other := c.workspacesByKey[key]; other != nil && other.Name != w.Name {
				return nil, fmt.Errorf("workspaces %q and %q share a key", other.Name, w.Name)
			}
			c.workspacesByKey[key] = w
		}
	}
	return c, nil
}

func (c *Catalog) addRoute(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %q has no host name", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	case r.Timeout <= 0:
		return fmt.Errorf("route %q has no timeout", r.Name)
	}
	total := 0
	for _, s := range r.Split {
		if c.servicesByName[s.Service] == nil {
			return fmt.Errorf("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return fmt.Errorf("weights of route %q add up to 0", r.Name)
	}
	for _, other := range c.routesByHost[r.Host] {
		if other.Prefix == r.Prefix {
			return fmt.Errorf("routes %q and %q have the same host name and prefix", other.Name, r.Name)
		}
	}
	c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	return nil
}

// Version returns the version of the catalog.
func (c *Catalog) Version() uint64 { return c.spec.Version }

// Limits returns the limits on callers.
func (c *Catalog) Limits() Limits { return c.spec.Limits }

// Services returns all services.
func (c *Catalog) Services() []Service { return c.spec.Services }

// Service returns the service with a name, or nil if there is none.
func (c *Catalog) Service(name string) *Service { return c.servicesByName[name] }

// WarmUpTime returns the time for which a backend server of a service is cold after its
// start, 0 for an unknown service. A nil catalog knows none.
func (c *Catalog) WarmUpTime(service string) time.Duration {
	if c == nil {
		return 0
	}
	if s := c.servicesByName[service]; s != nil {
		return s.ColdDuration
	}
	return 0
}

// RequiresKey reports whether requests need the API key of a workspace.
func (c *Catalog) RequiresKey() bool { return c.spec.RequiresKeys || len(c.spec.Workspaces) > 0 }

// Workspace returns the workspace with an API key, or nil if there is none. A request
// without a key has an empty one, which belongs to no workspace.
func (c *Catalog) Workspace(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.workspacesByKey[key]
}

// WorkspaceNamed returns the workspace with a name, or nil if there is none.
func (c *Catalog) WorkspaceNamed(name string) *Workspace {
	i := slices.IndexFunc(c.spec.Workspaces, func(w Workspace) bool { return w.Name == name })
	if i < 0 {
		return nil
	}
	return &c.spec.Workspaces[i]
}

// Route returns the route of the host name with the longest prefix of the path,
// or nil if there is none. The host may include a port.
func (c *Catalog) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
