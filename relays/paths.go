package relays

import "time"

const (
	// lossesOfPath is the number of connections in a row that failed here while another
	// daemon reached the same backend server, after which the path to it counts as
	// lost. One may be a lost packet.
	lossesOfPath = 2
	// serversOfPath is the number of backend servers of a service, lost one after the
	// other without a direct connection in between, after which the path to the whole
	// service counts as lost.
	serversOfPath = 2
	// soundRounds is the number of rounds of successful probes in a row after which a
	// path counts as regained. It doubles, up to maxSoundRounds, each time the path is
	// lost again within flapWindow: while packets are lost, a daemon does not go back
	// and forth.
	soundRounds    = 3
	maxSoundRounds = 24
	flapWindow     = 30 * time.Second
	// pathRetention is the time for which a lost path without probes is remembered.
	pathRetention = time.Minute
)

// path is the state of the path to a backend server, or to a service.
type path struct {
	losses     int             // in a row, of a backend server
	servers    map[string]bool // lost in a row, of a service
	lost       bool
	lostAt     time.Time
	regainedAt time.Time
	rounds     int // successful rounds of probes in a row
	needed     int // rounds after which the path counts as regained
	touchedAt  time.Time
}

// Paths is what a daemon knows of its own paths to backend servers. It has no clock and
// no I/O, and is not safe for concurrent use.
type Paths struct {
	servers  map[string]*path // by address
	services map[string]*path
}

// NewPaths returns Paths on which nothing is lost.
func NewPaths() *Paths {
	return &Paths{servers: map[string]*path{}, services: map[string]*path{}}
}

// IsLost reports whether the path to a backend server is lost, alone or with its service.
func (p *Paths) IsLost(t Target) bool {
	return isLost(p.servers[t.Address]) || p.IsServiceLost(t.Service)
}

// IsServiceLost reports whether the path to a whole service is lost.
func (p *Paths) IsServiceLost(service string) bool { return isLost(p.services[service]) }

// IsSuspect reports whether a connection failed here lately that another daemon could
// make, and none was made since, nor the path regained by probes.
func (p *Paths) IsSuspect(t Target) bool {
	server, service := p.servers[t.Address], p.services[t.Service]
	return server != nil && server.losses > 0 || service != nil && len(service.servers) > 0
}

func isLost(p *path) bool { return p != nil && p.lost }

// LostServices returns the services to which the path is lost.
func (p *Paths) LostServices() []string { return lostKeys(p.services) }

// LostServers returns the addresses of the backend servers to which the path is lost.
func (p *Paths) LostServers() []string { return lostKeys(p.servers) }

func lostKeys(paths map[string]*path) []string {
	var keys []string
	for key, path := range paths {
		if path.lost {
			keys = append(keys, key)
		}
	}
	return keys
}

// RecordDirect records a direct connection. A path that is lost is regained by probes
// only.
func (p *Paths) RecordDirect(t Target) {
	if server := p.servers[t.Address]; server != nil && !server.lost {
		delete(p.servers, t.Address)
	}
	if service := p.services[t.Service]; service != nil && !service.lost {
		service.servers = map[string]bool{}
	}
}

// RecordLoss records that no direct connection was made to a backend server that another
// daemon reached. It reports whether the path to the whole service is lost with it.
func (p *Paths) RecordLoss(now time.Time, t Target) (serviceLost bool) {
	server := touch(p.servers, t.Address, now)
	if server.losses++; server.losses >= lossesOfPath {
		server.lose(now)
	}
	service := touch(p.services, t.Service, now)
	service.servers[t.Address] = true
	return len(service.servers) >= serversOfPath && service.lose(now)
}

func touch(paths map[string]*path, key string, now time.Time) *path {
	if paths[key] == nil {
		paths[key] = &path{servers: map[string]bool{}}
	}
	paths[key].touchedAt = now
	return paths[key]
}

// lose marks the path as lost and reports whether it was not before.
func (p *path) lose(now time.Time) bool {
	if p.lost {
		return false
	}
	p.needed = soundRounds
	if !p.regainedAt.IsZero() && now.Sub(p.regainedAt) < flapWindow {
		p.needed = min(maxSoundRounds, 2*max(soundRounds, p.rounds))
	}
	p.lost, p.lostAt, p.rounds = true, now, 0
	return true
}

// recordRound records a round of probes and reports whether the path is regained by it.
func (p *path) recordRound(now time.Time, sound bool) bool {
	p.touchedAt = now
	if p.rounds++; !sound {
		p.rounds = 0
	}
	if p.rounds < p.needed {
		return false
	}
	p.lost, p.regainedAt, p.losses, p.servers = false, now, 0, map[string]bool{}
	return true
}

// RecordServerRound records a probe of a backend server to which the path is lost.
func (p *Paths) RecordServerRound(now time.Time, address string, sound bool) {
	if server := p.servers[address]; !isLost(server) || !server.recordRound(now, sound) {
		return
	}
	// The probes were direct connections: the server no longer counts towards the loss of
	// its service.
	for _, service := range p.services {
		delete(service.servers, address)
	}
}

// RecordServiceRound records a round of probes of a service: sound if all of them were
// answered. It reports whether the path is regained by it, and how long it was lost.
func (p *Paths) RecordServiceRound(now time.Time, service string, sound bool) (regained bool, lostFor time.Duration) {
	s := p.services[service]
	if !isLost(s) || !s.recordRound(now, sound) {
		return false, 0
	}
	return true, now.Sub(s.lostAt)
}

// Prune forgets paths that nothing was heard of for pathRetention.
func (p *Paths) Prune(now time.Time) {
	for _, paths := range []map[string]*path{p.servers, p.services} {
		for key, path := range paths {
			if now.Sub(path.touchedAt) > pathRetention {
				delete(paths, key)
			}
		}
	}
}
