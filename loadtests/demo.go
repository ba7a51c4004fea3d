package loadtests

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/standins"
	"gypsumshelf.example/gypsumshelf/timers"
)

// DemoConfig configures a demonstration run.
type DemoConfig struct {
	Daemons int
	Engines int
	Rounds  int // requests of each length sent to each daemon
}

const (
	demoModel          = "quill"
	demoAnswerTokens   = 16
	demoAnnouncePeriod = 200 * time.Millisecond
	// demoMemoryTokens lets an engine hold four of the longest prompts at once.
	demoMemoryTokens = 4_500_000
)

var demoLengths = []int{1_000, 30_000, 1_000_000}

// demoWarmUp lists the requests that end the slow start of the engines, whose limits
// grow with the tokens of completed requests.
var demoWarmUp = []struct{ length, rounds int }{
	{1_000, 4}, {100_000, 8}, {300_000, 8}, {300_000, 8}, {300_000, 8},
}

// Demo runs daemons and stand-in engines in this process, sends requests of
// several lengths through each daemon and writes a table of first-token times.
func Demo(ctx context.Context, w io.Writer, cfg DemoConfig) error {
	c, err := newCluster(ctx, clusterConfig{
		Daemons: cfg.Daemons,
		Fleet: standins.FleetConfig{
			Service: "demo-engine", Engines: cfg.Engines, AnnouncePeriod: demoAnnouncePeriod,
			Engine: standins.EngineConfig{
				Model: demoModel, PrefillRate: 2e6, TokenInterval: time.Millisecond, MemoryTokens: demoMemoryTokens,
			},
		},
	})
	if err != nil {
		return err
	}
	defer c.Close()
	start := time.Now()
	for _, stage := range demoWarmUp {
		if _, failed := sendPrompts(ctx, c.callerAddresses(), stage.length, stage.rounds); failed > 0 {
			return fmt.Errorf("%d warm-up requests have no whole answer", failed)
		}
	}
	fmt.Fprintf(w, "The engines have just started and got little work at first; warm-up took %s.\n\n",
		time.Since(start).Round(100*time.Millisecond))
	return measureDemo(ctx, w, c.callerAddresses(), cfg.Rounds)
}

// measureDemo sends requests of all demo lengths and writes the table.
func measureDemo(ctx context.Context, w io.Writer, callers []string, rounds int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "prompt tokens\trequests\twhole answers\tfirst token p50\tfirst token max\t")
	failed := 0
	for _, length := range demoLengths {
		firstTokens, failedNow := sendPrompts(ctx, callers, length, rounds)
		failed += failedNow
		if len(firstTokens) == 0 {
			continue
		}
		slices.Sort(firstTokens)
		fmt.Fprintf(table, "%d\t%d\t%d\t%s\t%s\t\n", length, len(firstTokens)+failedNow, len(firstTokens),
			firstTokens[len(firstTokens)/2].Round(time.Millisecond), firstTokens[len(firstTokens)-1].Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d requests have no whole answer", failed)
	}
	return nil
}

// sendPrompts sends prompts of one length to all daemons concurrently. It returns the
// first-token times of complete answers and the number of failed requests.
func sendPrompts(ctx context.Context, callers []string, length, rounds int) (firstTokens []time.Duration, failed int) {
	caller := NewCaller()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range rounds * len(callers) {
		wg.Go(func() {
			out := caller.doUntilAdmitted(ctx, Request{
				Address: callers[i%len(callers)], Model: demoModel, PromptTokens: length,
				MaxTokens: demoAnswerTokens, Seed: uint64(length + i), Intended: time.Now(),
			})
			mu.Lock()
			defer mu.Unlock()
			if out.Err != nil {
				failed++
				return
			}
			firstTokens = append(firstTokens, out.FirstToken)
		})
	}
	wg.Wait()
	return firstTokens, failed
}

const (
	// demoRetryDelay is the time after which a refused request of the demo comes back.
	// Engines in slow start admit more with each request that they complete.
	demoRetryDelay = 250 * time.Millisecond
	// demoPatience is the time after which a refused request of the demo gives up.
	demoPatience = 30 * time.Second
)

// doUntilAdmitted sends a request again while it is refused without having run. The
// times in the outcome include the time in between.
func (c *Caller) doUntilAdmitted(ctx context.Context, req Request) Outcome {
	for {
		out := c.Do(ctx, req)
		if out.Result != Refused || out.Verdict != gypsumshelf.NotRun || time.Since(req.Intended) > demoPatience || !timers.Sleep(ctx, demoRetryDelay) {
			return out
		}
	}
}
