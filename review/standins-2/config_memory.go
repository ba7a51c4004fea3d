package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// The case config-memory: operators send hundreds of changes of a config that has grown.
const (
	controlMemoryMB = 280 // of the sheet
	baseRoutes      = 115 // five kinds of request and 110 idle routes, as in the site file
	grownRoutes     = 350 // of one big_config, the largest dose of the site file
	bigConfigs      = 10  // how often the config grows
	memoryCaseTime  = 95 * time.Second
	maxChanges      = 900
	endsOfFault     = 3 // ends of processes on a machine, by the rule
)

// randomName returns a name like those of the installation.
func randomName(prefix string) string {
	return prefix + strconv.FormatUint(rand.Uint64N(1<<35)|1<<34, 36)
}

// idleRoutes returns routes that get no request.
func idleRoutes(n int) []json.RawMessage {
	routes := make([]json.RawMessage, 0, n)
	for range n {
		routes = append(routes, idleRoute())
	}
	return routes
}

func idleRoute() json.RawMessage {
	return route(randomName("r-"), randomName("")+".example", "/"+randomName("")+"/", "safe", plainService, 900+rand.IntN(200))
}

// plainRoutes returns routes of a plain service that get no request.
func plainRoutes(n int) []json.RawMessage {
	routes := make([]json.RawMessage, 0, n)
	for range n {
		routes = append(routes, plainRoute())
	}
	return routes
}

func plainRoute() json.RawMessage {
	return shortRoute(randomName("r-"), randomName("")+".example", "/"+randomName("")+"/", plainService, 900+rand.IntN(200))
}

// runConfigMemory plays the case. The rule breaks if on half of the core, processes end by
// themselves three times: memory over the limit counts.
func runConfigMemory(r *record) (int, error) {
	p, err := newPlatform(r, 5, 2, controlMemoryMB, 414)
	if err != nil {
		return exitNotRun, err
	}
	defer p.close()
	if err := p.start(); err != nil {
		return exitNotRun, err
	}
	o := newOperator(p, changeTimeout)
	tenants := []object{{"name": "hule930", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}}
	routes, version := idleRoutes(baseRoutes), 1
	if err := o.put(config(version, routes, tenants), 20*time.Second); err != nil {
		return exitNotRun, fmt.Errorf("first config: %w", err)
	}
	r.printf("operator: config 1 with %d routes acknowledged", len(routes))
	for range bigConfigs {
		if troubled() {
			routes = append(routes, idleRoutes(grownRoutes)...)
		}
		version++
		document := config(version, routes, tenants)
		if err := o.put(document, 10*time.Second); err != nil {
			return exitNotRun, fmt.Errorf("big config: %w", err)
		}
		r.printf("operator: config %d with %d routes, %d bytes, acknowledged", version, len(routes), len(document))
	}
	next := func() (int, []byte) {
		routes[rand.IntN(len(routes))] = idleRoute()
		if version++; version%50 == 0 {
			r.printf("operator: config %d is sent; peak memory of the core in MB: %v", version, peaks(p))
		}
		return version, config(version, routes, tenants)
	}
	o.storm(time.Now().Add(memoryCaseTime), next, func() bool { return faultReached(p) || version >= maxChanges })
	r.printf("operator: %d configs sent", version)
	for _, m := range p.ofRole("control") {
		r.printf("%s: %d starts, %d ends for memory over the limit, peak %d MB of %d MB", m.name, m.starts, m.overLimit, m.peakMB, m.memoryMB)
	}
	if faultReached(p) {
		r.printf("BROKEN: on half of the core, processes have ended by themselves %d times", endsOfFault)
		return exitBroken, nil
	}
	return exitHeld, nil
}

// faultReached reports whether the rule is broken.
func faultReached(p *platform) bool {
	machines := 0
	for _, m := range p.ofRole("control") {
		m.mu.Lock()
		if m.overLimit >= endsOfFault {
			machines++
		}
		m.mu.Unlock()
	}
	return 2*machines > len(p.ofRole("control"))
}

func peaks(p *platform) []int {
	var peaks []int
	for _, m := range p.ofRole("control") {
		m.mu.Lock()
		peaks = append(peaks, m.peakMB)
		m.mu.Unlock()
	}
	return peaks
}
