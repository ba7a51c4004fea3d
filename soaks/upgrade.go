package soaks

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

// replaceTimeout is the time within which a stopped daemon must run its new program,
// faults beside it included.
const replaceTimeout = 20 * time.Second

// Upgrade replaces the program of the hosts of a deployment one after another, by
// planned stops, and then puts one host back.
type Upgrade struct {
	deployment *Deployment
	rand       *rand.Rand
	start      time.Duration // time until the first host is replaced
	interval   time.Duration // time between two hosts
	done       chan struct{}
}

// StartUpgrade starts an Upgrade to the next program in the middle of a time of faults.
func (d *Deployment) StartUpgrade(faultTime time.Duration) *Upgrade {
	u := &Upgrade{
		deployment: d, rand: rand.New(rand.NewPCG(d.cfg.Seed, 4)),
		start: faultTime / 4, interval: faultTime / 2 / time.Duration(len(d.hosts)), done: make(chan struct{}),
	}
	go u.run()
	return u
}

// IsDone reports whether all hosts have been replaced.
func (u *Upgrade) IsDone() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

func (u *Upgrade) run() {
	defer close(u.done)
	time.Sleep(u.start)
	d := u.deployment
	for _, i := range u.rand.Perm(len(d.hosts)) {
		u.replace(d.hosts[i], d.cfg.Next)
		time.Sleep(u.interval)
	}
	u.replace(d.hosts[u.rand.IntN(len(d.hosts))], d.cfg.Program)
}

// replace replaces the program of a host.
func (u *Upgrade) replace(h *Host, program string) {
	if err := h.Replace(program); err != nil {
		u.deployment.cfg.Checker.Violationf("%v", err)
	}
}

// Replace stops a daemon as planned and waits until it runs the program.
func (h *Host) Replace(program string) error {
	h.log.WithFields(logrus.Fields{"program": program}).Info("replacing the program of a host")
	started := time.Now()
	h.SetProgram(program)
	h.Stop(Grace)
	for !h.Runs(program) {
		if time.Since(started) > replaceTimeout {
			return fmt.Errorf("%s did not run %s within %v of its stop", h.name, program, replaceTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
	h.log.WithField("after-ms", time.Since(started).Milliseconds()).Info("replaced the program of a host")
	return nil
}
