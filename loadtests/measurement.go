package loadtests

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// MeasureConfig configures a measurement.
type MeasureConfig struct {
	Seed         uint64
	TimeScale    float64       // factor by which the stand-ins run faster than real engines
	Duration     time.Duration // of each part of a measurement
	WarmUp       time.Duration // load that is sent before the measurement
	Engines      int
	PlainServers int
	Daemons      int
	Rate         float64 // requests per second, 0 for the default of the measurement
	Policies     []string
	LeaveMethod  string // how a data centre leaves: LeaveByAnnouncement, LeaveByOperator or LeaveByCrash
	Out          io.Writer
}

// Ways in which a data centre leaves and returns.
const (
	LeaveByAnnouncement = "announcement" // its backend servers announce that they are leaving
	LeaveByOperator     = "operator"     // an operator command takes it out
	LeaveByCrash        = "crash"        // its backend servers crash and restart cold
)

// Measurement is a named benchmark that prints a table.
type Measurement struct {
	name, summary string
	run           func(context.Context, MeasureConfig) error
}

// Name returns the name that selects the measurement.
func (m Measurement) Name() string { return m.name }

// Summary returns a one-line description.
func (m Measurement) Summary() string { return m.summary }

// Run prints a heading and runs the measurement.
func (m Measurement) Run(ctx context.Context, cfg MeasureConfig) error {
	fmt.Fprintf(cfg.Out, "%s: %s\nseed %d, time scale %g, %d daemons, %d engines and %d plain servers\n",
		m.name, m.summary, cfg.Seed, cfg.TimeScale, cfg.Daemons, cfg.Engines, cfg.PlainServers)
	return m.run(ctx, cfg)
}

// Measurements lists all measurements.
func Measurements() []Measurement {
	return []Measurement{
		{"first-token", "first-token time by prompt length at 70% of the capacity", measureFirstToken},
		{"slowdown", "short requests with long ones present against without, for each routing policy", measureSlowdown},
		{"overhead", "first token through a daemon against a direct call to the engine", measureOverhead},
		{"leaving", "service while a data centre leaves and returns", measureLeaving},
		{"overload", "whole answers at up to twice the capacity", measureOverload},
		{"slopes", "bytes, processor time and heap for each unit of load, and their product at the target size", measureCosts},
		{"log", "commits, restart and leader changes of the replicated log", measureLog},
	}
}

// FindMeasurement returns the measurement with the name.
func FindMeasurement(name string) (Measurement, error) {
	all := Measurements()
	i := slices.IndexFunc(all, func(m Measurement) bool { return m.name == name })
	if i < 0 {
		var names []string
		for _, m := range all {
			names = append(names, m.name)
		}
		return Measurement{}, fmt.Errorf("unknown measurement %q, known: %s", name, strings.Join(names, ", "))
	}
	return all[i], nil
}
