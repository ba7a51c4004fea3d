package loadtests

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"
)

// operationCost is the mean cost of one operation.
type operationCost struct {
	cpu       time.Duration // of the whole process
	heapBytes float64       // live heap that one operation adds
	wireBytes float64
}

// costSample is the cost of an operation at one size.
type costSample struct {
	size int
	cost operationCost
}

// costCurve is the cost of one operation as a function of size.
type costCurve struct {
	operation string
	sizeUnit  string // what the size is a number of
	samples   []costSample
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap returns the bytes of live heap after a full garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // the second run frees objects held by finalizers and pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureCost calls f n times and returns the mean cost of one call. The values in
// retained stay reachable until the heap has been measured.
func measureCost(n int, f func(i int), retained ...any) operationCost {
	heapBefore := liveHeap()
	cpuBefore := processorTime()
	for i := range n {
		f(i)
	}
	cpu := processorTime() - cpuBefore
	c := operationCost{cpu: cpu / time.Duration(n), heapBytes: (liveHeap() - heapBefore) / float64(n)}
	runtime.KeepAlive(retained)
	return c
}

// atLargestSize returns the cost at the largest size.
func (c costCurve) atLargestSize() operationCost { return c.samples[len(c.samples)-1].cost }

// cpuAtSize returns the processor time of one operation at a size, by linear
// regression over the samples, and at least that of the smallest sample.
func (c costCurve) cpuAtSize(size int) time.Duration {
	return time.Duration(c.fitAtSize(size, func(sampleCost operationCost) float64 { return float64(sampleCost.cpu) }))
}

// fitAtSize evaluates the least-squares line through the samples at a size. The
// result is not below the smallest sample.
func (c costCurve) fitAtSize(size int, value func(operationCost) float64) float64 {
	var n, sx, sy, sxx, sxy float64
	lowest := value(c.samples[0].cost)
	for _, sample := range c.samples {
		x, y := float64(sample.size), value(sample.cost)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
		lowest = min(lowest, y)
	}
	gradient := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return max(lowest, (sy-gradient*sx)/n+gradient*float64(size))
}

// measureCosts measures all cost curves and prints them, followed by the costs that
// they predict at the target size.
func measureCosts(ctx context.Context, cfg MeasureConfig) error {
	curves := costCurves{
		announcement: announcementCosts(), reducerRequest: requestCosts(), keptRecords: recordCosts(),
		tick: tickCosts(), peerAnnouncement: encodingCosts(), entryRequest: workspaceCosts(), streamTokens: tokenCosts(),
		runRecords: runRecordCosts(), operatorCommands: operatorCommandCosts(),
	}
	var err error
	if curves.idleLinks, err = idleLinkCosts(ctx, cfg.Duration); err != nil {
		return err
	}
	if curves.idleDaemons, err = idleDaemonCosts(ctx, cfg.Duration); err != nil {
		return err
	}
	if curves.idleEngines, err = idleEngineCosts(ctx, cfg.Duration); err != nil {
		return err
	}
	table := tabwriter.NewWriter(cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "operation\tsize\tcounted in\tprocessor time\theap bytes\twire bytes\t")
	for _, curve := range []costCurve{curves.announcement, curves.peerAnnouncement, curves.reducerRequest, curves.keptRecords, curves.tick, curves.entryRequest, curves.streamTokens, curves.runRecords, curves.operatorCommands, curves.idleLinks, curves.idleDaemons, curves.idleEngines} {
		for _, sample := range curve.samples {
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%.0f\t%.0f\t\n", curve.operation, sample.size, curve.sizeUnit, sample.cost.cpu, sample.cost.heapBytes, sample.cost.wireBytes)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return curves.writeTarget(cfg.Out)
}
