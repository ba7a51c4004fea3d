package relays

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// probePeriod is the period of the rounds in which lost paths are probed.
	probePeriod = 500 * time.Millisecond
	// probeTimeout bounds a probe. A connection takes a few ms.
	probeTimeout = 250 * time.Millisecond
	// probedServers is the number of backend servers that are probed in each round for
	// one service. One alone may be unreachable by itself.
	probedServers = 4
	// maxProbedServers bounds the probes of single backend servers in each round.
	maxProbedServers = 16
	// statusPeriod is the period at which a lost path is logged.
	statusPeriod = 10 * time.Second
)

// probePaths starts a round of probes of all lost paths. No caller's request serves as a
// probe.
func (d *Dialer) probePaths(now time.Time) {
	d.mu.Lock()
	d.paths.Prune(now)
	services, servers := d.paths.LostServices(), d.paths.LostServers()
	// Only the probes of a lost path find out that there is a way again.
	maps.DeleteFunc(d.failedRounds, func(service string, _ int) bool { return !slices.Contains(services, service) })
	d.rotation += probedServers
	d.mu.Unlock()
	if len(services)+len(servers) == 0 || d.round.Swap(true) {
		return
	}
	round := &probeRound{dialer: d, services: services, servers: servers[:min(len(servers), maxProbedServers)]}
	go round.run()
}

// probeRound is one round of probes.
type probeRound struct {
	dialer   *Dialer
	services []string
	servers  []string // addresses
}

func (r *probeRound) run() {
	d := r.dialer
	defer d.round.Store(false)
	results := make(chan *probe)
	pending := 0
	start := func(service, address string) {
		pending++
		go (&probe{dialer: d, service: service, address: address, results: results}).run()
	}
	for _, service := range r.services {
		for _, address := range d.probedAddresses(service) {
			start(service, address)
		}
	}
	for _, address := range r.servers {
		start("", address)
	}
	failed, reached := map[string]bool{}, map[string]bool{} // by service
	for ; pending > 0; pending-- {
		p := <-results
		if p.service == "" {
			d.recordServerProbe(p.address, p.sound)
			continue
		}
		failed[p.service] = failed[p.service] || !p.sound
		reached[p.service] = reached[p.service] || p.sound
	}
	for _, service := range r.services {
		d.recordServiceProbes(service, reached[service] && !failed[service])
		d.recordWay(service, reached[service] || d.reachThroughOthers(service))
	}
}

// probedAddresses returns the backend servers of a service that are probed in this
// round.
func (d *Dialer) probedAddresses(service string) []string {
	addresses := d.cfg.Servers.AddressesOf(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	var probed []string
	for i := range min(probedServers, len(addresses)) {
		probed = append(probed, addresses[(d.rotation+i)%len(addresses)])
	}
	return probed
}

// probe is one direct connection that carries nothing.
type probe struct {
	dialer  *Dialer
	service string // empty for a probe of a backend server alone
	address string
	sound   bool
	results chan *probe
}

func (p *probe) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.dialer.cfg.Dial(ctx, "tcp", p.address)
	if p.sound = err == nil; p.sound {
		conn.Close()
	}
	p.results <- p
}

func (d *Dialer) recordServerProbe(address string, sound bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paths.RecordServerRound(d.cfg.Timers.Now(), address, sound)
}

func (d *Dialer) recordServiceProbes(service string, sound bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Timers.Now()
	log := d.cfg.Log.WithFields(logrus.Fields{"service": service, "relayed": d.relayed.Load()})
	if regained, lostFor := d.paths.RecordServiceRound(now, service, sound); regained {
		log.WithField("lost-ms", lostFor.Milliseconds()).Warn("the path to the backend servers of a service is back")
	} else if now.Sub(d.lastStatus) > statusPeriod {
		d.lastStatus = now
		log.WithField("no-way", d.failedRounds[service] >= noWayRounds).Warn("the path to the backend servers of a service is still lost")
	}
}

// reachThroughOthers reports whether any daemon can connect to a service for this one.
func (d *Dialer) reachThroughOthers(service string) bool {
	addresses := d.probedAddresses(service)
	peers := d.pickRelays(service)
	for i := 0; i < len(peers) && len(addresses) > 0; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		t := Target{Address: addresses[i%len(addresses)], Service: service}
		n, v, err := openTunnel(ctx, d.dialPeer, string(peers[i].Daemon), t)
		cancel()
		d.recordRelay(peers[i], t, v)
		if err == nil {
			n.Close()
			return true
		}
	}
	return len(addresses) == 0 // nothing is known
}

// noWayRounds is the number of rounds in a row in which a service was reached neither
// directly nor through others, after which requests are refused at once and hold no
// engine. While packets are lost on the way, one round may fail by chance.
const noWayRounds = 2

// recordWay records whether a service to which the path is lost was reached in any way.
func (d *Dialer) recordWay(service string, reached bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	had := d.failedRounds[service] < noWayRounds
	if d.failedRounds[service]++; reached || !d.paths.IsServiceLost(service) {
		delete(d.failedRounds, service)
	}
	if has := d.failedRounds[service] < noWayRounds; has != had {
		d.cfg.Log.WithFields(logrus.Fields{"service": service, "reached": has}).Warn("whether the backend servers of a service are reached in any way has changed")
	}
}
