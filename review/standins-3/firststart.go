package main

import (
	"context"
	"path/filepath"
	"strings"
	"time"
)

const (
	// lossAfter is the time after the first start at which a core machine is lost.
	lossAfter = 60 * time.Millisecond
	// ackTime is ackMs of a small deployment, and settleTime the time after which the core
	// counts as stable again.
	ackTime    = 4 * time.Second
	settleTime = 2 * contactTime
	// waitTime is the time for which the first configuration is sent again and again.
	waitTime = 60 * time.Second
)

// runFirstStart loses one core machine for good while the whole system starts for the first
// time. Another one with an empty disk takes its place.
func runFirstStart(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec, 6, 1)
	if err != nil {
		return cannot, err
	}
	defer d.close()
	successor := d.controls[5]
	d.controls = d.controls[:5]
	if err := d.start(); err != nil {
		return cannot, err
	}
	if trouble {
		time.Sleep(lossAfter)
		lost := d.controls[1]
		lost.lose()
		rec.printf("%s is lost for good", lost.name)
		time.Sleep(time.Second)
		d.controls[1] = successor // also among the seeds of machines that start from now on
		successor.firstRun = false
		if err := successor.start(); err != nil {
			return cannot, err
		}
		d.wg.Add(1)
		go successor.superviseLoop()
		rec.printf("%s replaces it at another address, with an empty disk", successor.name)
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), waitTime)
	defer cancel()
	if err := newOperator(d).put(ctx, newConfig(1, 110)); err != nil {
		rec.printf("the first configuration: %v", err)
		rec.printf("no acknowledgement within %v, of which the core was stable for %v", waitTime, waitTime-settleTime)
		return broken, nil
	}
	took := time.Since(began)
	rec.printf("the first configuration was acknowledged after %v", took)
	if took > settleTime+ackTime {
		return broken, nil
	}
	return held, nil
}

// lose ends the process of the machine for good.
func (m *machine) lose() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
	_ = m.cmd.Process.Kill()
}

// logs returns the paths of the logs of all machines.
func (d *deployment) logs() string {
	paths, _ := filepath.Glob(filepath.Join(d.folder, "*", "log"))
	return strings.Join(paths, " ")
}
