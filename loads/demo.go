package loads

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/daemons"
	"gypsumshelf.example/gypsumshelf/settings"
	"gypsumshelf.example/gypsumshelf/standins"
)

// DemoConfig configures a demonstration run.
type DemoConfig struct {
	Daemons int
	Engines int
	Rounds  int // requests of each length for each daemon
}

const (
	demoModel     = "quill"
	demoTokens    = 16
	demoPeriod    = 200 * time.Millisecond
	demoReadyTime = 30 * time.Second
	maxDemoVoters = 3
	// demoMemory lets an engine hold four of the longest prompts at once.
	demoMemory = 4_500_000
)

var demoLengths = []int{1_000, 30_000, 1_000_000}

// Demo runs daemons and stand-in engines in this process, sends requests of
// several lengths through each daemon and writes a table of first-token times.
func Demo(ctx context.Context, w io.Writer, cfg DemoConfig) error {
	folder, err := os.MkdirTemp("", "gypsumshelf-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	all, err := demoSettings(cfg.Daemons, folder)
	if err != nil {
		return err
	}
	var announce, callers []string
	for _, s := range all {
		instance, err := daemons.Start(s)
		if err != nil {
			return err
		}
		defer instance.Close()
		announce = append(announce, s.Listen.BackendServers)
		callers = append(callers, s.Listen.Callers)
	}
	fleet, err := standins.NewFleet(standins.FleetConfig{
		Service: "demo-engine", Engines: cfg.Engines, Daemons: announce, Period: demoPeriod,
		DataCentres: []string{"demo-a", "demo-b", "demo-c"},
		Engine: standins.EngineConfig{
			Model: demoModel, PrefillRate: 2e6, TokenInterval: time.Millisecond,
			MemoryTokens: demoMemory,
		},
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := waitReady(ctx, callers); err != nil {
		return err
	}
	time.Sleep(3 * demoPeriod) // every daemon has then heard of every engine
	return sendDemo(ctx, w, callers, cfg.Rounds)
}

func sendDemo(ctx context.Context, w io.Writer, callers []string, rounds int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "prompt tokens\trequests\twhole answers\tfirst token p50\tfirst token max\t")
	failed := 0
	for _, length := range demoLengths {
		times, bad := sendLength(ctx, callers, length, rounds)
		failed += bad
		if len(times) == 0 {
			continue
		}
		slices.Sort(times)
		fmt.Fprintf(table, "%d\t%d\t%d\t%s\t%s\t\n", length, len(times)+bad, len(times),
			times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d requests have no whole answer", failed)
	}
	return nil
}

func sendLength(ctx context.Context, callers []string, length, rounds int) (times []time.Duration, bad int) {
	caller := NewCaller()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range rounds * len(callers) {
		wg.Go(func() {
			out := caller.Do(ctx, Order{
				Address: callers[i%len(callers)], Model: demoModel, PromptTokens: length,
				MaxTokens: demoTokens, Seed: uint64(length + i),
			})
			mu.Lock()
			defer mu.Unlock()
			if out.Err != nil {
				bad++
				return
			}
			times = append(times, out.FirstToken)
		})
	}
	wg.Wait()
	return times, bad
}

func demoSettings(n int, folder string) ([]settings.Settings, error) {
	all := make([]settings.Settings, n)
	var peers []settings.Peer
	var voters []string
	for i := range all {
		s := settings.Default()
		s.Deployment = "demo"
		s.Daemon = gypsumshelf.DaemonID(fmt.Sprintf("demo-%d", i+1))
		s.DataCentre = fmt.Sprintf("demo-%c", 'a'+i%3)
		s.Region = "demo"
		s.DataFolder = filepath.Join(folder, string(s.Daemon))
		s.AllowedNetworks = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
		for _, address := range []*string{&s.Listen.Callers, &s.Listen.BackendServers, &s.Listen.Peers, &s.Listen.Operators, &s.Listen.Metrics} {
			free, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*address = free
		}
		peers = append(peers, settings.Peer{Daemon: s.Daemon, Address: s.Listen.Peers, DataCentre: s.DataCentre})
		if i < maxDemoVoters {
			voters = append(voters, string(s.Daemon))
		}
		all[i] = s
	}
	for i := range all {
		all[i].Peers = peers
		all[i].Voters = voters
	}
	return all, nil
}

// waitReady waits until every daemon has a leader and accepts requests.
func waitReady(ctx context.Context, callers []string) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTime)
	defer cancel()
	for _, address := range callers {
		for !ready(ctx, address) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("daemon at %s is not ready within %s", address, demoReadyTime)
			case <-time.After(demoPeriod / 4):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
