// Package disks stores the replicated log of a daemon in its data folder, as a
// write-ahead log with checksums and a snapshot.
package disks

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"gypsumshelf.example/gypsumshelf/replicas"
)

// Config configures a Store.
type Config struct {
	Folder   string
	OpenFile OpenFile              // nil for os.OpenFile
	Known    Known                 // what this process knows of the folder
	Synced   func(sequence uint64) // called when all writes up to a sequence are synced
	Failed   func(err error)       // called at most once; the store writes nothing afterwards
}

// Known is what a process that has had a data folder open knows of it. A folder that
// lacks any of it is damaged.
type Known struct {
	incarnation string             // empty at the start of a process
	former      bool               // an earlier incarnation was discarded
	hardState   replicas.HardState // of the last sync
	lastIndex   uint64             // of the last entry or snapshot that was synced
	lastTerm    uint64
	attempted   *Known // what the write that is not synced leads to, nil without one
}

// nothingSynced reports whether the process knows that the folder never held a state.
func (k Known) nothingSynced() bool {
	return k.incarnation != "" && k.hardState == replicas.HardState{} && k.lastIndex == 0
}

// attempt notes a write before it is synced.
func (k *Known) attempt(h replicas.HardState, s *replicas.Snapshot, entries []replicas.Entry) {
	next := *k
	next.extend(h, s, entries)
	k.attempted = &next
}

// extend adds a state that is synced.
func (k *Known) extend(h replicas.HardState, s *replicas.Snapshot, entries []replicas.Entry) {
	k.hardState, k.attempted = h, nil
	if s != nil {
		k.lastIndex, k.lastTerm = s.Index, s.Term
	}
	if n := len(entries); n > 0 {
		k.lastIndex, k.lastTerm = entries[n-1].Index, entries[n-1].Term
	}
}

// isIn reports whether a recovered state contains everything that is known. It may
// contain more: a write that failed may have reached the disk as a whole. That write may
// have replaced entries by others of an earlier term.
func (k Known) isIn(r replicas.Recovered) bool {
	if k.attempted != nil && k.attempted.isIn(r) {
		return true
	}
	found := Known{}
	found.extend(r.HardState, r.Snapshot, r.Entries)
	h := found.hardState
	switch {
	case k.hardState.Group != "" && h.Group != k.hardState.Group, h.Term < k.hardState.Term:
		return false
	case h.Term == k.hardState.Term && k.hardState.Vote != (replicas.NodeID{}) && h.Vote != k.hardState.Vote:
		return false
	}
	return found.lastTerm > k.lastTerm || found.lastTerm == k.lastTerm && found.lastIndex >= k.lastIndex
}

// Store persists the state of a replica. One goroutine writes and syncs; writes
// that are queued during a sync share the next sync.
type Store struct {
	cfg       Config
	files     files
	id        identity
	lockFile  File
	logFile   File
	header    header
	recovered replicas.Recovered
	tornTail  bool
	synced    Known // changed by the writer

	mu           sync.Mutex
	queuedWrites []*replicas.Persist
	wakeWriter   chan struct{}
	closing      chan struct{}
	writer       sync.WaitGroup
}

// Open opens a data folder and creates it if it is missing. It returns a
// DamagedError if the folder needs a new incarnation from renew. Queued writes
// are processed once Run is called.
func Open(cfg Config) (*Store, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, err
	}
	s := &Store{cfg: cfg, files: newFiles(cfg), wakeWriter: make(chan struct{}, 1), closing: make(chan struct{})}
	if err := s.files.sync(filepath.Dir(filepath.Clean(cfg.Folder))); err != nil {
		return nil, err
	}
	var err error
	if s.lockFile, err = s.files.lock(); err != nil {
		return nil, err
	}
	if err := s.load(); err != nil {
		if s.logFile != nil {
			err = errors.Join(err, s.logFile.Close())
		}
		return nil, errors.Join(err, s.lockFile.Close())
	}
	return s, nil
}

func (s *Store) load() error {
	var err error
	known := s.cfg.Known
	if s.id, err = s.files.readIdentity(known); err != nil {
		return err
	}
	contents, err := s.files.readLog(s.id, known)
	if err != nil {
		return err
	}
	if contents == nil {
		contents = &logContents{}
	}
	s.recovered, s.tornTail = contents.state, contents.tornTail
	s.recovered.FormerMember = s.id.FormerMember
	if !known.isIn(s.recovered) {
		return &DamagedError{File: s.files.folder, Reason: fmt.Sprintf("state that was synced is missing: term %d, entry %d", known.hardState.Term, known.lastIndex)}
	}
	s.synced = Known{incarnation: s.id.Incarnation, former: s.id.FormerMember}
	s.synced.extend(s.recovered.HardState, s.recovered.Snapshot, s.recovered.Entries)
	s.header = contents.header
	if err := s.files.removeLeftovers(s.header.Generation); err != nil {
		return err
	}
	return s.writeRecovered()
}

// writeRecovered writes the recovered state to a new generation. After a crash of the
// process or a failed sync, data that was read may be in the page cache only, and a
// further sync of the same file may succeed without storing it.
func (s *Store) writeRecovered() error {
	r := s.recovered
	if s.synced.nothingSynced() {
		return s.startGeneration(s.nextHeader(nil), nil)
	}
	return s.writeGeneration(&replicas.Persist{HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries})
}

func (s *Store) nextHeader(snapshot *replicas.Snapshot) header {
	return header{Incarnation: s.id.Incarnation, Generation: s.header.Generation + 1, Snapshot: snapshot != nil}
}

// writeGeneration starts a new generation with a snapshot, if there is one, and the
// entries after it.
func (s *Store) writeGeneration(p *replicas.Persist) error {
	h := s.nextHeader(p.Snapshot)
	if p.Snapshot != nil {
		if err := s.files.write(snapshotName(h.Generation), appendRecord(nil, encodeJSON(p.Snapshot))); err != nil {
			return err
		}
	}
	return s.startGeneration(h, appendRecord(nil, logBatch{hardState: p.HardState, entries: p.Entries}.encode()))
}

// startGeneration writes the log file of a new generation and makes it the current
// one. The records in first follow its header.
func (s *Store) startGeneration(h header, first []byte) error {
	data := appendRecord(nil, encodeJSON(h))
	data = append(data, first...)
	if err := s.files.write(logName(h.Generation), data); err != nil {
		return err
	}
	file, err := s.files.open(s.files.path(logName(h.Generation)), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	if s.logFile != nil {
		s.logFile.Close()
	}
	s.logFile, s.header = file, h
	return s.files.removeOtherGenerations(h.Generation)
}

// Incarnation returns the incarnation of the folder, which changes when its
// contents are discarded.
func (s *Store) Incarnation() string { return s.id.Incarnation }

// Recovered returns the state that the folder held when it was opened.
func (s *Store) Recovered() replicas.Recovered { return s.recovered }

// Torn reports whether Open removed an incomplete record from the end of the log.
func (s *Store) Torn() bool { return s.tornTail }

// Known returns what this process knows of the folder. It may be called after Close.
func (s *Store) Known() Known { return s.synced }

// Run starts the goroutine that writes and syncs.
func (s *Store) Run() {
	s.writer.Add(1)
	go s.writeLoop()
}

// Write queues a write and does not block.
func (s *Store) Write(p *replicas.Persist) {
	s.mu.Lock()
	s.queuedWrites = append(s.queuedWrites, p)
	s.mu.Unlock()
	select {
	case s.wakeWriter <- struct{}{}:
	default:
	}
}

// Close stops writing and unlocks the folder. Queued writes may be lost.
func (s *Store) Close() error {
	close(s.closing)
	s.writer.Wait()
	return errors.Join(s.logFile.Close(), s.lockFile.Close())
}

func (s *Store) writeLoop() {
	defer s.writer.Done()
	for {
		select {
		case <-s.closing:
			return
		case <-s.wakeWriter:
		}
		s.mu.Lock()
		pending := s.queuedWrites
		s.queuedWrites = nil
		s.mu.Unlock()
		if len(pending) == 0 {
			continue
		}
		if err := s.writeAndSync(pending); err != nil {
			// No retry: after a failed sync the kernel may have dropped the
			// dirty pages, and a second sync would succeed without storing them.
			s.cfg.Failed(fmt.Errorf("write to data folder %s: %w", s.cfg.Folder, err))
			return
		}
		s.cfg.Synced(pending[len(pending)-1].Sequence)
	}
}

// writeAndSync stores writes in order and syncs them once. If they include
// snapshots, it starts a new generation with the last one, which supersedes all
// writes before it.
func (s *Store) writeAndSync(pending []*replicas.Persist) error {
	for i := len(pending) - 1; i >= 0; i-- {
		if p := pending[i]; p.Snapshot != nil {
			s.synced.attempt(p.HardState, p.Snapshot, p.Entries)
			if err := s.writeGeneration(p); err != nil {
				return err
			}
			s.synced.extend(p.HardState, p.Snapshot, p.Entries)
			pending = pending[i+1:]
			break
		}
	}
	if len(pending) == 0 {
		return nil
	}
	batch := mergeWrites(pending)
	s.synced.attempt(batch.hardState, nil, batch.entries)
	if err := s.writeBatch(batch); err != nil {
		return err
	}
	s.synced.extend(batch.hardState, nil, batch.entries)
	return nil
}

// writeBatch appends a batch to the log. The first one of a folder starts a new
// generation, since a first record that is torn counts as damage.
func (s *Store) writeBatch(b logBatch) error {
	if s.synced.nothingSynced() {
		return s.startGeneration(s.nextHeader(nil), appendRecord(nil, b.encode()))
	}
	if _, err := s.logFile.Write(appendRecord(nil, b.encode())); err != nil {
		return err
	}
	return s.logFile.Sync()
}

// mergeWrites combines several writes into one batch. The entries of a write
// replace all earlier ones from the index of its first entry on.
func mergeWrites(writes []*replicas.Persist) logBatch {
	b := logBatch{hardState: writes[len(writes)-1].HardState}
	for _, p := range writes {
		if len(p.Entries) == 0 {
			continue
		}
		for len(b.entries) > 0 && b.entries[len(b.entries)-1].Index >= p.Entries[0].Index {
			b.entries = b.entries[:len(b.entries)-1]
		}
		b.entries = append(b.entries, p.Entries...)
	}
	return b
}
