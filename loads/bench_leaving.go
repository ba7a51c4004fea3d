package loads

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/standins"
)

// leavingLoad is the share of the capacity of all data centres, so that two of
// three have 75%.
const leavingLoad = 0.5

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
	c, err := cfg.cluster(ctx, first(cfg.Policies))
	if err != nil {
		return err
	}
	defer c.Close()
	mixture := DefaultMixture()
	rate := cfg.rate(mixture, leavingLoad)
	name := clusterDataCentres[0]
	fmt.Fprintf(cfg.Out, "%.1f requests/s, capacity of all data centres %.1f/s; %s leaves by announcements of its servers\n", rate, cfg.capacity(mixture), name)
	var answers sync.WaitGroup
	var phases []*phase
	var left time.Time
	var quiet time.Duration
	for i, part := range []struct{ name, action string }{
		{"before", ""}, {"while it leaves", standins.ActionLeaving}, {"after its return", standins.ActionReady},
	} {
		if part.action == standins.ActionReady {
			quiet = lastArrival(c, name).Sub(left)
		}
		if part.action != "" {
			left = time.Now()
			if err := c.fleet.Do(part.action, "", name); err != nil {
				return err
			}
		}
		p := &phase{name: part.name, ctx: ctx, cluster: c, cfg: cfg.load(c, mixture, rate)}
		p.cfg.Seed += uint64(i)
		phases = append(phases, p)
		answers.Go(p.run)
		pause(ctx, cfg.Duration)
	}
	answers.Wait()
	if err := writePhases(cfg, phases); err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "last new work in %s: %s after it began to leave (target: a few seconds)\n", name, max(0, quiet).Round(time.Millisecond))
	return ctx.Err()
}

// lastArrival returns the time of the last work at any server of a data centre.
func lastArrival(c *cluster, dataCentre string) time.Time {
	var last time.Time
	for _, s := range c.fleet.Status() {
		if s.DataCentre == dataCentre && s.LastArrival.After(last) {
			last = s.LastArrival
		}
	}
	return last
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
		for key, n := range p.report.Failures {
			fmt.Fprintf(cfg.Out, "  %s: %s: %d\n", p.name, key, n)
		}
	}
	return nil
}
