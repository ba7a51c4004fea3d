package loads

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

// leavingLoad is the share of the capacity of all data centres, so that two of
// three have 75%.
const leavingLoad = 0.5

// Engines that return cold after a crash.
const (
	coldLimit   = 4  // requests at once that they bear at first
	coldWork    = 40 // completed requests until they are warm
	coldPenalty = 3
)

// phase is one part of a measurement; its arrivals end when the next part
// begins, its answers may come later.
type phase struct {
	name    string
	ctx     context.Context
	cluster *cluster
	cfg     Config
	report  Report
	err     error
}

func (p *phase) run() { p.report, p.err = runWith(p.ctx, p.cluster, p.cfg) }

// measureLeaving runs load while a data centre leaves and returns.
func measureLeaving(ctx context.Context, cfg MeasureConfig) error {
	fleet := cfg.fleetConfig()
	if cfg.By == ByCrash {
		fleet.StartWarm = true
		fleet.Engine.WarmupLimit, fleet.Engine.WarmupWork, fleet.Engine.ColdPenalty = coldLimit, coldWork, coldPenalty
	}
	c, err := cfg.cluster(ctx, first(cfg.Policies), fleet)
	if err != nil {
		return err
	}
	defer c.Close()
	mixture := DefaultMixture()
	rate := cfg.rate(mixture, leavingLoad)
	name := clusterDataCentres[0]
	fmt.Fprintf(cfg.Out, "%.1f requests/s, capacity of all data centres %.1f/s; %s leaves and returns by %s\n", rate, cfg.capacity(mixture), name, cfg.By)
	var answers sync.WaitGroup
	var phases []*phase
	var left time.Time
	var count int
	var quiet string
	for i, part := range []struct{ name, action string }{
		{"before", ""}, {"while it leaves", standins.ActionLeaving}, {"after its return", standins.ActionReady},
	} {
		if part.action == standins.ActionReady {
			quiet = newWork(c, name, left, count)
		}
		if part.action != "" {
			count, _ = arrivalsAt(c, name)
			left = time.Now()
			if err := cfg.change(ctx, c, part.action, name); err != nil {
				return err
			}
		}
		p := &phase{name: part.name, ctx: ctx, cluster: c, cfg: cfg.load(c, mixture, rate)}
		p.cfg.Seed += uint64(i)
		phases = append(phases, p)
		answers.Go(p.run)
		timers.Pause(ctx, cfg.Duration)
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
	fmt.Fprintf(cfg.Out, "%s, counted from the start of the command or announcement (target: none after a few seconds)\n", quiet)
	return ctx.Err()
}

// change makes a data centre leave or return.
func (cfg MeasureConfig) change(ctx context.Context, c *cluster, action, dataCentre string) error {
	switch cfg.By {
	case ByAnnouncement:
		return c.fleet.Do(action, "", dataCentre)
	case ByCrash:
		if action == standins.ActionLeaving {
			action = standins.ActionDead
		}
		return c.fleet.Do(action, "", dataCentre)
	case ByOperator:
		return operate(ctx, cfg, c, action, dataCentre)
	}
	return fmt.Errorf("unknown way to leave %q", cfg.By)
}

func operate(ctx context.Context, cfg MeasureConfig, c *cluster, action, dataCentre string) error {
	client := operators.NewClient(operators.ClientConfig{Servers: []string{c.settings[len(c.settings)-1].Listen.Operators}})
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
	answer, err := client.Operate(ctx, configs.Operate{CommandID: id, Operator: "measurement", Revision: status.Revision, Change: change})
	if err == nil {
		fmt.Fprintf(cfg.Out, "%s: revision %d after %s\n", change, answer.Revision, time.Since(start).Round(time.Millisecond))
	}
	return err
}

// arrivalsAt returns the number of requests that reached a data centre so far
// and the time of the last one.
func arrivalsAt(c *cluster, dataCentre string) (count int, last time.Time) {
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

// newWork describes the requests that reached a data centre after it began to
// leave.
func newWork(c *cluster, dataCentre string, left time.Time, before int) string {
	count, last := arrivalsAt(c, dataCentre)
	if count == before {
		return fmt.Sprintf("no new work in %s", dataCentre)
	}
	return fmt.Sprintf("%d new requests in %s, the last after %s", count-before, dataCentre, last.Sub(left).Round(time.Millisecond))
}

func writePhases(cfg MeasureConfig, phases []*phase) error {
	table := cfg.table()
	fmt.Fprintln(table, "phase\trequests\twhole\trefused\tlost\twrong\tshort first p50\tp95\tp99\tover 100,000 tokens first p95\t")
	for _, p := range phases {
		if p.err != nil {
			return p.err
		}
		r := p.report
		b, long := r.Buckets[0].FirstToken, r.Buckets[len(r.Buckets)-1].FirstToken
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", p.name, r.Requests, r.Whole, r.Refused, r.Broken, r.Wrong,
			ms(b.P50), ms(b.P95), ms(b.P99), ms(long.P95))
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
