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
	Folder string
	Synced func(sequence uint64) // called when all writes up to a sequence are synced
	Failed func(err error)       // called at most once; the store writes nothing afterwards
}

// Store persists the state of a replica. One goroutine writes and syncs; writes
// that are queued during a sync share the next sync.
type Store struct {
	cfg       Config
	id        identity
	lockFile  *os.File
	logFile   *os.File
	header    header
	recovered replicas.Recovered
	tornTail  bool

	mu           sync.Mutex
	queuedWrites []*replicas.Persist
	wakeWriter   chan struct{}
	closing      chan struct{}
	writer       sync.WaitGroup
}

// Open opens a data folder and creates it if it is missing. It returns a
// DamagedError if the folder needs a new incarnation from Renew. Queued writes
// are processed once Run is called.
func Open(cfg Config) (*Store, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, err
	}
	if err := syncFolder(filepath.Dir(filepath.Clean(cfg.Folder))); err != nil {
		return nil, err
	}
	lockFile, err := lockFolder(cfg.Folder)
	if err != nil {
		return nil, err
	}
	s := &Store{cfg: cfg, lockFile: lockFile, wakeWriter: make(chan struct{}, 1), closing: make(chan struct{})}
	if err := s.load(); err != nil {
		lockFile.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) load() error {
	var err error
	if s.id, err = readIdentity(s.cfg.Folder); err != nil {
		return err
	}
	contents, err := readLog(s.cfg.Folder, s.id)
	if err != nil {
		return err
	}
	if contents == nil {
		s.recovered.FormerMember = s.id.FormerMember
		return s.startGeneration(header{Incarnation: s.id.Incarnation, Generation: 1}, nil)
	}
	s.header, s.recovered, s.tornTail = contents.header, contents.state, contents.tornTail
	s.recovered.FormerMember = s.id.FormerMember
	path := filepath.Join(s.cfg.Folder, logName(contents.header.Generation))
	if s.logFile, err = os.OpenFile(path, os.O_RDWR, 0o600); err != nil {
		return err
	}
	if err := s.logFile.Truncate(contents.validSize); err != nil {
		return err
	}
	if _, err := s.logFile.Seek(contents.validSize, 0); err != nil {
		return err
	}
	// After a crash of the process, records that were read may be in the page
	// cache only. They must be durable before the replica relies on them.
	if err := s.logFile.Sync(); err != nil {
		return err
	}
	return removeOtherGenerations(s.cfg.Folder, contents.header.Generation)
}

// startGeneration writes the log file of a new generation and makes it the current
// one. The records in first follow its header.
func (s *Store) startGeneration(h header, first []byte) error {
	path := filepath.Join(s.cfg.Folder, logName(h.Generation))
	data := appendRecord(nil, encodeJSON(h))
	data = append(data, first...)
	if err := writeFile(path, data); err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	if s.logFile != nil {
		s.logFile.Close()
	}
	s.logFile, s.header = f, h
	return removeOtherGenerations(s.cfg.Folder, h.Generation)
}

// Incarnation returns the incarnation of the folder, which changes when its
// contents are discarded.
func (s *Store) Incarnation() string { return s.id.Incarnation }

// Recovered returns the state that the folder held when it was opened.
func (s *Store) Recovered() replicas.Recovered { return s.recovered }

// Torn reports whether Open removed an incomplete record from the end of the log.
func (s *Store) Torn() bool { return s.tornTail }

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
			if err := s.writeSnapshot(p); err != nil {
				return err
			}
			pending = pending[i+1:]
			break
		}
	}
	if len(pending) == 0 {
		return nil
	}
	if _, err := s.logFile.Write(appendRecord(nil, mergeWrites(pending).encode())); err != nil {
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

// writeSnapshot starts a new generation with a snapshot and the entries after it.
func (s *Store) writeSnapshot(p *replicas.Persist) error {
	h := header{Incarnation: s.id.Incarnation, Generation: s.header.Generation + 1, Snapshot: true}
	path := filepath.Join(s.cfg.Folder, snapshotName(h.Generation))
	if err := writeFile(path, appendRecord(nil, encodeJSON(p.Snapshot))); err != nil {
		return err
	}
	return s.startGeneration(h, appendRecord(nil, logBatch{hardState: p.HardState, entries: p.Entries}.encode()))
}
