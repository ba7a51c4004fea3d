package loadtests

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/operators"
	"gypsumshelf.example/gypsumshelf/standins"
	"gypsumshelf.example/gypsumshelf/timers"
)

// leavingLoadShare is the offered share of the capacity of all data centres. When
// one of three has left, it is 75% of the remaining capacity.
const leavingLoadShare = 0.5

// Warm-up behaviour of engines that restart after a crash.
const (
	coldMaxRequests    = 4  // concurrent requests that a cold engine can handle
	coldWarmUpRequests = 40 // completed requests until an engine is warm
	coldPenalty        = 3
)

// phase is one part of a measurement. No request is sent after the next phase has
// begun, but answers may arrive later.
type phase struct {
	name    string
	ctx     context.Context
	cluster *cluster
	cfg     Config
	report  Report
	err     error
}

func (p *phase) run() { p.report, p.err = runLoad(p.ctx, p.cluster, p.cfg) }

// measureLeaving runs load while a data centre leaves and returns.
func measureLeaving(ctx context.Context, cfg MeasureConfig) error {
	fleet := cfg.fleetConfig()
	if cfg.LeaveMethod == LeaveByCrash {
		fleet.StartWarm = true
		fleet.Engine.ColdMaxRequests, fleet.Engine.RequestsUntilWarm, fleet.Engine.ColdSlowdown = coldMaxRequests, coldWarmUpRequests, coldPenalty
	}
	c, err := cfg.startCluster(ctx, firstOrEmpty(cfg.Policies), fleet)
	if err != nil {
		return err
	}
	defer c.Close()
	mixture := DefaultMixture()
	rate := cfg.requestRate(mixture, leavingLoadShare)
	dataCentre := clusterDataCentres[0]
	fmt.Fprintf(cfg.Out, "%.1f requests/s, capacity of all data centres %.1f/s; %s leaves and returns by %s\n", rate, cfg.capacity(mixture), dataCentre, cfg.LeaveMethod)
	var answers sync.WaitGroup
	var phases []*phase
	var changedAt time.Time
	var arrivedBefore int
	var newRequests string
	for i, step := range []struct{ name, action string }{
		{"before", ""}, {"while it leaves", standins.ActionLeaving}, {"after its return", standins.ActionReady},
	} {
		if step.action == standins.ActionReady {
			newRequests = describeNewRequests(c, dataCentre, changedAt, arrivedBefore)
		}
		if step.action != "" {
			arrivedBefore, _ = dataCentreArrivals(c, dataCentre)
			changedAt = time.Now()
			if err := cfg.changeDataCentre(ctx, c, step.action, dataCentre); err != nil {
				return err
			}
		}
		p := &phase{name: step.name, ctx: ctx, cluster: c, cfg: cfg.loadConfig(c, mixture, rate)}
		p.cfg.Seed += uint64(i)
		phases = append(phases, p)
		answers.Go(p.run)
		timers.Sleep(ctx, cfg.Duration)
	}
	answers.Wait()
	if err := writePhases(cfg, phases); err != nil {
		return err
	}
	collapses := 0
	for _, s := range c.fleet.Status() {
		collapses += s.Collapses
	}
	fmt.Fprintf(cfg.Out, "engines that failed all their requests because they were cold and overloaded: %d times\n", collapses)
	fmt.Fprintf(cfg.Out, "%s, counted from the start of the command or announcement (target: none after a few seconds)\n", newRequests)
	return ctx.Err()
}

// changeDataCentre makes a data centre leave or return in the configured way.
func (cfg MeasureConfig) changeDataCentre(ctx context.Context, c *cluster, action, dataCentre string) error {
	switch cfg.LeaveMethod {
	case LeaveByAnnouncement:
		return c.fleet.ApplyAction(action, "", dataCentre)
	case LeaveByCrash:
		if action == standins.ActionLeaving {
			action = standins.ActionDead
		}
		return c.fleet.ApplyAction(action, "", dataCentre)
	case LeaveByOperator:
		return submitOperatorCommand(ctx, cfg, c, action, dataCentre)
	}
	return fmt.Errorf("unknown way for a data centre to leave: %q, want announcement, operator or crash", cfg.LeaveMethod)
}

// submitOperatorCommand takes a data centre out or brings it back by an operator
// command and prints how long the command took.
func submitOperatorCommand(ctx context.Context, cfg MeasureConfig, c *cluster, action, dataCentre string) error {
	client := operators.NewClient(operators.ClientConfig{DaemonAddresses: []string{c.settings[len(c.settings)-1].Listen.Operators}})
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	id, err := operators.NewCommandID()
	if err != nil {
		return err
	}
	change := configs.Change{Action: configs.ActionTakeOut, Name: dataCentre}
	if action == standins.ActionReady {
		change.Action = configs.ActionBringBack
	}
	start := time.Now()
	answer, err := client.Execute(ctx, configs.OperatorCommand{CommandID: id, Operator: "measurement", Revision: status.Revision, Change: change})
	if err == nil {
		fmt.Fprintf(cfg.Out, "%s: revision %d after %s\n", change, answer.Revision, time.Since(start).Round(time.Millisecond))
	}
	return err
}

// dataCentreArrivals returns the number of requests that have reached a data centre
// and the time of the last one.
func dataCentreArrivals(c *cluster, dataCentre string) (count int, last time.Time) {
	for _, s := range c.fleet.Status() {
		if s.DataCentre != dataCentre {
			continue
		}
		count += s.Arrivals
		if s.LastArrival.After(last) {
			last = s.LastArrival
		}
	}
	return count, last
}

// describeNewRequests describes the requests that reached a data centre after it
// began to leave.
func describeNewRequests(c *cluster, dataCentre string, changedAt time.Time, before int) string {
	count, last := dataCentreArrivals(c, dataCentre)
	if count == before {
		return fmt.Sprintf("no new work in %s", dataCentre)
	}
	return fmt.Sprintf("%d new requests in %s, the last after %s", count-before, dataCentre, last.Sub(changedAt).Round(time.Millisecond))
}

func writePhases(cfg MeasureConfig, phases []*phase) error {
	table := cfg.newTable()
	fmt.Fprintln(table, "phase\trequests\twhole\trefused\tlost\twrong\tshort first p50\tp95\tp99\tover 100,000 tokens first p95\t")
	for _, p := range phases {
		if p.err != nil {
			return p.err
		}
		report := p.report
		short, long := report.Buckets[0].FirstToken, report.Buckets[len(report.Buckets)-1].FirstToken
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", p.name, report.Requests, report.Whole, report.Refused, report.Broken, report.Wrong,
			ms(short.P50), ms(short.P95), ms(short.P99), ms(long.P95))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, p := range phases {
		for _, key := range slices.Sorted(maps.Keys(p.report.Failures)) {
			fmt.Fprintf(cfg.Out, "  %s: %s: %d\n", p.name, key, p.report.Failures[key])
		}
	}
	return nil
}
