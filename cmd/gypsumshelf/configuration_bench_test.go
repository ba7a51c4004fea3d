package main

import (
	"context"
	"fmt"
	"io/fs"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/operators"
	"gypsumshelf.example/gypsumshelf/settings"
)

// changeClass sends a change based on a revision to a daemon. It returns the
// new revision and the time at which the answer arrived.
func (d *deployment) changeClass(to int, revision gypsumshelf.Revision) (gypsumshelf.Revision, time.Time) {
	d.t.Helper()
	id, err := operators.NewCommandID()
	if err != nil {
		d.t.Fatal(err)
	}
	client := operators.NewClient(operators.ClientConfig{DaemonAddresses: []string{d.daemons[to].addresses["operators"]}})
	answer, err := client.Execute(context.Background(), configs.OperatorCommand{
		CommandID: id, Operator: "benchmark", Revision: revision,
		Change: configs.Change{
			Action: configs.ActionClassSet, Name: fmt.Sprintf("class-%d", revision%100),
			FirstToken: settings.Duration(time.Second), Finish: settings.Duration(time.Minute),
		},
	})
	if err != nil || !answer.Accepted {
		d.t.Fatalf("answer %+v, %v", answer, err)
	}
	return answer.Revision, time.Now()
}

// reportTimes reports the median, the 99th percentile and the maximum in
// milliseconds.
func reportTimes(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"max", 1}} {
		t := times[min(len(times)-1, int(q.at*float64(len(times))))]
		b.ReportMetric(float64(t.Microseconds())/1000, name+"-"+q.name+"-ms")
	}
}

// BenchmarkChangeInForce measures the time from sending a change until it is
// accepted, and from then until it is in force on all 4 daemons.
func BenchmarkChangeInForce(b *testing.B) {
	d := startDeployment(b, 4, false)
	var accepted, inForce []time.Duration
	var revision gypsumshelf.Revision
	for i := range b.N {
		seen := make([]time.Time, len(d.daemons))
		var wg sync.WaitGroup
		for j, td := range d.daemons {
			want := revision + 1
			wg.Go(func() {
				if !poll(2*time.Millisecond, func() bool { s, ok := td.status(); return ok && s.Revision >= want }) {
					b.Errorf("%s does not reach revision %d", td.name, want)
				}
				seen[j] = time.Now()
			})
		}
		sent := time.Now()
		next, answered := d.changeClass(i%len(d.daemons), revision)
		revision = next
		wg.Wait()
		accepted = append(accepted, answered.Sub(sent))
		inForce = append(inForce, max(0, slices.MaxFunc(seen, time.Time.Compare).Sub(answered)))
	}
	reportTimes(b, "accepted", accepted)
	reportTimes(b, "in-force", inForce)
}

// BenchmarkCutOffRefuses measures the time from cutting all links of a daemon
// until its /readyz reports that it is not ready.
func BenchmarkCutOffRefuses(b *testing.B) {
	d := startDeployment(b, 4, true)
	var times []time.Duration
	for range b.N {
		cut := d.other(d.leader())
		start := time.Now()
		d.setCutOff(cut, true)
		waitFor(b, "the daemon reports that it is not ready", func() bool { return d.daemons[cut].readyz() == http.StatusServiceUnavailable })
		times = append(times, time.Since(start))
		d.setCutOff(cut, false)
		d.waitReady(cut)
	}
	reportTimes(b, "refuses", times)
}

// changesBeforeRestart is the number of changes that a restarted daemon has to
// recover in BenchmarkRestart.
const changesBeforeRestart = 10_000

// BenchmarkRestart measures the time that a daemon, killed after 10,000
// changes, needs from its restart until it has all of them and is ready.
func BenchmarkRestart(b *testing.B) {
	d := startDeployment(b, 4, false)
	leader := d.leader()
	var revision gypsumshelf.Revision
	for range changesBeforeRestart {
		revision, _ = d.changeClass(leader, revision)
	}
	var times []time.Duration
	for i := range b.N {
		which := i % len(d.daemons)
		d.signal(which, syscall.SIGKILL)
		_ = d.processes[which].cmd.Wait()
		start := time.Now()
		d.restart(which)
		waitFor(b, "the daemon has every change and is ready", func() bool {
			s, ok := d.daemons[which].status()
			return ok && s.Ready && s.Revision == revision
		})
		times = append(times, time.Since(start))
		d.leader() // wait until all agree on a leader before the next one is killed
	}
	reportTimes(b, "restart", times)
	b.ReportMetric(float64(d.maxDataFolderBytes())/1e6, "data-folder-MB")
}

// maxDataFolderBytes returns the size of the largest data folder.
func (d *deployment) maxDataFolderBytes() (largest int64) {
	for _, td := range d.daemons {
		var sum int64
		_ = filepath.WalkDir(td.dataFolder, func(_ string, e fs.DirEntry, err error) error {
			if err == nil {
				if info, err := e.Info(); err == nil && !e.IsDir() {
					sum += info.Size()
				}
			}
			return nil
		})
		largest = max(largest, sum)
	}
	return largest
}
