package soaks

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

var faultNames = [...]string{"kill", "pause", "terminate", "lose-disk", "delay", "reset", "silence"}

// InjectFaults injects one or two faults at once, then waits for a random time. Pauses and
// network faults end by themselves. A lost disk counts for diskLossTime.
func (d *Deployment) InjectFaults(r *rand.Rand, network *Network, diskLossTime time.Duration) {
	for range 1 + r.IntN(2) {
		h := d.hosts[r.IntN(len(d.hosts))]
		pause := time.Duration(200+r.IntN(2500)) * time.Millisecond
		kind := r.IntN(len(faultNames))
		h.log.WithFields(logrus.Fields{"fault": faultNames[kind], "for-ms": pause.Milliseconds()}).Info("fault")
		switch kind {
		case 0:
			h.Kill()
			time.AfterFunc(pause, h.Restart)
		case 1:
			h.Pause()
			time.AfterFunc(pause, h.Resume)
		case 2:
			h.Terminate()
		case 3:
			if h.IsControl() && d.Tolerates(diskLossTime) {
				h.Kill()
				h.EraseDisk()
				time.AfterFunc(pause, h.Restart)
			}
		default:
			network.InjectFault(r, kind-4, pause)
		}
	}
	time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
}
