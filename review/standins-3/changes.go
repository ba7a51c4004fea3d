package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// coreMemoryMB is memoryMb of a core machine of a small deployment.
	coreMemoryMB = 280
	// grownRoutes is what twenty times 350 routes more make of the configuration.
	grownRoutes = 20 * 350
	// changeTime is the time in which changes are sent.
	changeTime = 100 * time.Second
	// faultEnds is the number of ends of a process on one machine that rule FAULT counts.
	faultEnds = 3
)

// runChanges sends one valid change of the configuration after the other, as one operator
// would, and watches the memory of the control machines.
func runChanges(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec, 5, 1)
	if err != nil {
		return cannot, err
	}
	defer d.close()
	d.memoryMB["control"] = coreMemoryMB
	if err := d.start(); err != nil {
		return cannot, err
	}
	d.wg.Add(1)
	go d.memoryLoop()
	ctx, cancel := context.WithTimeout(context.Background(), changeTime)
	defer cancel()
	op := newOperator(d)
	if err := op.put(ctx, newConfig(1, 0)); err != nil {
		return cannot, fmt.Errorf("first configuration: %w", err)
	}
	routes := grownRoutes
	if !trouble {
		routes = 0
	}
	acknowledged := 1
	for version := 2; ctx.Err() == nil; version++ {
		if err := op.put(ctx, newConfig(version, routes)); err != nil {
			rec.printf("config %d: %v", version, err)
			continue
		}
		acknowledged = version
		if version%20 == 0 {
			rec.printf("config %d with %d bytes is acknowledged; core memory in MB: %s", version, len(newConfig(version, routes).encode()), d.coreMemory())
		}
		time.Sleep(20 * time.Millisecond)
	}
	rec.printf("%d changes were acknowledged", acknowledged)
	return judgeEnds(rec, d), nil
}

// coreMemory lists the memory of the control machines.
func (d *deployment) coreMemory() string {
	text := ""
	for _, m := range d.controls {
		text += fmt.Sprintf(" %d", m.memory())
	}
	return text
}

// judgeEnds checks rule FAULT: on half of the core, processes have ended three times.
func judgeEnds(rec *record, d *deployment) int {
	machines := 0
	for _, m := range d.controls {
		m.mu.Lock()
		kills := m.kills
		m.mu.Unlock()
		rec.printf("%s: %d ends for memory, peak %d MB", m.name, kills, m.peakMB)
		if kills >= faultEnds {
			machines++
		}
	}
	if 2*machines >= len(d.controls) {
		rec.printf("FAULT: on %d of %d core machines processes ended %d times or more", machines, len(d.controls), faultEnds)
		return broken
	}
	return held
}
