package loads

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/replicas"
)

const (
	logTick      = 10 * time.Millisecond
	logRetain    = 1024
	logGroup     = "measured"
	logSnapshots = 4096 // entries between snapshots, as in a daemon
)

// logNode is a replica with its data folder.
type logNode struct {
	id      replicas.NodeID
	replica *replicas.Replica
	store   *disks.Store
	applied int // entries since the last snapshot
}

// logSync reports a completed sync of a node.
type logSync struct {
	node     *logNode
	sequence uint64
	err      error
}

// logRun drives replicas with real data folders and in-memory links from one
// goroutine.
type logRun struct {
	nodes    []*logNode
	syncs    chan logSync
	messages []replicas.Message
	snapshot []byte // state to compact to; no compaction when nil
}

// newLogRun starts n voters under a folder.
func newLogRun(folder string, n int) (*logRun, error) {
	r := &logRun{syncs: make(chan logSync, 1<<16)}
	var members replicas.Members
	for i := range n {
		node := &logNode{id: replicas.NodeID{Daemon: gypsumshelf.DaemonID(fmt.Sprint(i))}}
		path := filepath.Join(folder, fmt.Sprint(i))
		var err error
		node.store, err = disks.Open(disks.Config{
			Folder: path,
			Synced: func(sequence uint64) { r.syncs <- logSync{node: node, sequence: sequence} },
			Failed: func(err error) { r.syncs <- logSync{node: node, err: err} },
		})
		if err != nil {
			return nil, err
		}
		node.id.Incarnation = node.store.Incarnation()
		members = append(members, replicas.Member{ID: node.id, DataCentre: fmt.Sprint(i), Role: replicas.Voter, Durable: true})
		r.nodes = append(r.nodes, node)
	}
	hard := replicas.HardState{Group: logGroup, Term: 1}
	founding := replicas.Founding(members, time.Now())
	for i, node := range r.nodes {
		node.store.Write(&replicas.Persist{Hard: hard, Snapshot: founding})
		node.replica = replicas.New(replicas.Config{
			ID: node.id, Durable: true, Seed: uint64(i + 1), Session: uint64(i + 1), Retain: logRetain,
			Recovered: replicas.Recovered{Hard: hard, Snapshot: founding},
		})
		node.store.Run()
	}
	return r, nil
}

func (r *logRun) close() {
	for _, node := range r.nodes {
		_ = node.store.Close()
	}
}

// pump carries out all output and delivers all messages.
func (r *logRun) pump() {
	for busy := true; busy; {
		busy = false
		for _, node := range r.nodes {
			out := node.replica.Take()
			r.messages = append(r.messages, out.Messages...)
			if out.Persist != nil {
				node.store.Write(out.Persist)
			}
			if node.applied += len(out.Committed); node.applied >= logSnapshots && r.snapshot != nil {
				node.applied, busy = 0, true
				node.replica.Compact(node.replica.CommitIndex(), r.snapshot)
			}
		}
		messages := r.messages
		r.messages = nil
		for _, m := range messages {
			busy = true
			for _, node := range r.nodes {
				if node.id == m.To {
					node.replica.Receive(time.Now(), m)
				}
			}
		}
	}
}

// until runs the replicas until a condition holds.
func (r *logRun) until(ctx context.Context, ok func() bool) error {
	ticker := time.NewTicker(logTick)
	defer ticker.Stop()
	for r.pump(); !ok(); r.pump() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-r.syncs:
			if s.err != nil {
				return s.err
			}
			s.node.replica.Synced(time.Now(), s.sequence)
		case now := <-ticker.C:
			for _, node := range r.nodes {
				node.replica.Tick(now)
			}
		}
	}
	return nil
}

// leader waits for a leader that has committed an entry of its term.
func (r *logRun) leader(ctx context.Context) (*replicas.Replica, error) {
	var leader *replicas.Replica
	err := r.until(ctx, func() bool {
		for _, node := range r.nodes {
			if node.replica.Confirmed(time.Now().Add(-time.Second)) {
				leader = node.replica
			}
		}
		return leader != nil
	})
	return leader, err
}

// commit proposes a batch and waits until the leader has committed it.
func (r *logRun) commit(ctx context.Context, leader *replicas.Replica, batch, size int) error {
	var last uint64
	for range batch {
		index, _, err := leader.Propose(time.Now(), make([]byte, size))
		if err != nil {
			return err
		}
		last = index
	}
	return r.until(ctx, func() bool { return leader.CommitIndex() >= last })
}
