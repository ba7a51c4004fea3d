package disks

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/replicas"
)

// harness opens and reopens a data folder, as a restarting daemon does.
type harness struct {
	t               testing.TB
	folder          string
	store           *Store
	syncedSequences chan uint64
	lastSequence    uint64
}

func newHarness(t testing.TB) *harness {
	h := &harness{t: t, folder: filepath.Join(t.TempDir(), "data")}
	h.open()
	return h
}

func (h *harness) open() {
	h.t.Helper()
	if err := h.tryOpen(); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) tryOpen() error {
	h.syncedSequences = make(chan uint64, 10_000)
	store, err := Open(Config{
		Folder: h.folder,
		Synced: func(n uint64) { h.syncedSequences <- n },
		Failed: func(err error) { h.t.Error(err) },
	})
	if err != nil {
		return err
	}
	h.store, h.lastSequence = store, 0
	store.Run()
	return nil
}

func (h *harness) close() {
	h.t.Helper()
	if err := h.store.Close(); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) reopen() {
	h.t.Helper()
	h.close()
	h.open()
}

// write queues a Persist and waits until it is synced.
func (h *harness) write(p replicas.Persist) {
	h.lastSequence++
	p.Sequence = h.lastSequence
	h.store.Write(&p)
	for last := uint64(0); last < h.lastSequence; {
		last = <-h.syncedSequences
	}
}

func (h *harness) logFile() string {
	h.t.Helper()
	logs, err := logFileNames(h.folder)
	if err != nil || len(logs) != 1 {
		h.t.Fatalf("log files %v, error %v, want one file", logs, err)
	}
	return filepath.Join(h.folder, logs[0])
}

func (h *harness) assertRecovered(want replicas.Recovered) {
	h.t.Helper()
	if got := h.store.Recovered(); !reflect.DeepEqual(got, want) {
		h.t.Fatalf("recovered\n%+v, want\n%+v", got, want)
	}
}

var (
	testHardState = replicas.HardState{Group: "g", Term: 3, Vote: replicas.NodeID{Daemon: "a", Incarnation: "1"}}
	testTime      = time.Unix(1_000_000, 5).UTC()
)

func entry(index, term uint64) replicas.Entry {
	return replicas.Entry{Index: index, Term: term, At: testTime, Data: []byte{byte(index), 'x'}}
}

// Guards against synced state that is read back incomplete or changed.
func TestSyncedStateIsRecovered(t *testing.T) {
	h := newHarness(t)
	incarnation := h.store.Incarnation()
	h.assertRecovered(replicas.Recovered{})
	h.write(replicas.Persist{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1), entry(2, 1), entry(3, 2)}})
	h.reopen()
	h.assertRecovered(replicas.Recovered{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1), entry(2, 1), entry(3, 2)}})
	h.write(replicas.Persist{HardState: testHardState, Entries: []replicas.Entry{entry(2, 3)}}) // replaces entries 2 and 3
	h.reopen()
	want := replicas.Recovered{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1), entry(2, 3)}}
	h.assertRecovered(want)
	snapshot := &replicas.Snapshot{Index: 1, Term: 1, At: testTime, Data: []byte("state"), Members: replicas.Members{{Role: replicas.Voter}}}
	h.write(replicas.Persist{HardState: testHardState, Snapshot: snapshot, Entries: want.Entries[1:]})
	h.reopen()
	h.assertRecovered(replicas.Recovered{HardState: testHardState, Snapshot: snapshot, Entries: want.Entries[1:]})
	if h.store.Incarnation() != incarnation {
		t.Error("incarnation changed although no data was lost")
	}
	h.close()
}

// Guards against a daemon that cannot start after a crash during a write.
func TestTornTailIsTruncated(t *testing.T) {
	h := newHarness(t)
	h.write(replicas.Persist{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1)}})
	before := fileSize(t, h.logFile())
	h.write(replicas.Persist{HardState: testHardState, Entries: []replicas.Entry{entry(2, 1)}})
	path := h.logFile()
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	h.close()
	for size := before + 1; size < int64(len(complete)); size++ {
		if err := os.WriteFile(path, complete[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		h.open()
		h.assertRecovered(replicas.Recovered{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1)}})
		if !h.store.Torn() || fileSize(t, h.logFile()) != before {
			t.Fatalf("log cut to %d bytes: torn %t, size %d after opening, want torn and size %d", size, h.store.Torn(), fileSize(t, h.logFile()), before)
		}
		h.write(replicas.Persist{HardState: testHardState, Entries: []replicas.Entry{entry(2, 1)}})
		h.reopen()
		h.assertRecovered(replicas.Recovered{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1), entry(2, 1)}})
		h.close()
		if err := os.Remove(h.logFile()); err != nil {
			t.Fatal(err)
		}
	}
}

func fileSize(t *testing.T, path string) int64 {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	return info.Size()
}

// Guards against a daemon that votes under its old identity after synced entries
// were lost, and against damage that needs manual repair.
func TestDamageBeforeTheTailRequiresNewIncarnation(t *testing.T) {
	h := newHarness(t)
	h.write(replicas.Persist{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1)}})
	tailStart := fileSize(t, h.logFile())
	h.write(replicas.Persist{HardState: testHardState, Entries: []replicas.Entry{entry(2, 1)}})
	path, incarnation := h.logFile(), h.store.Incarnation()
	h.close()
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range tailStart {
		flipped := append([]byte(nil), original...)
		flipped[i] ^= 0x10
		if err := os.WriteFile(path, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		var damaged *DamagedError
		if err := h.tryOpen(); !errors.As(err, &damaged) {
			t.Fatalf("byte %d changed: error %v, want a DamagedError", i, err)
		}
	}
	if err := renew(Config{Folder: h.folder}); err != nil {
		t.Fatal(err)
	}
	h.open()
	h.assertRecovered(replicas.Recovered{FormerMember: true})
	if h.store.Incarnation() == incarnation {
		t.Error("incarnation did not change after damage")
	}
	h.close()
}

// Guards against a lost term and vote when the first record after a compaction is
// damaged: it is never a torn write, even if no record follows it.
func TestDamagedFirstRecordIsNotATornTail(t *testing.T) {
	h := newHarness(t)
	h.write(replicas.Persist{HardState: testHardState, Snapshot: &replicas.Snapshot{Index: 1, Term: 1}, Entries: []replicas.Entry{entry(2, 1)}})
	path := h.logFile()
	h.close()
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for size := range original {
		if err := os.WriteFile(path, original[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		var damaged *DamagedError
		if err := h.tryOpen(); !errors.As(err, &damaged) {
			t.Fatalf("log cut to %d bytes: error %v, want a DamagedError", size, err)
		}
	}
}

// Guards against missing snapshot and identity files that go unnoticed.
func TestMissingFilesAreReportedAsDamage(t *testing.T) {
	for _, name := range []string{identityName, snapshotName(2)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.write(replicas.Persist{HardState: testHardState, Snapshot: &replicas.Snapshot{Index: 1, Term: 1}})
			h.close()
			if err := os.Remove(filepath.Join(h.folder, name)); err != nil {
				t.Fatal(err)
			}
			var damaged *DamagedError
			if err := h.tryOpen(); !errors.As(err, &damaged) {
				t.Errorf("error %v, want a DamagedError", err)
			}
		})
	}
}

// Guards against a crash between the steps of a compaction or a Renew.
func TestCrashDuringFileChanges(t *testing.T) {
	t.Run("compaction", func(t *testing.T) {
		h := newHarness(t)
		h.write(replicas.Persist{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1)}})
		h.close()
		for _, name := range []string{snapshotName(2), snapshotName(2) + temporarySuffix, logName(2) + temporarySuffix} {
			if err := os.WriteFile(filepath.Join(h.folder, name), []byte("partial"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		h.open()
		h.assertRecovered(replicas.Recovered{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1)}})
		h.close()
		if files, err := os.ReadDir(h.folder); err != nil || len(files) != 3 {
			t.Errorf("files %v, error %v, want identity, lock and log", files, err)
		}
	})
	t.Run("renew", func(t *testing.T) {
		h := newHarness(t)
		h.write(replicas.Persist{HardState: testHardState, Entries: []replicas.Entry{entry(1, 1)}})
		h.close()
		id := appendRecord(nil, encodeJSON(newIdentity(true)))
		if err := newFiles(Config{Folder: h.folder}).write(identityName, id); err != nil {
			t.Fatal(err)
		}
		var damaged *DamagedError
		if err := h.tryOpen(); !errors.As(err, &damaged) {
			t.Errorf("log of the old incarnation: error %v, want a DamagedError", err)
		}
	})
}

// Guards against a separate sync for each write, and against writes that are
// reported as synced too early.
func TestWritesShareSyncs(t *testing.T) {
	h := newHarness(t)
	const writes = 200
	for i := uint64(1); i <= writes; i++ {
		h.store.Write(&replicas.Persist{Sequence: i, HardState: testHardState, Entries: []replicas.Entry{entry(i, 1)}})
	}
	syncs := 0
	for last := uint64(0); last < writes; syncs++ {
		last = <-h.syncedSequences
	}
	if syncs > writes/2 {
		t.Errorf("%d syncs for %d writes", syncs, writes)
	}
	h.reopen()
	if got := len(h.store.Recovered().Entries); got != writes {
		t.Errorf("%d entries recovered, want %d", got, writes)
	}
	h.close()
}

// Guards against two processes that write to the same log.
func TestFolderIsLockedByOneProcess(t *testing.T) {
	h := newHarness(t)
	if _, err := Open(Config{Folder: h.folder}); err == nil {
		t.Error("the folder could be opened twice")
	}
	h.close()
}
