package loadtests

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

// Numbers of daemons and engines of the idle clusters that are measured.
var (
	idleDaemonCounts = []int{4, 8, 16}
	idleEngineCounts = []int{14, 56, 112}
)

// idleSettleTime is the time between the start of a cluster and its measurement.
const idleSettleTime = 2 * time.Second

// idleDaemonCosts measures the cost of one daemon for one second without requests,
// by the number of daemons.
func idleDaemonCosts(ctx context.Context, d time.Duration) (costCurve, error) {
	curve := costCurve{operation: "idle daemon for 1 s, 14 engines", sizeUnit: "daemons"}
	for _, n := range idleDaemonCounts {
		c, err := measureIdleDaemons(ctx, n, idleEngineCounts[0], d)
		if err != nil {
			return curve, err
		}
		curve.samples = append(curve.samples, costSample{n, c})
	}
	return curve, nil
}

// idleEngineCosts measures the cost of one of four daemons for one second without
// requests, by the number of engines.
func idleEngineCosts(ctx context.Context, d time.Duration) (costCurve, error) {
	curve := costCurve{operation: "idle daemon for 1 s, 4 daemons", sizeUnit: "engines"}
	for _, n := range idleEngineCounts {
		c, err := measureIdleDaemons(ctx, idleDaemonCounts[0], n, d)
		if err != nil {
			return curve, err
		}
		curve.samples = append(curve.samples, costSample{n, c})
	}
	return curve, nil
}

// measureIdleDaemons runs a cluster without requests and returns the cost of one
// daemon for one second. Processor time and heap include the stand-ins, which run in
// the same process.
func measureIdleDaemons(ctx context.Context, daemons, engines int, d time.Duration) (operationCost, error) {
	d = max(d, minIdleDuration)
	heapBefore := liveHeap()
	c, err := newCluster(ctx, clusterConfig{Daemons: daemons, Fleet: standins.FleetConfig{
		Service: "idle", Engines: engines, AnnouncePeriod: time.Duration(float64(time.Second) / heartbeatsPerSecond),
		Engine: standins.EngineConfig{Model: benchModel, PrefillRate: benchPrefillRate, MemoryTokens: benchMemoryTokens},
	}})
	if err != nil {
		return operationCost{}, err
	}
	defer c.Close()
	timers.Sleep(ctx, idleSettleTime)
	result := operationCost{heapBytes: (liveHeap() - heapBefore) / float64(daemons)}
	bytesBefore, err := c.peerBytes()
	if err != nil {
		return operationCost{}, err
	}
	cpuBefore, startTime := processorTime(), time.Now()
	timers.Sleep(ctx, d)
	daemonSeconds := float64(daemons) * time.Since(startTime).Seconds()
	result.cpu = time.Duration(float64(processorTime()-cpuBefore) / daemonSeconds)
	bytesAfter, err := c.peerBytes()
	result.wireBytes = (bytesAfter - bytesBefore) / daemonSeconds
	return result, err
}

// peerBytes returns the sum of the bytes that all daemons have sent to and received
// from peers.
func (c *cluster) peerBytes() (float64, error) {
	sum := 0.0
	for _, s := range c.settings {
		n, err := sumByteCounters("http://"+s.Listen.Metrics+"/metrics", "gypsumshelf_peer_")
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// sumByteCounters reads metrics and returns the sum of the byte counters whose names
// have the prefix.
func sumByteCounters(url, prefix string) (float64, error) {
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
			return 0, fmt.Errorf("parsing the value of metric %s: %w", name, err)
		}
		sum, found = sum+n, true
	}
	if !found {
		return 0, fmt.Errorf("%s has no byte counter with prefix %s", url, prefix)
	}
	return sum, s.Err()
}
