package loads

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/daemons"
	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/operators"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/settings"
)

const (
	logVoters       = 3
	logEntrySize    = 200 // bytes
	logEntries      = 10_000
	logStateSize    = 20_000 // bytes of a snapshot's data
	logRestartBatch = 64
	leaderChanges   = 20
	statusPoll      = 5 * time.Millisecond
)

var logBatches = []int{1, 8, 64, 256}

// measureLog measures commits, restarts and leader changes of the replicated log.
// Data folders are under the temporary folder.
func measureLog(ctx context.Context, cfg MeasureConfig) error {
	folder, err := os.MkdirTemp("", "gypsumshelf-log")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	table := tabwriter.NewWriter(cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "\ncommits of %d bytes, %d voters with real data folders on one disk, in-memory links, one batch at a time\n", logEntrySize, logVoters)
	fmt.Fprintln(table, "batch\tcommits\tcommits/s\tbatch p50\tbatch p99\t")
	for _, batch := range logBatches {
		if err := measureCommits(ctx, table, filepath.Join(folder, fmt.Sprint("batch-", batch)), batch, cfg.Duration); err != nil {
			return err
		}
	}
	fmt.Fprintf(table, "\nrestart after %d entries of %d bytes, in batches of %d\n", logEntries, logEntrySize, logRestartBatch)
	fmt.Fprintln(table, "compaction\tbytes on disk\tentries read\topen p50\topen max\t")
	for _, compact := range []bool{false, true} {
		if err := measureRestart(ctx, table, filepath.Join(folder, fmt.Sprint("restart-", compact)), compact); err != nil {
			return err
		}
	}
	if err := measureLeaders(ctx, table, cfg); err != nil {
		return err
	}
	return table.Flush()
}

func measureCommits(ctx context.Context, table *tabwriter.Writer, folder string, batch int, d time.Duration) error {
	r, err := newLogRun(folder, logVoters)
	if err != nil {
		return err
	}
	defer r.close()
	r.snapshot = make([]byte, logStateSize)
	leader, err := r.leader(ctx)
	if err != nil {
		return err
	}
	var times []time.Duration
	start := time.Now()
	for time.Since(start) < d {
		before := time.Now()
		if err := r.commit(ctx, leader, batch, logEntrySize); err != nil {
			return err
		}
		times = append(times, time.Since(before))
	}
	elapsed := time.Since(start)
	slices.Sort(times)
	n := batch * len(times)
	fmt.Fprintf(table, "%d\t%d\t%.0f\t%s\t%s\t\n", batch, n, float64(n)/elapsed.Seconds(),
		times[len(times)/2].Round(10*time.Microsecond), times[len(times)*99/100].Round(10*time.Microsecond))
	return nil
}

func measureRestart(ctx context.Context, table *tabwriter.Writer, folder string, compact bool) error {
	r, err := newLogRun(folder, 1)
	if err != nil {
		return err
	}
	if compact {
		r.snapshot = make([]byte, logStateSize)
	}
	leader, err := r.leader(ctx)
	for n := 0; n < logEntries && err == nil; n += logRestartBatch {
		err = r.commit(ctx, leader, min(logRestartBatch, logEntries-n), logEntrySize)
	}
	r.close()
	if err != nil {
		return err
	}
	var times []time.Duration
	entries := 0
	for range leaderChanges {
		start := time.Now()
		store, err := disks.Open(disks.Config{Folder: filepath.Join(folder, "0")})
		if err != nil {
			return err
		}
		recovered := store.Recovered()
		replicas.New(replicas.Config{Durable: true, Recovered: recovered})
		times = append(times, time.Since(start))
		entries = len(recovered.Entries)
		if err := store.Close(); err != nil {
			return err
		}
	}
	size, err := folderSize(folder)
	slices.Sort(times)
	fmt.Fprintf(table, "%t\t%d\t%d\t%s\t%s\t\n", compact, size, entries,
		times[len(times)/2].Round(10*time.Microsecond), times[len(times)-1].Round(10*time.Microsecond))
	return err
}

func folderSize(folder string) (size int64, err error) {
	err = filepath.WalkDir(folder, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			size += info.Size()
		}
		return err
	})
	return size, err
}

// measureLeaders ends leaders of real daemons without a handover.
func measureLeaders(ctx context.Context, table *tabwriter.Writer, cfg MeasureConfig) error {
	folder, err := os.MkdirTemp("", "gypsumshelf-leaders")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	all, err := clusterSettings(folder, clusterConfig{Daemons: cfg.Daemons})
	if err != nil {
		return err
	}
	running := map[gypsumshelf.DaemonID]*daemons.Instance{}
	defer func() {
		for _, in := range running {
			in.Close()
		}
	}()
	for _, s := range all {
		if running[s.Daemon], err = daemons.Start(s); err != nil {
			return err
		}
	}
	var times []time.Duration
	for range leaderChanges {
		old, err := waitLeader(ctx, all, "")
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Second) // all daemons are caught up and verified
		start := time.Now()
		running[old].Close()
		delete(running, old)
		if _, err := waitLeader(ctx, all, old); err != nil {
			return err
		}
		times = append(times, time.Since(start))
		for _, s := range all {
			if s.Daemon == old {
				if running[old], err = daemons.Start(s); err != nil {
					return err
				}
			}
		}
	}
	slices.Sort(times)
	fmt.Fprintf(table, "\nleader changes after the leader of %d daemons ended without a handover\n", len(all))
	fmt.Fprintln(table, "changes\tp50\tmin\tmax\t")
	fmt.Fprintf(table, "%d\t%s\t%s\t%s\t\n", len(times), times[len(times)/2].Round(time.Millisecond),
		times[0].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	return nil
}

// waitLeader waits until a daemon names a leader other than old.
func waitLeader(ctx context.Context, all []settings.Settings, old gypsumshelf.DaemonID) (gypsumshelf.DaemonID, error) {
	for {
		for _, s := range all {
			if leader := leaderOf(ctx, s); s.Daemon != old && leader != "" && leader != old {
				return leader, nil
			}
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-time.After(statusPoll):
		}
	}
}

// leaderOf returns the leader that a daemon reports, empty when it reports none.
func leaderOf(ctx context.Context, s settings.Settings) gypsumshelf.DaemonID {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Listen.Operators+"/status", nil)
	if err != nil {
		return ""
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var status operators.Status
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return ""
	}
	return status.Leader
}
