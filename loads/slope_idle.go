package loads

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gypsumshelf.example/gypsumshelf/standins"
	"gypsumshelf.example/gypsumshelf/timers"
)

// Sizes of the idle deployments that are measured.
var (
	idleDaemons = []int{4, 8, 16}
	idleEngines = []int{14, 56, 112}
)

// idleSettle is the time after the start that is not measured.
const idleSettle = 2 * time.Second

// idleDaemonSlope is the cost of one daemon in a second without requests, by
// the number of daemons.
func idleDaemonSlope(ctx context.Context, d time.Duration) (slope, error) {
	s := slope{name: "idle daemon for 1 s, 14 engines", per: "daemons"}
	for _, n := range idleDaemons {
		c, err := idleCost(ctx, n, idleEngines[0], d)
		if err != nil {
			return s, err
		}
		s.samples = append(s.samples, sample{n, c})
	}
	return s, nil
}

// idleEngineSlope is the cost of one of four daemons in a second without
// requests, by the number of engines.
func idleEngineSlope(ctx context.Context, d time.Duration) (slope, error) {
	s := slope{name: "idle daemon for 1 s, 4 daemons", per: "engines"}
	for _, n := range idleEngines {
		c, err := idleCost(ctx, idleDaemons[0], n, d)
		if err != nil {
			return s, err
		}
		s.samples = append(s.samples, sample{n, c})
	}
	return s, nil
}

// idleCost runs whole daemons without requests. Processor time and heap include
// the stand-ins, which run in the same process.
func idleCost(ctx context.Context, daemons, engines int, d time.Duration) (cost, error) {
	d = max(d, minLinkTime)
	heap := liveHeap()
	c, err := newCluster(ctx, clusterConfig{Daemons: daemons, Fleet: standins.FleetConfig{
		Service: "idle", Engines: engines, Period: time.Duration(float64(time.Second) / heartbeatsEach),
		Engine: standins.EngineConfig{Model: benchModel, PrefillRate: benchPrefillRate, MemoryTokens: benchMemory},
	}})
	if err != nil {
		return cost{}, err
	}
	defer c.Close()
	timers.Pause(ctx, idleSettle)
	out := cost{heap: (liveHeap() - heap) / float64(daemons)}
	before, err := c.peerBytes()
	if err != nil {
		return cost{}, err
	}
	start, began := processorTime(), time.Now()
	timers.Pause(ctx, d)
	unit := float64(daemons) * time.Since(began).Seconds()
	out.cpu = time.Duration(float64(processorTime()-start) / unit)
	after, err := c.peerBytes()
	out.bytes = (after - before) / unit
	return out, err
}

// peerBytes sums the bytes sent and received between the daemons.
func (c *cluster) peerBytes() (float64, error) {
	sum := 0.0
	for _, s := range c.settings {
		n, err := readMetric("http://"+s.Listen.Metrics+"/metrics", "gypsumshelf_peer_")
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// readMetric sums the byte counters whose names have the prefix.
func readMetric(url, prefix string) (float64, error) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	sum, found := 0.0, false
	s := bufio.NewScanner(resp.Body)
	for s.Scan() {
		name, value, _ := strings.Cut(s.Text(), " ")
		if !strings.HasPrefix(name, prefix) || !strings.HasSuffix(name, "_bytes_total") {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, fmt.Errorf("metric %s: %w", name, err)
		}
		sum, found = sum+n, true
	}
	if !found {
		return 0, fmt.Errorf("%s has no metric with prefix %s", url, prefix)
	}
	return sum, s.Err()
}
