package daemons

import (
	"io/fs"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/entries"
	"gypsumshelf.example/gypsumshelf/replicas"
)

// faultyDisk refuses everything while errno is set.
type faultyDisk struct{ errno atomic.Int64 }

func (d *faultyDisk) check(operation, name string) error {
	if errno := syscall.Errno(d.errno.Load()); errno != 0 {
		return &fs.PathError{Op: operation, Path: name, Err: errno}
	}
	return nil
}

func (d *faultyDisk) open(name string, flag int, perm fs.FileMode) (disks.File, error) {
	if err := d.check("open", name); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(name, flag, perm)
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: file, disk: d}, nil
}

type faultyFile struct {
	*os.File
	disk *faultyDisk
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.disk.check("write", f.Name()); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

// startOn replaces a daemon by one that uses a faulty disk.
func (g *group) startOn(i int, disk *faultyDisk) {
	g.t.Helper()
	g.stop(i)
	d, err := startOn(disk.open, g.settings[i], func(*entries.Config) {})
	if err != nil {
		g.t.Fatal(err)
	}
	g.daemons[i] = d
}

// awaitFollower waits until a daemon is in contact with a leader.
func (g *group) awaitFollower(i int) {
	g.t.Helper()
	g.waitFor("contact with a leader", func() (ok bool) {
		g.readReplica(i, func(r *replicas.Replica) { _, ok = r.Leader() })
		return ok
	})
}

// Guards against daemons that stay out of the log after a disk has refused a write for a
// moment: after two such disks of three voters, no command was accepted any more.
func TestLogSurvivesDisksThatRefuseWritesInTurn(t *testing.T) {
	g := newGroup(t, 3)
	g.commit(10)
	for i := range 3 {
		disk := &faultyDisk{}
		g.startOn(i, disk)
		g.awaitFollower(i)
		g.commit(1)
		var id replicas.NodeID
		g.readReplica(i, func(r *replicas.Replica) { id = r.ID() })
		disk.errno.Store(int64(syscall.ENOSPC))
		g.propose([][]byte{g.command(0)})
		g.waitFor("the failure is noticed", func() bool { return !g.daemons[i].storage.health.Serves() })
		time.Sleep(2 * electionTimeout)
		disk.errno.Store(0)
		g.commit(10)
		g.readReplica(i, func(r *replicas.Replica) {
			if r.ID() != id {
				t.Errorf("%s has a new incarnation although nothing of it was lost", r.ID())
			}
		})
	}
}

// Guards against a process that ends because its disk refuses writes when it starts.
func TestDaemonStartsOnADiskThatRefusesWrites(t *testing.T) {
	g := newGroup(t, 3)
	g.commit(10)
	disk := &faultyDisk{}
	disk.errno.Store(int64(syscall.ENOSPC))
	g.startOn(2, disk)
	g.propose([][]byte{g.command(0)})
	disk.errno.Store(0)
	g.awaitFollower(2)
	g.commit(10)
}
