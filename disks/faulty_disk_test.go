package disks

import (
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// faultyDisk refuses operations on files. After a refused write or sync it holds
// against the code under test that the same open file is written or synced again.
type faultyDisk struct {
	t testing.TB

	mu       sync.Mutex
	refuse   func(op, name string) error // nil to accept everything
	count    int                         // operations since the last reset
	unstable map[string][]byte           // by path: what the disk holds of a file whose sync failed
	hang     chan struct{}               // syncs wait until it is closed, nil for none
}

type faultyFile struct {
	*os.File
	disk   *faultyDisk
	synced []byte
	failed bool
}

func newFaultyDisk(t testing.TB) *faultyDisk {
	return &faultyDisk{t: t, unstable: map[string][]byte{}}
}

func (d *faultyDisk) set(refuse func(op, name string) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse, d.count = refuse, 0
}

// refuseAll refuses every operation that needs the disk or a descriptor.
func (d *faultyDisk) refuseAll(errno syscall.Errno) {
	d.set(func(string, string) error { return errno })
}

// refuseFrom refuses all operations from the n-th on, counted from 0.
func (d *faultyDisk) refuseFrom(n int, errno syscall.Errno) {
	i := 0
	d.set(func(string, string) error {
		if i++; i > n {
			return errno
		}
		return nil
	})
}

func (d *faultyDisk) check(op, name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	if d.refuse == nil {
		return nil
	}
	if err := d.refuse(op, filepath.Base(name)); err != nil {
		return &fs.PathError{Op: op, Path: name, Err: err}
	}
	return nil
}

func (d *faultyDisk) operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

func (d *faultyDisk) open(name string, flag int, perm fs.FileMode) (File, error) {
	if err := d.check("open", name); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(name, flag, perm)
	if err != nil {
		return nil, err
	}
	f := &faultyFile{File: file, disk: d}
	if f.isRegular() {
		f.synced, _ = os.ReadFile(name)
	}
	return f, nil
}

func (f *faultyFile) use() {
	if f.failed {
		f.disk.t.Errorf("%s is used again after a write or a sync of it has failed", f.Name())
	}
}

// Write writes half of the data before it fails.
func (f *faultyFile) Write(b []byte) (int, error) {
	f.use()
	if err := f.disk.check("write", f.Name()); err != nil {
		f.failed = true
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

// Sync drops what is not on the disk yet when it fails, although it can still be read.
func (f *faultyFile) Sync() error {
	f.use()
	f.disk.mu.Lock()
	hang := f.disk.hang
	f.disk.mu.Unlock()
	if hang != nil {
		<-hang
	}
	if err := f.disk.check("sync", f.Name()); err != nil {
		f.failed = true
		if f.isRegular() {
			f.disk.mu.Lock()
			f.disk.unstable[f.Name()] = f.synced
			f.disk.mu.Unlock()
		}
		return err
	}
	if f.isRegular() {
		f.synced, _ = os.ReadFile(f.Name())
	}
	return f.File.Sync()
}

func (f *faultyFile) isRegular() bool {
	info, err := f.Stat()
	return err == nil && info.Mode().IsRegular()
}

// losePower leaves of the files whose sync has failed what the disk holds.
func (d *faultyDisk) losePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for path, data := range d.unstable {
		if _, err := os.Stat(path); err == nil {
			if err := os.WriteFile(path, data, 0o600); err != nil {
				d.t.Fatal(err)
			}
		}
	}
}
