package disks

import (
	"context"
	"errors"
	"io/fs"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// firstReopenDelay is the time from a failure to the first attempt to open the
	// folder again. It doubles with each attempt, up to maxReopenDelay.
	firstReopenDelay = 100 * time.Millisecond
	// maxReopenDelay is short against the time in which a host has to be back after
	// its disk has recovered.
	maxReopenDelay = time.Second
	// settledAfter is the time of service after which the delay begins anew, so that
	// a disk which accepts only the first write does not cause a restart of the
	// replica in quick succession.
	settledAfter = 10 * time.Second
	// closeTimeout bounds the wait for an operation of the disk when the process ends.
	closeTimeout = 2 * time.Second
	// probeSize is the size of the file that tells at low cost whether a disk that
	// refused a write accepts writes again.
	probeSize = 16 << 10
	probeName = "probe"
)

// FolderConfig configures a Folder. Its functions are called from goroutines of the
// Folder, and Opened after all calls for the opening before it.
type FolderConfig struct {
	Path     string
	OpenFile OpenFile // nil for os.OpenFile
	Log      *logrus.Entry
	Health   *Health
	Synced   func(sequence uint64) // all writes up to a sequence are synced
	Failed   func()                // the folder accepts no writes; those that are queued are lost
	Opened   func(Opening)         // the folder was opened again
}

// Opening is what was found when a folder was opened.
type Opening struct {
	Session     uint64 // random, identifies the opening
	Incarnation string // changes when the contents of the folder are discarded
	Recovered   replicas.Recovered
}

// Folder owns the data folder of a daemon while the process runs. After an error it
// opens the folder again, as a restart of the process would, and repeats that until the
// disk allows it: an operation on the same file must not be repeated, since after a
// failed sync the kernel may have dropped the dirty pages.
type Folder struct {
	cfg     FolderConfig
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	running bool
	ended   chan ending // at most one for each opening

	mu       sync.Mutex
	writable *Store // nil while the folder does not serve
	session  uint64 // of the last opening

	// The following belong to loop once it runs.
	store    *Store // nil when there is none to close
	known    Known
	erase    bool // the contents are to be discarded
	delay    time.Duration
	openedAt time.Time
	lastErr  error
}

// ending says why a folder is no longer served from its store.
type ending struct {
	err   error // nil when the daemon has asked for it
	erase bool
	delay time.Duration // to the first attempt to open the folder again
}

// StartFolder opens a data folder. Where the disk does not allow that, opening is nil,
// and the folder is opened after Run. It returns an error only if waiting cannot help.
func StartFolder(cfg FolderConfig) (f *Folder, opening *Opening, err error) {
	f = &Folder{cfg: cfg, done: make(chan struct{}), ended: make(chan ending, 1)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if opening, err = f.open(); isPermanent(err) {
		f.cancel()
		return nil, nil, err
	}
	return f, opening, nil
}

// isPermanent reports whether an error is due to the settings or another process.
func isPermanent(err error) bool {
	return errors.Is(err, errLocked) || errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.ENOTDIR)
}

// Run starts to write and, if the folder could not be opened yet, to open it.
func (f *Folder) Run() {
	f.running = true
	if f.store != nil {
		f.store.Run()
	}
	go f.loop()
}

// Write queues a write of a replica that was recovered from the opening with the given
// session. Writes of other sessions are dropped. It does not block.
func (f *Folder) Write(session uint64, p *replicas.Persist) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writable != nil && f.session == session {
		f.writable.Write(p)
	}
}

// Renew discards the contents of the folder and opens it with a new incarnation. It
// does not block.
func (f *Folder) Renew(session uint64) { f.end(session, ending{erase: true}) }

// Reopen opens the folder again after a delay. It does not block.
func (f *Folder) Reopen(session uint64, delay time.Duration) { f.end(session, ending{delay: delay}) }

// end stops the service of an opening. Only the first call for an opening counts.
func (f *Folder) end(session uint64, e ending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writable != nil && f.session == session {
		f.writable = nil
		f.ended <- e
	}
}

// Close stops writing and unlocks the folder. Queued writes may be lost. It does not
// wait longer than closeTimeout for a disk that hangs.
func (f *Folder) Close() {
	f.cancel()
	if !f.running {
		f.closeStore()
		return
	}
	select {
	case <-f.done:
	case <-time.After(closeTimeout):
		f.cfg.Log.Warn("the disk hangs; the data folder was not closed")
	}
}

func (f *Folder) loop() {
	defer close(f.done)
	defer f.closeStore()
	for {
		if f.store == nil && !f.reopen() {
			return
		}
		select {
		case <-f.ctx.Done():
			return
		case e := <-f.ended:
			f.giveUp(e)
		}
	}
}

// giveUp closes the store and plans the next attempt.
func (f *Folder) giveUp(e ending) {
	if e.err != nil {
		f.recordFailure(e.err)
		f.cfg.Failed()
	}
	f.closeStore()
	f.erase = e.erase
	if time.Since(f.openedAt) >= settledAfter {
		f.delay = 0
	}
	f.delay = max(f.delay, e.delay)
}

func (f *Folder) closeStore() {
	if f.store == nil {
		return
	}
	if err := f.store.Close(); err != nil {
		f.cfg.Log.WithError(err).Warn("the data folder could not be closed cleanly")
	}
	f.known = f.store.Known()
	f.store = nil
}

// reopen tries to open the folder until it succeeds. It returns false when the folder
// is closed meanwhile.
func (f *Folder) reopen() bool {
	for timers.Sleep(f.ctx, f.delay) {
		f.delay = min(max(2*f.delay, firstReopenDelay), maxReopenDelay)
		if opening, err := f.open(); err == nil {
			f.store.Run()
			f.cfg.Opened(*opening)
			return true
		}
	}
	return false
}

// open makes one attempt to open the folder. A damaged folder gets a new incarnation.
func (f *Folder) open() (*Opening, error) {
	if err := f.prepare(); err != nil {
		return nil, f.recordFailure(err)
	}
	store, err := f.openStore()
	var damage *DamagedError
	if errors.As(err, &damage) {
		f.cfg.Log.WithError(damage).Error("the data folder is damaged; the daemon joins with a new incarnation and is repaired from the others")
		f.erase = true
		store, err = f.openStore()
	}
	if err != nil {
		return nil, f.recordFailure(err)
	}
	if store.Torn() {
		f.cfg.Log.Warn("an incomplete write was removed from the end of the log")
	}
	f.store, f.openedAt, f.lastErr = store, time.Now(), nil
	f.cfg.Health.RecordService()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writable, f.session = store, rand.Uint64()
	return &Opening{Session: f.session, Incarnation: store.Incarnation(), Recovered: store.Recovered()}, nil
}

// openStore opens the store, after the contents were discarded where that is due.
func (f *Folder) openStore() (*Store, error) {
	cfg := Config{Folder: f.cfg.Path, OpenFile: f.cfg.OpenFile}
	if f.erase {
		if err := renew(cfg); err != nil {
			return nil, err
		}
		f.erase, f.known = false, Known{former: true}
	}
	cfg.Known, cfg.Synced, cfg.Failed = f.known, f.cfg.Synced, f.storeFailed
	return Open(cfg)
}

// prepare checks, after a failure, that the disk accepts writes at all, before the log
// is read and written. It frees space on a disk that is full.
func (f *Folder) prepare() error {
	if f.lastErr == nil {
		return nil
	}
	files := newFiles(Config{Folder: f.cfg.Path, OpenFile: f.cfg.OpenFile})
	if CauseOf(f.lastErr) == CauseFull {
		if err := files.discardDamaged(); err != nil {
			return err
		}
	}
	return files.probe()
}

// storeFailed is called by the writer of the current store.
func (f *Folder) storeFailed(err error) {
	f.mu.Lock()
	session := f.session
	f.mu.Unlock()
	f.end(session, ending{err: err, delay: firstReopenDelay})
}

func (f *Folder) recordFailure(err error) error {
	f.lastErr = err
	f.cfg.Health.RecordFailure(err)
	return err
}
