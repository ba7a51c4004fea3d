package loadtests

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
	commitVoters       = 3
	logEntryBytes      = 200
	restartEntries     = 10_000
	logSnapshotBytes   = 20_000
	restartBatchSize   = 64
	logRepetitions     = 20
	statusPollInterval = 5 * time.Millisecond
)

var commitBatchSizes = []int{1, 8, 64, 256}

// measureLog measures commits, restarts and leader changes of the replicated log.
// Data folders are created in the system's temporary folder.
func measureLog(ctx context.Context, cfg MeasureConfig) error {
	folder, err := os.MkdirTemp("", "gypsumshelf-log")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	table := tabwriter.NewWriter(cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "\ncommits of %d bytes, %d voters with real data folders on one disk, in-memory links, one batch at a time\n", logEntryBytes, commitVoters)
	fmt.Fprintln(table, "batch\tcommits\tcommits/s\tbatch p50\tbatch p99\t")
	for _, batch := range commitBatchSizes {
		if err := measureCommits(ctx, table, filepath.Join(folder, fmt.Sprint("batch-", batch)), batch, cfg.Duration); err != nil {
			return err
		}
	}
	fmt.Fprintf(table, "\nrestart after %d entries of %d bytes, in batches of %d\n", restartEntries, logEntryBytes, restartBatchSize)
	fmt.Fprintln(table, "compaction\tbytes on disk\tentries read\topen p50\topen max\t")
	for _, compact := range []bool{false, true} {
		if err := measureRestart(ctx, table, filepath.Join(folder, fmt.Sprint("restart-", compact)), compact); err != nil {
			return err
		}
	}
	if err := measureLeaderChanges(ctx, table, cfg); err != nil {
		return err
	}
	return table.Flush()
}

// measureCommits measures the throughput and latency of commits in batches.
func measureCommits(ctx context.Context, table *tabwriter.Writer, folder string, batch int, duration time.Duration) error {
	c, err := newLogCluster(folder, commitVoters)
	if err != nil {
		return err
	}
	defer c.close()
	c.snapshotState = make([]byte, logSnapshotBytes)
	leader, err := c.waitForLeader(ctx)
	if err != nil {
		return err
	}
	var batchTimes []time.Duration
	start := time.Now()
	for time.Since(start) < duration {
		before := time.Now()
		if err := c.commit(ctx, leader, batch, logEntryBytes); err != nil {
			return err
		}
		batchTimes = append(batchTimes, time.Since(before))
	}
	elapsed := time.Since(start)
	slices.Sort(batchTimes)
	entries := batch * len(batchTimes)
	fmt.Fprintf(table, "%d\t%d\t%.0f\t%s\t%s\t\n", batch, entries, float64(entries)/elapsed.Seconds(),
		batchTimes[len(batchTimes)/2].Round(10*time.Microsecond), batchTimes[len(batchTimes)*99/100].Round(10*time.Microsecond))
	return nil
}

// measureRestart measures the time to open the data folder of a replica and restore
// its state, with or without log compaction.
func measureRestart(ctx context.Context, table *tabwriter.Writer, folder string, compact bool) error {
	c, err := newLogCluster(folder, 1)
	if err != nil {
		return err
	}
	if compact {
		c.snapshotState = make([]byte, logSnapshotBytes)
	}
	leader, err := c.waitForLeader(ctx)
	for n := 0; n < restartEntries && err == nil; n += restartBatchSize {
		err = c.commit(ctx, leader, min(restartBatchSize, restartEntries-n), logEntryBytes)
	}
	c.close()
	if err != nil {
		return err
	}
	var openTimes []time.Duration
	entries := 0
	for range logRepetitions {
		start := time.Now()
		store, err := disks.Open(disks.Config{Folder: filepath.Join(folder, "0")})
		if err != nil {
			return err
		}
		recovered := store.Recovered()
		replicas.New(replicas.Config{Durable: true, Recovered: recovered})
		openTimes = append(openTimes, time.Since(start))
		entries = len(recovered.Entries)
		if err := store.Close(); err != nil {
			return err
		}
	}
	size, err := folderSize(folder)
	slices.Sort(openTimes)
	fmt.Fprintf(table, "%t\t%d\t%d\t%s\t%s\t\n", compact, size, entries,
		openTimes[len(openTimes)/2].Round(10*time.Microsecond), openTimes[len(openTimes)-1].Round(10*time.Microsecond))
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

// measureLeaderChanges measures the time from the end of a leader that stops without
// a handover until another daemon reports a new leader.
func measureLeaderChanges(ctx context.Context, table *tabwriter.Writer, cfg MeasureConfig) error {
	folder, err := os.MkdirTemp("", "gypsumshelf-leaders")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	all, err := clusterSettings(folder, clusterConfig{Daemons: cfg.Daemons})
	if err != nil {
		return err
	}
	running := map[gypsumshelf.DaemonID]*daemons.Daemon{}
	defer func() {
		for _, daemon := range running {
			daemon.Close()
		}
	}()
	for _, s := range all {
		if running[s.Daemon], err = daemons.Start(s); err != nil {
			return err
		}
	}
	var changeTimes []time.Duration
	for range logRepetitions {
		old, err := waitForLeader(ctx, all, "")
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Second) // until all daemons are caught up and verified
		start := time.Now()
		running[old].Close()
		delete(running, old)
		if _, err := waitForLeader(ctx, all, old); err != nil {
			return err
		}
		changeTimes = append(changeTimes, time.Since(start))
		for _, s := range all {
			if s.Daemon == old {
				if running[old], err = daemons.Start(s); err != nil {
					return err
				}
			}
		}
	}
	slices.Sort(changeTimes)
	fmt.Fprintf(table, "\nleader changes after the leader of %d daemons ended without a handover\n", len(all))
	fmt.Fprintln(table, "changes\tp50\tmin\tmax\t")
	fmt.Fprintf(table, "%d\t%s\t%s\t%s\t\n", len(changeTimes), changeTimes[len(changeTimes)/2].Round(time.Millisecond),
		changeTimes[0].Round(time.Millisecond), changeTimes[len(changeTimes)-1].Round(time.Millisecond))
	return nil
}

// waitForLeader waits until a daemon other than old reports a leader other than old.
func waitForLeader(ctx context.Context, all []settings.Settings, old gypsumshelf.DaemonID) (gypsumshelf.DaemonID, error) {
	for {
		for _, s := range all {
			if leader := reportedLeader(ctx, s); s.Daemon != old && leader != "" && leader != old {
				return leader, nil
			}
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-time.After(statusPollInterval):
		}
	}
}

// reportedLeader returns the leader that a daemon reports, or the empty string when it
// reports none or cannot be reached.
func reportedLeader(ctx context.Context, s settings.Settings) gypsumshelf.DaemonID {
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
