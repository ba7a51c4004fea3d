package loadtests

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
	logTickInterval     = 10 * time.Millisecond
	logRetainedEntries  = 1024
	logGroup            = "measured"
	logSnapshotInterval = 4096 // entries between snapshots, same value as in a daemon
)

// logNode is a replica and its data folder.
type logNode struct {
	id                   replicas.NodeID
	replica              *replicas.Replica
	store                *disks.Store
	appliedSinceSnapshot int // committed entries
}

// syncResult reports that a node's store has synced its writes to disk or has failed.
type syncResult struct {
	node     *logNode
	sequence uint64
	err      error
}

// logCluster is a set of replicas with data folders on disk and in-memory links. One
// goroutine runs all of them.
type logCluster struct {
	nodes         []*logNode
	syncs         chan syncResult
	messages      []replicas.Message
	snapshotState []byte // data of snapshots; the log is not compacted when nil
}

// newLogCluster starts n voters with data folders inside a folder.
func newLogCluster(folder string, n int) (*logCluster, error) {
	c := &logCluster{syncs: make(chan syncResult, 1<<16)}
	var members replicas.Members
	for i := range n {
		node := &logNode{id: replicas.NodeID{Daemon: gypsumshelf.DaemonID(fmt.Sprint(i))}}
		path := filepath.Join(folder, fmt.Sprint(i))
		var err error
		node.store, err = disks.Open(disks.Config{
			Folder: path,
			Synced: func(sequence uint64) { c.syncs <- syncResult{node: node, sequence: sequence} },
			Failed: func(err error) { c.syncs <- syncResult{node: node, err: err} },
		})
		if err != nil {
			return nil, err
		}
		node.id.Incarnation = node.store.Incarnation()
		members = append(members, replicas.Member{ID: node.id, DataCentre: fmt.Sprint(i), Role: replicas.Voter, Durable: true})
		c.nodes = append(c.nodes, node)
	}
	hardState := replicas.HardState{Group: logGroup, Term: 1}
	initialSnapshot := replicas.NewGroupSnapshot(members, time.Now())
	for i, node := range c.nodes {
		node.store.Write(&replicas.Persist{HardState: hardState, Snapshot: initialSnapshot})
		node.replica = replicas.New(replicas.Config{
			ID: node.id, Durable: true, Seed: uint64(i + 1), Session: uint64(i + 1), RetainEntries: logRetainedEntries,
			Recovered: replicas.Recovered{HardState: hardState, Snapshot: initialSnapshot},
		})
		node.store.Run()
	}
	return c, nil
}

func (c *logCluster) close() {
	for _, node := range c.nodes {
		_ = node.store.Close()
	}
}

// processOutput writes and delivers the output of all replicas until none is left.
func (c *logCluster) processOutput() {
	for busy := true; busy; {
		busy = false
		for _, node := range c.nodes {
			out := node.replica.TakeOutput()
			c.messages = append(c.messages, out.Messages...)
			if out.Persist != nil {
				node.store.Write(out.Persist)
			}
			if node.appliedSinceSnapshot += len(out.Committed); node.appliedSinceSnapshot >= logSnapshotInterval && c.snapshotState != nil {
				node.appliedSinceSnapshot, busy = 0, true
				node.replica.Compact(node.replica.CommitIndex(), c.snapshotState)
			}
		}
		messages := c.messages
		c.messages = nil
		for _, m := range messages {
			busy = true
			for _, node := range c.nodes {
				if node.id == m.To {
					node.replica.Receive(time.Now(), m)
				}
			}
		}
	}
}

// runUntil runs the replicas until the condition holds.
func (c *logCluster) runUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(logTickInterval)
	defer ticker.Stop()
	for c.processOutput(); !condition(); c.processOutput() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-c.syncs:
			if s.err != nil {
				return s.err
			}
			s.node.replica.Synced(time.Now(), s.sequence)
		case now := <-ticker.C:
			for _, node := range c.nodes {
				node.replica.Tick(now)
			}
		}
	}
	return nil
}

// waitForLeader waits for a leader that has committed an entry of its term.
func (c *logCluster) waitForLeader(ctx context.Context) (*replicas.Replica, error) {
	var leader *replicas.Replica
	err := c.runUntil(ctx, func() bool {
		for _, node := range c.nodes {
			if node.replica.CanServeRead(time.Now().Add(-time.Second)) {
				leader = node.replica
			}
		}
		return leader != nil
	})
	return leader, err
}

// commit proposes a batch and waits until the leader has committed it.
func (c *logCluster) commit(ctx context.Context, leader *replicas.Replica, batch, size int) error {
	var last uint64
	for range batch {
		index, _, err := leader.Propose(time.Now(), make([]byte, size))
		if err != nil {
			return err
		}
		last = index
	}
	return c.runUntil(ctx, func() bool { return leader.CommitIndex() >= last })
}
