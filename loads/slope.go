package loads

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"
)

// cost is the mean cost of one operation.
type cost struct {
	cpu   time.Duration // processor time of the whole process
	heap  float64       // live bytes that the operations leave
	bytes float64       // bytes on the wire
}

// sample is a cost at one size.
type sample struct {
	size int
	cost cost
}

// slope is a series of samples of one operation.
type slope struct {
	name    string // operation
	per     string // what the size counts
	samples []sample
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap returns the live bytes after a full collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // the second frees what finalizers and pools kept
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measure runs f n times and returns the mean cost of one run. What kept
// returns stays alive until the heap has been read.
func measure(n int, f func(i int), kept ...any) cost {
	heap := liveHeap()
	start := processorTime()
	for i := range n {
		f(i)
	}
	cpu := processorTime() - start
	c := cost{cpu: cpu / time.Duration(n), heap: (liveHeap() - heap) / float64(n)}
	runtime.KeepAlive(kept)
	return c
}

// last returns the cost at the largest size.
func (s slope) last() cost { return s.samples[len(s.samples)-1].cost }

// cpuAt returns the processor time of one operation at a size, by a straight
// line through the samples (least squares), and at least the smallest sample.
func (s slope) cpuAt(size int) time.Duration {
	return time.Duration(s.fit(size, func(c cost) float64 { return float64(c.cpu) }))
}

func (s slope) fit(size int, value func(cost) float64) float64 {
	var n, sx, sy, sxx, sxy float64
	lowest := value(s.samples[0].cost)
	for _, p := range s.samples {
		x, y := float64(p.size), value(p.cost)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
		lowest = min(lowest, y)
	}
	k := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return max(lowest, (sy-k*sx)/n+k*float64(size))
}

func measureSlopes(ctx context.Context, cfg MeasureConfig) error {
	m := slopeSet{
		announce: announceSlope(), request: requestSlope(), records: recordSlope(),
		tick: tickSlope(), encode: encodeSlope(), workspaces: workspaceSlope(), tokens: tokenSlope(),
		runs: runSlope(), changes: changeSlope(),
	}
	var err error
	if m.links, err = linkSlope(ctx, cfg.Duration); err != nil {
		return err
	}
	if m.idleDaemons, err = idleDaemonSlope(ctx, cfg.Duration); err != nil {
		return err
	}
	if m.idleEngines, err = idleEngineSlope(ctx, cfg.Duration); err != nil {
		return err
	}
	table := tabwriter.NewWriter(cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "operation\tsize\tcounted in\tprocessor time\theap bytes\twire bytes\t")
	for _, s := range []slope{m.announce, m.encode, m.request, m.records, m.tick, m.workspaces, m.tokens, m.runs, m.changes, m.links, m.idleDaemons, m.idleEngines} {
		for _, p := range s.samples {
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%.0f\t%.0f\t\n", s.name, p.size, s.per, p.cost.cpu, p.cost.heap, p.cost.bytes)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return m.writeTarget(cfg.Out)
}
