package disks

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/replicas"
)

// folderHarness runs a Folder and a fake replica that writes to it.
type folderHarness struct {
	t       testing.TB
	path    string
	disk    *faultyDisk
	health  *Health
	folder  *Folder
	opening Opening
	synced  chan uint64
	failed  chan struct{}
	opened  chan Opening

	sequence uint64
	index    uint64 // of the last entry that was reported as synced
}

func newFolderHarness(t testing.TB) *folderHarness {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &folderHarness{t: t, path: filepath.Join(t.TempDir(), "data"), disk: newFaultyDisk(t), health: NewHealth(logrus.NewEntry(log))}
	h.start()
	return h
}

func (h *folderHarness) start() {
	h.t.Helper()
	if opening := h.startWithout(); opening != nil {
		h.opening = *opening
	} else {
		h.t.Fatal("the folder could not be opened")
	}
}

func (h *folderHarness) startWithout() *Opening {
	h.t.Helper()
	h.synced, h.failed, h.opened = make(chan uint64, 1000), make(chan struct{}, 1000), make(chan Opening, 1000)
	folder, opening, err := StartFolder(FolderConfig{
		Path: h.path, OpenFile: h.disk.open, Log: h.health.log, Health: h.health,
		Synced: func(n uint64) { h.synced <- n },
		Failed: func() { h.failed <- struct{}{} },
		Opened: func(o Opening) { h.opened <- o },
	})
	if err != nil {
		h.t.Fatal(err)
	}
	h.folder = folder
	folder.Run()
	h.t.Cleanup(folder.Close)
	return opening
}

// write writes the next entry, and a snapshot up to the last one if wanted.
func (h *folderHarness) write(compact bool) {
	h.sequence++
	p := &replicas.Persist{Sequence: h.sequence, HardState: testHardState}
	if next := entry(h.index+1, 3); compact {
		p.Snapshot = &replicas.Snapshot{Index: next.Index, Term: 3, At: testTime, Data: []byte("state")}
	} else {
		p.Entries = []replicas.Entry{next}
	}
	h.folder.Write(h.opening.Session, p)
}

// sync writes and waits until that is synced.
func (h *folderHarness) sync(compact bool) {
	h.t.Helper()
	h.write(compact)
	await(h.t, h.synced, "a write is synced")
	h.index++
}

func (h *folderHarness) awaitOpened() {
	h.t.Helper()
	h.opening = await(h.t, h.opened, "the folder is open again")
	h.sequence = 0
}

// restart ends the process and starts it again.
func (h *folderHarness) restart() {
	h.t.Helper()
	h.folder.Close()
	h.start()
}

func await[T any](t testing.TB, c chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(30 * time.Second):
		t.Fatalf("timed out waiting until %s", what)
		panic("unreachable")
	}
}

// lastIndex returns the last entry that was recovered.
func (h *folderHarness) lastIndex() uint64 {
	var k Known
	k.extend(h.opening.Recovered.HardState, h.opening.Recovered.Snapshot, h.opening.Recovered.Entries)
	return k.lastIndex
}

// assertKept checks that nothing was lost which was reported as synced.
func (h *folderHarness) assertKept(incarnation string) {
	h.t.Helper()
	last := h.lastIndex()
	if h.opening.Incarnation != incarnation || h.opening.Recovered.FormerMember || last < h.index || last > h.index+1 {
		h.t.Errorf("incarnation %s, former member %t, last entry %d; want %s, false and %d or one more",
			h.opening.Incarnation, h.opening.Recovered.FormerMember, last, incarnation, h.index)
	}
	if last > 0 && !reflect.DeepEqual(h.opening.Recovered.HardState, testHardState) {
		h.t.Errorf("hard state %+v, want %+v", h.opening.Recovered.HardState, testHardState)
	}
	h.index = last
}

// assertClean checks that only one generation is left, and no temporary file.
func (h *folderHarness) assertClean() {
	h.t.Helper()
	entries, err := os.ReadDir(h.path)
	if err != nil {
		h.t.Fatal(err)
	}
	logs := 0
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), temporarySuffix) {
			h.t.Errorf("temporary file %s is left", e.Name())
		}
		if strings.HasPrefix(e.Name(), logPrefix) {
			logs++
		}
	}
	if logs != 1 {
		h.t.Errorf("%d logs, want one", logs)
	}
}

// Guards against a folder that stays out of service after an error that passes, and
// against what was synced being lost by it: each operation of a write or a compaction
// is refused in turn.
func TestFolderServesAgainAfterEachRefusedOperation(t *testing.T) {
	for _, compact := range []bool{false, true} {
		for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EMFILE} {
			t.Run(fmt.Sprintf("compact %t, %v", compact, errno), func(t *testing.T) {
				t.Parallel()
				for n, refused := 0, true; refused; n++ {
					h := newFolderHarness(t)
					h.sync(false)
					incarnation := h.opening.Incarnation
					h.disk.refuseFrom(n, errno)
					h.write(compact)
					select {
					case <-h.failed:
					case <-h.synced:
						h.index++
						refused = false // there are no more operations
					}
					if refused && h.health.Serves() {
						t.Error("the folder counts as in service after a failure")
					}
					h.disk.set(nil)
					if refused {
						h.awaitOpened()
						h.assertKept(incarnation)
						h.assertClean()
						h.sync(compact)
						h.sync(false)
					}
					h.folder.Close()
					h.disk.losePower()
					h.start()
					h.assertKept(incarnation)
					h.folder.Close()
				}
			})
		}
	}
}

// Guards against records that were read from the page cache and never reached the disk.
func TestFailedSyncIsNotTrusted(t *testing.T) {
	for name, next := range map[string]func(h *folderHarness){
		"the folder is opened again": (*folderHarness).awaitOpened,
		"the process ends first": func(h *folderHarness) {
			h.folder.Close()
			h.start()
			h.sequence = 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFolderHarness(t)
			h.sync(false)
			incarnation := h.opening.Incarnation
			h.disk.refuseFrom(1, syscall.EIO)
			h.write(false) // its sync fails
			<-h.failed
			h.disk.set(nil)
			next(h)
			h.assertKept(incarnation)
			kept := h.index
			h.folder.Close()
			h.disk.losePower()
			h.start()
			if last := h.lastIndex(); last < kept {
				t.Errorf("last entry %d after a power loss, the replica was told %d", last, kept)
			}
		})
	}
}

// Guards against a first write that is refused and costs the daemon its identity.
func TestRefusedFirstWriteKeepsTheIncarnation(t *testing.T) {
	h := newFolderHarness(t)
	incarnation := h.opening.Incarnation
	h.disk.refuseAll(syscall.ENOSPC)
	h.write(false)
	<-h.failed
	h.disk.set(nil)
	h.awaitOpened()
	h.assertKept(incarnation)
	h.sync(false)
	h.restart()
	h.assertKept(incarnation)
}

// Guards against a new group that loses its voters: the first write of a daemon is torn,
// its process ends, and the daemon comes back as another one.
func TestTornFirstWriteKeepsTheIncarnationAcrossARestart(t *testing.T) {
	h := newFolderHarness(t)
	incarnation := h.opening.Incarnation
	h.disk.refuseAll(syscall.ENOSPC)
	h.write(false)
	await(t, h.failed, "the write is refused")
	h.folder.Close()
	h.disk.set(nil)
	h.start()
	h.assertKept(incarnation)
	h.sequence = 0
	h.sync(false)
	h.restart()
	h.assertKept(incarnation)
}

// Guards against a sound folder that is erased: a write whose sync fails has replaced
// entries by others of an earlier term, which are on the disk.
func TestReplacedEntriesAreNoDamage(t *testing.T) {
	for name, tc := range map[string]struct {
		persist replicas.Persist
		refused int // sync that fails, counted from 0
	}{
		"entry":    {persist: replicas.Persist{Entries: []replicas.Entry{entry(2, 3)}}},
		"snapshot": {persist: replicas.Persist{Snapshot: &replicas.Snapshot{Index: 2, Term: 3, At: testTime}}, refused: 3}, // that of the folder after the log was renamed
	} {
		t.Run(name, func(t *testing.T) {
			h := newFolderHarness(t)
			incarnation := h.opening.Incarnation
			h.folder.Write(h.opening.Session, &replicas.Persist{
				Sequence: 1, HardState: replicas.HardState{Group: "g", Term: 5}, Entries: []replicas.Entry{entry(1, 3), entry(2, 5), entry(3, 5)},
			})
			await(t, h.synced, "entries of a leader are synced")
			syncs := 0
			h.disk.set(func(op, _ string) error {
				if op == "sync" {
					if syncs++; syncs > tc.refused {
						return syscall.EIO
					}
				}
				return nil
			})
			tc.persist.Sequence, tc.persist.HardState = 2, replicas.HardState{Group: "g", Term: 6}
			h.folder.Write(h.opening.Session, &tc.persist)
			await(t, h.failed, "the sync fails")
			h.disk.set(nil)
			h.awaitOpened()
			if h.opening.Incarnation != incarnation || h.lastIndex() != 2 || h.opening.Recovered.HardState != tc.persist.HardState {
				t.Errorf("the daemon has the incarnation %s and the state %+v, want %s and the replaced entries",
					h.opening.Incarnation, h.opening.Recovered, incarnation)
			}
		})
	}
}

// Guards against a daemon that counts as fresh, and could found a second group, because
// its folder was erased or damaged while it ran.
func TestErasedFolderIsThatOfAFormerMember(t *testing.T) {
	for name, erase := range map[string]func(h *folderHarness) error{
		"everything": func(h *folderHarness) error { return os.RemoveAll(h.path) },
		"log":        func(h *folderHarness) error { return os.Remove(h.logFile()) },
		"identity":   func(h *folderHarness) error { return os.Remove(filepath.Join(h.path, identityName)) },
		"last entry": func(h *folderHarness) error {
			data, err := os.ReadFile(h.logFile())
			if err != nil {
				return err
			}
			end := 0
			for range 3 { // header and two entries
				_, size, err := readRecord(data[end:])
				if err != nil {
					return err
				}
				end += size
			}
			return os.Truncate(h.logFile(), int64(end-1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFolderHarness(t)
			h.sync(false)
			h.sync(false)
			incarnation := h.opening.Incarnation
			h.disk.refuseAll(syscall.EIO)
			h.write(false)
			<-h.failed
			if err := erase(h); err != nil {
				t.Fatal(err)
			}
			h.disk.set(nil)
			h.awaitOpened()
			if h.opening.Incarnation == incarnation || !h.opening.Recovered.FormerMember || h.lastIndex() != 0 {
				t.Errorf("the daemon has the incarnation %s and the state %+v, want a new one and none", h.opening.Incarnation, h.opening.Recovered)
			}
		})
	}
}

func (h *folderHarness) logFile() string {
	h.t.Helper()
	logs, err := logFileNames(h.path)
	if err != nil || len(logs) != 1 {
		h.t.Fatalf("log files %v, error %v, want one file", logs, err)
	}
	return filepath.Join(h.path, logs[0])
}

// Guards against a renewal that gives up half-way: each of its operations is refused in
// turn.
func TestRenewalIsCompletedAfterEachRefusedOperation(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EMFILE} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			for n, refused := 0, true; refused; n++ {
				h := newFolderHarness(t)
				h.sync(true)
				h.sync(false)
				incarnation := h.opening.Incarnation
				h.disk.refuseFrom(n, errno)
				h.folder.Renew(h.opening.Session)
				deadline := time.Now().Add(30 * time.Second)
				for h.health.Serves() && len(h.opened) == 0 && time.Now().Before(deadline) {
					time.Sleep(time.Millisecond)
				}
				refused = len(h.opened) == 0
				h.disk.set(nil)
				h.awaitOpened()
				if h.opening.Incarnation == incarnation || !h.opening.Recovered.FormerMember || h.lastIndex() != 0 {
					t.Errorf("operation %d refused: incarnation %s, state %+v, want a new one and none", n, h.opening.Incarnation, h.opening.Recovered)
				}
				h.index = 0
				h.sync(false)
				h.folder.Close()
			}
		})
	}
}

// Guards against a process that ends, or never serves, because its disk refuses writes
// when it starts.
func TestFolderIsOpenedLaterThanTheProcess(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EMFILE} {
		t.Run(errno.Error(), func(t *testing.T) {
			h := newFolderHarness(t)
			h.sync(false)
			incarnation := h.opening.Incarnation
			h.folder.Close()
			h.disk.refuseAll(errno)
			if h.startWithout() != nil {
				t.Fatal("a folder was opened on a disk that refuses everything")
			}
			time.Sleep(5 * firstReopenDelay)
			h.disk.set(nil)
			h.awaitOpened()
			h.assertKept(incarnation)
		})
	}
}

// Guards against a process that waits for ever for a folder that another one uses, or
// that its settings name wrongly.
func TestPermanentErrorEndsTheStart(t *testing.T) {
	h := newFolderHarness(t)
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{h.path, filepath.Join(file, "data")} {
		if _, _, err := StartFolder(FolderConfig{Path: path, Log: h.health.log, Health: NewHealth(h.health.log)}); err == nil {
			t.Errorf("%s: no error", path)
		}
	}
}

// Guards against a disk that accepts the first write and refuses the second, and makes
// the replica restart in quick succession; and against costly attempts while a disk
// stays full.
func TestAttemptsAreBounded(t *testing.T) {
	t.Run("flapping", func(t *testing.T) {
		h := newFolderHarness(t)
		started := time.Now()
		restarts := 0
		for time.Since(started) < 3*time.Second {
			h.disk.refuseAll(syscall.ENOSPC)
			h.write(false)
			<-h.failed
			h.disk.set(nil)
			h.awaitOpened()
			restarts++
		}
		if most := 5 + int(time.Since(started)/maxReopenDelay); restarts > most {
			t.Errorf("%d restarts in %v, want at most %d", restarts, time.Since(started), most)
		}
	})
	t.Run("full", func(t *testing.T) {
		h := newFolderHarness(t)
		h.disk.refuseAll(syscall.ENOSPC)
		h.write(false)
		<-h.failed
		before := h.disk.operations()
		time.Sleep(3 * time.Second)
		if n := h.disk.operations() - before; n > 10 {
			t.Errorf("%d operations on a full disk in 3 s, want one for each of some attempts", n)
		}
		h.disk.set(nil)
		h.awaitOpened()
	})
}

// Guards against writes of the replica before the failure that reach the folder after it.
func TestWritesOfAnEarlierOpeningAreDropped(t *testing.T) {
	h := newFolderHarness(t)
	h.sync(false)
	old := h.opening
	h.disk.refuseAll(syscall.ENOSPC)
	h.write(false)
	<-h.failed
	h.disk.set(nil)
	h.awaitOpened()
	h.assertKept(old.Incarnation)
	h.folder.Write(old.Session, &replicas.Persist{Sequence: 99, HardState: testHardState, Entries: []replicas.Entry{entry(99, 3)}})
	h.sync(false)
	h.restart()
	h.assertKept(old.Incarnation)
}

// Guards against files of damaged folders that keep a full disk full.
func TestDiscardedFilesMakeRoom(t *testing.T) {
	h := newFolderHarness(t)
	h.sync(false)
	h.folder.Renew(h.opening.Session)
	h.awaitOpened()
	h.index = 0
	if _, err := os.Stat(filepath.Join(h.path, damagedFolderName)); err != nil {
		t.Fatal(err)
	}
	h.disk.refuseAll(syscall.ENOSPC)
	h.write(false)
	<-h.failed
	time.Sleep(3 * firstReopenDelay)
	if _, err := os.Stat(filepath.Join(h.path, damagedFolderName)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the files of the damaged folder are still there: %v", err)
	}
	h.disk.set(nil)
	h.awaitOpened()
}

// Guards against a planned stop that waits for a disk that hangs.
func TestCloseDoesNotWaitForADiskThatHangs(t *testing.T) {
	h := newFolderHarness(t)
	h.disk.hang = make(chan struct{})
	defer close(h.disk.hang)
	h.write(false)
	time.Sleep(50 * time.Millisecond)
	closed := make(chan struct{})
	go func() {
		h.folder.Close()
		close(closed)
	}()
	await(t, closed, "the folder is closed")
}

// Guards against a folder that another build cannot read: the build before reads the
// newest log and the snapshot of its generation.
func TestRewrittenLogIsReadableByTheBuildBefore(t *testing.T) {
	h := newFolderHarness(t)
	h.sync(true)
	h.sync(false)
	h.restart()
	h.folder.Close()
	data, err := os.ReadFile(h.logFile())
	if err != nil {
		t.Fatal(err)
	}
	_, size, err := readRecord(data)
	if err != nil {
		t.Fatal(err)
	}
	for records := 0; size < len(data); records++ {
		payload, n, err := readRecord(data[size:])
		if err != nil {
			t.Fatalf("record %d: %v", records, err)
		}
		if _, err := decodeBatch(payload); err != nil {
			t.Fatalf("record %d: %v", records, err)
		}
		size += n
	}
}
