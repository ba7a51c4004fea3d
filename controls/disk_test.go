package controls

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/rosters"
)

const (
	// returnBound is the time in which a host has to be back after its disk has
	// recovered.
	returnBound = 4 * time.Second
	// acknowledgeBound is the time in which a change has to be acknowledged by a group
	// of hosts that are back.
	acknowledgeBound = 4 * time.Second
)

// faultyDisk refuses the operations of one kind ("open", "write" or "sync", "" for all)
// while errno is set, and writes beyond its size.
type faultyDisk struct {
	operation string
	errno     atomic.Int64
	folder    string // holds all files of the disk
	size      int64  // 0 for no limit
}

// isFull reports whether the disk has no room for n more bytes.
func (d *faultyDisk) isFull(n int) bool {
	if d.size == 0 {
		return false
	}
	used := int64(n)
	_ = filepath.WalkDir(d.folder, func(_ string, e fs.DirEntry, err error) error {
		if err != nil {
			return nil // removed meanwhile
		}
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() {
			used += info.Size()
		}
		return nil
	})
	return used > d.size
}

func (d *faultyDisk) check(operation, name string) error {
	if errno := syscall.Errno(d.errno.Load()); errno != 0 && (d.operation == "" || d.operation == operation) {
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

// Write writes half of the data before it fails.
func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.disk.check("write", f.Name()); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	if f.disk.isFull(len(b)) {
		return 0, &fs.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if err := f.disk.check("sync", f.Name()); err != nil {
		return err
	}
	return f.File.Sync()
}

// newFaultyCluster returns a started cluster whose disks refuse one kind of operation
// while their errno is set.
func newFaultyCluster(t *testing.T, n int, operation string) *cluster {
	c := newCluster(t, n)
	for _, h := range c.hosts {
		h.disk = &faultyDisk{operation: operation}
		c.start(h, true)
	}
	c.put(1)
	c.awaitVoters()
	return c
}

// putWithin sends a catalog and reads it back within a bound.
func (c *cluster) putWithin(version uint64, bound time.Duration) {
	c.t.Helper()
	started := time.Now()
	c.put(version)
	c.assertVersion(version)
	if took := time.Since(started); took > bound {
		c.t.Errorf("version %d was acknowledged and read back after %v, want at most %v", version, took, bound)
	}
}

// failDisk lets a disk refuse operations until the daemon has noticed, and a while
// longer, and returns when it has recovered and the folder serves again.
func (c *cluster) failDisk(h *host, errno syscall.Errno, version *uint64) {
	c.t.Helper()
	h.disk.errno.Store(int64(errno))
	c.eventually("the failure is noticed", func(other *host) bool {
		*version++
		ctx, cancel := context.WithTimeout(context.Background(), acknowledgeBound)
		defer cancel()
		_ = other.daemon.Propose(ctx, catalogs.Command{Action: catalogs.Put, Version: *version, Document: []byte(fmt.Sprint(*version))})
		return !h.daemon.DataFolder().Serves()
	})
	if h.daemon.IsLeader() {
		c.eventually("the daemon gives up the lead", func(*host) bool { return !h.daemon.IsLeader() })
	}
	time.Sleep(2 * electionTimeout)
	h.disk.errno.Store(0)
	recovered := time.Now()
	c.eventually("the folder serves again", func(*host) bool { return h.daemon.DataFolder().Serves() })
	if took := time.Since(recovered); took > returnBound {
		c.t.Errorf("the folder serves again %v after its disk has recovered, want at most %v", took, returnBound)
	}
}

// Guards against daemons that stay out of the group after a disk has refused a write for
// a moment: after three such disks of five, no change was acknowledged any more.
func TestGroupSurvivesDisksThatRefuseWritesInTurn(t *testing.T) {
	for _, test := range []struct {
		operation string
		errno     syscall.Errno
	}{{"write", syscall.ENOSPC}, {"sync", syscall.EIO}, {"", syscall.EMFILE}} {
		t.Run(fmt.Sprintf("%s %v", test.operation, test.errno), func(t *testing.T) {
			c := newFaultyCluster(t, 5, test.operation)
			version := uint64(1)
			leader := c.leader()
			order := []*host{leader}
			for _, h := range c.hosts {
				if h != leader && len(order) < 3 {
					order = append(order, h)
				}
			}
			for _, h := range order {
				c.failDisk(h, test.errno, &version)
			}
			c.putWithin(version+1, returnBound+acknowledgeBound)
			c.awaitVoters()
			for _, h := range c.hosts {
				if h.daemon.ID() != h.id {
					t.Errorf("%s has a new incarnation although nothing of it was lost", h.ip)
				}
			}
		})
	}
}

// Guards against one disk that refused writes for a moment and takes, beside two lost
// disks, the quorum with it.
func TestRefusedWritesBesideTwoLostDisks(t *testing.T) {
	c := newFaultyCluster(t, 5, "write")
	version := uint64(1)
	c.failDisk(c.hosts[0], syscall.ENOSPC, &version)
	version++
	c.putWithin(version, returnBound+acknowledgeBound)
	c.awaitVoters()
	for _, h := range c.hosts[1:3] {
		h.kill()
		h.wipe()
	}
	c.putWithin(version+1, acknowledgeBound)
}

// Guards against a process that ends because its disk refuses writes when it starts, and
// against one that lives and does not serve backend servers meanwhile.
func TestDaemonStartsOnADiskThatRefusesWrites(t *testing.T) {
	c := newFaultyCluster(t, 3, "")
	h := c.hosts[2]
	h.kill()
	h.disk.errno.Store(int64(syscall.ENOSPC))
	c.start(h, false)
	if _, err := h.daemon.ReadState(context.Background()); !errors.Is(err, ErrStorage) {
		t.Errorf("a read fails with %v, want %v", err, ErrStorage)
	}
	h.daemon.Announce(context.Background(), rosters.Record{ID: "s1", Born: 1, Sequence: 1, Service: "x", Address: "127.0.0.1:1", DataCentre: "a"})
	c.eventually("the announcement reaches another daemon", func(other *host) bool {
		other.daemon.registry.mu.Lock()
		defer other.daemon.registry.mu.Unlock()
		_, known := other.daemon.registry.roster.Get("s1")
		return other != h && known
	})
	c.putWithin(2, acknowledgeBound)
	h.disk.errno.Store(0)
	c.eventually("the daemon takes part", func(*host) bool {
		s, err := h.daemon.ReadState(context.Background())
		return err == nil && s.Version == 2
	})
	h.id = c.hosts[2].daemon.ID()
	c.awaitVoters()
}

// Guards against a deployment that is never founded because a disk refused the first
// write of a daemon.
func TestFirstWriteIsRefused(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint("seed ", i), func(t *testing.T) {
			c := newCluster(t, 3)
			for _, h := range c.hosts {
				h.disk = &faultyDisk{}
			}
			// The identity is written, the first write of the replica is refused.
			c.hosts[i].disk.operation = "write"
			for _, h := range c.hosts {
				c.start(h, true)
				if h == c.hosts[i] {
					h.disk.errno.Store(int64(syscall.ENOSPC))
				}
			}
			c.eventually("the failure is noticed", func(*host) bool { return !c.hosts[i].daemon.DataFolder().Serves() })
			c.hosts[i].disk.errno.Store(0)
			c.putWithin(1, returnBound+acknowledgeBound)
			c.awaitVoters()
		})
	}
}

// Guards against a daemon that waits for a folder which another process uses.
func TestLockedFolderEndsTheStart(t *testing.T) {
	c := startedCluster(t, 1)
	cfg := c.hosts[0].daemon.cfg
	cfg.Peers, cfg.Directory = unusedListener(t), unusedListener(t)
	if d, err := Start(cfg); err == nil {
		d.terminate()
		t.Error("two daemons use the same folder")
	}
}

func unusedListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against an acknowledged change that is lost with a folder which was erased while
// its daemon ran, and against a daemon that founds a second group then.
func TestFolderIsErasedWhileItsDaemonRuns(t *testing.T) {
	c := newFaultyCluster(t, 3, "")
	version := uint64(1)
	h := c.leader()
	h.disk.errno.Store(int64(syscall.EIO))
	c.eventually("the failure is noticed", func(other *host) bool {
		version++
		_ = other.daemon.Propose(context.Background(), catalogs.Command{Action: catalogs.Put, Version: version, Document: []byte("x")})
		return !h.daemon.DataFolder().Serves()
	})
	if err := os.RemoveAll(filepath.Join(h.folder, "log")); err != nil {
		t.Fatal(err)
	}
	h.disk.errno.Store(0)
	c.putWithin(version+1, returnBound+acknowledgeBound)
	c.eventually("the daemon has a new incarnation", func(*host) bool {
		return h.daemon.ID().Incarnation != h.id.Incarnation
	})
	h.id = h.daemon.ID()
	c.awaitVoters()
}

// Guards against disks that the daemons themselves fill, with the largest configurations
// that they accept in quick succession, and against a log that stays full.
func TestLargestConfigurationsFitOnTheDisk(t *testing.T) {
	const diskSize = 3 << 20
	c := newCluster(t, 3)
	c.diskBytes = diskSize
	for _, h := range c.hosts {
		h.disk = &faultyDisk{operation: "none", folder: h.folder, size: diskSize}
		c.start(h, true)
	}
	c.put(1)
	c.awaitVoters()
	largest := diskSize / 16
	if err := c.hosts[0].daemon.Propose(context.Background(), catalogs.Command{Action: catalogs.Put, Version: 2, Document: make([]byte, largest+100)}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a configuration that does not fit is answered with %v, want %v", err, ErrTooLarge)
	}
	const operators, changes = 4, 10
	var version, accepted atomic.Uint64
	version.Store(2)
	var wg sync.WaitGroup
	deadline := time.Now().Add(time.Minute)
	for i := range operators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for own := 0; own < changes && time.Now().Before(deadline); {
				err := c.hosts[i%3].daemon.Propose(context.Background(), catalogs.Command{
					Action: catalogs.Put, Version: version.Add(1), Document: make([]byte, largest),
				})
				if err == nil {
					own++
					accepted.Add(1)
				} else {
					time.Sleep(heartbeatInterval)
				}
			}
		}()
	}
	wg.Wait()
	if n := accepted.Load(); n != operators*changes {
		t.Errorf("%d of %d changes were accepted", n, operators*changes)
	}
	c.putWithin(version.Add(1), acknowledgeBound)
	for _, h := range c.hosts {
		if n := h.daemon.DataFolder().Failures(disks.CauseFull); n > 0 {
			t.Errorf("the disk of %s was full %d times", h.ip, n)
		}
	}
	for _, h := range c.hosts {
		h.kill()
	}
	for _, h := range c.hosts {
		c.start(h, false)
	}
	c.assertVersion(version.Load())
	for _, h := range c.hosts {
		if !h.daemon.DataFolder().Serves() {
			t.Errorf("the disk of %s is full after a restart", h.ip)
		}
	}
}
