package soaks

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	defaultControls = 3
	defaultEntries  = 2
	// catchUpTime is the time for which a host that is back still counts as lost.
	catchUpTime = 4 * time.Second
	// metricsTimeout bounds a read of a daemon's metrics.
	metricsTimeout = time.Second
)

// DeploymentConfig configures a Deployment.
type DeploymentConfig struct {
	Seed     uint64
	Program  string // path of the gypsumshelf program
	Next     string // path of the program that replaces it, "" for none
	Folder   string // for settings, data folders and logs of the daemons
	Controls int    // number of control daemons, 0 for 3
	Entries  int    // number of entry daemons, 0 for 2, negative for none
	Checker  *Checker
	Log      *logrus.Entry
}

// Deployment is a set of hosts on loopback addresses. The control daemons come first.
type Deployment struct {
	cfg    DeploymentConfig
	block  *Block
	hosts  []*Host
	stops  plannedStops
	census census
	// limitRand draws limits of processes.
	limitRand *rand.Rand
}

// NewDeployment returns a Deployment whose daemons are not started yet.
func NewDeployment(cfg DeploymentConfig) (*Deployment, error) {
	cfg.Controls, cfg.Entries = cmp.Or(cfg.Controls, defaultControls), max(cmp.Or(cfg.Entries, defaultEntries), 0)
	if n := cfg.Controls + cfg.Entries; n > maxHosts {
		return nil, fmt.Errorf("%d hosts, want at most %d", n, maxHosts)
	}
	b, err := ReserveBlock(cfg.Seed)
	if err != nil {
		return nil, err
	}
	d := &Deployment{cfg: cfg, block: b, limitRand: rand.New(rand.NewPCG(cfg.Seed, 3))}
	for i := range cfg.Controls + cfg.Entries {
		h, err := d.newHost(i)
		if err != nil {
			b.Close()
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	return d, nil
}

// Hosts returns all hosts.
func (d *Deployment) Hosts() []*Host { return d.hosts }

// Controls returns the hosts of control daemons.
func (d *Deployment) Controls() []*Host { return d.hosts[:d.cfg.Controls] }

// Entries returns the hosts of entry daemons.
func (d *Deployment) Entries() []*Host { return d.hosts[d.cfg.Controls:] }

// Start starts all hosts in random order.
func (d *Deployment) Start(r *rand.Rand) error {
	for _, i := range r.Perm(len(d.hosts)) {
		if err := d.hosts[i].Start(); err != nil {
			return err
		}
	}
	return nil
}

// Tolerates reports whether the control daemons tolerate the loss of one more disk,
// while those that were down, or whose disk was lost, within the given time count as
// lost.
func (d *Deployment) Tolerates(within time.Duration) bool {
	return d.lost(func(h *Host) bool { return h.RecentlyUnavailable(within) || h.RecentlyLimited(catchUpTime) }) < d.toleratedLosses()
}

// toleratedLosses returns the number of control daemons without which the others are a
// majority.
func (d *Deployment) toleratedLosses() int { return (d.cfg.Controls - 1) / 2 }

func (d *Deployment) lost(isLost func(*Host) bool) int {
	n := 0
	for _, h := range d.Controls() {
		if isLost(h) {
			n++
		}
	}
	return n
}

// InjectLimits limits or pauses up to two random processes for up to 4 s, beside other
// faults. Of the control daemons no more are limited at one time than may lose their
// disks, and none that is still to be replaced by the next program. A lost disk counts
// for diskLossTime.
func (d *Deployment) InjectLimits(diskLossTime time.Duration) {
	const pause = limitKinds // drawn like a limit
	for range d.limitRand.IntN(3) {
		h := d.drawHost()
		l, length := Limit(d.limitRand.IntN(int(limitKinds)+1)), time.Duration(300+d.limitRand.IntN(3700))*time.Millisecond
		switch {
		case l == pause:
			h.pauseFor(length)
		case d.mayLimit(h, diskLossTime):
			h.limitFor(l, length)
		}
	}
}

// drawHost returns a control daemon's host half the time, and any host otherwise.
func (d *Deployment) drawHost() *Host {
	h, control := d.hosts[d.limitRand.IntN(len(d.hosts))], d.Controls()[d.limitRand.IntN(d.cfg.Controls)]
	if d.limitRand.IntN(2) == 0 {
		return control
	}
	return h
}

func (d *Deployment) mayLimit(h *Host, diskLossTime time.Duration) bool {
	if !h.control {
		return true
	}
	if d.cfg.Next != "" && !h.Runs(d.cfg.Next) {
		return false // an earlier build may need a restart after a refused write (issue 34)
	}
	others := d.lost(func(o *Host) bool {
		return o != h && (o.LostDiskRecently(diskLossTime) || o.RecentlyLimited(catchUpTime))
	})
	return others < d.toleratedLosses()
}

func (h *Host) pauseFor(length time.Duration) {
	h.log.WithFields(logrus.Fields{"fault": "pause", "for-ms": length.Milliseconds()}).Info("fault")
	h.Pause()
	time.AfterFunc(length, h.Resume)
}

func (h *Host) limitFor(l Limit, length time.Duration) {
	h.log.WithFields(logrus.Fields{"fault": l.String(), "for-ms": length.Milliseconds()}).Info("fault")
	if err := h.Limit(l); err != nil {
		h.deployment.cfg.Checker.Violationf("soak test cannot limit %s: %v", h.name, err)
	}
	time.AfterFunc(length, func() { h.lift(l) })
}

func (h *Host) lift(l Limit) {
	if err := h.Lift(l); err != nil {
		h.deployment.cfg.Checker.Violationf("soak test cannot lift a limit of %s: %v", h.name, err)
	}
}

// Heal ends all limits and pauses, and restarts the hosts that are down.
func (d *Deployment) Heal() {
	for _, h := range d.hosts {
		for l := range limitKinds {
			h.lift(l)
		}
		h.Resume()
		h.Restart()
	}
}

// HaveVotes reports whether every control daemon knows every other one as a voter.
func (d *Deployment) HaveVotes() bool {
	for _, h := range d.Controls() {
		if n, err := h.Metric("gypsumshelf_voters"); err != nil || n != float64(d.cfg.Controls) {
			return false
		}
	}
	return true
}

// WithMajorities calls act while only a majority of the control daemons runs, for majorities
// that include all of them in turn. first is the first daemon of the majority.
func (d *Deployment) WithMajorities(act func(first *Host, majority int)) {
	controls := d.Controls()
	for first, majority := 0, len(controls)/2+1; first < len(controls); first += majority {
		var paused []*Host
		for i := range len(controls) - majority {
			paused = append(paused, controls[(first+majority+i)%len(controls)])
			paused[i].Pause()
		}
		act(controls[first], majority)
		for _, h := range paused {
			h.Resume()
		}
	}
}

// CheckVotes checks that every control daemon takes part in the replicated log again: a
// change, put with the next version, is acknowledged while no more than a majority of them
// runs, for majorities that include all of them in turn.
func (d *Deployment) CheckVotes(version uint64, limit time.Duration, put func(version uint64) error) {
	for end := time.Now().Add(limit); !d.HaveVotes(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			d.cfg.Checker.Violationf("not all control daemons were voters %v after the last fault", limit)
			return
		}
	}
	d.WithMajorities(func(first *Host, majority int) {
		version++
		if err := put(version); err != nil {
			d.cfg.Checker.Violationf("no change was acknowledged with %d control daemons from %s on: %v", majority, first.Name(), err)
		}
	})
}

// Metric reads a metric without labels from the daemon.
func (h *Host) Metric(name string) (float64, error) {
	client := &http.Client{Timeout: metricsTimeout}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", h.ip, metricsPort))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, cmp.Or(lines.Err(), fmt.Errorf("%s has no metric %s", h.name, name))
}

// Close ends all processes for good.
func (d *Deployment) Close() {
	for _, h := range d.hosts {
		h.StopForGood()
	}
	d.block.Close()
}
