// Package disks keeps the replicated log of a daemon under its data folder: a
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
	Synced func(sequence uint64) // called after everything up to a sequence is synced
	Failed func(err error)       // called once; the store writes nothing afterwards
}

// Store writes what a replica must remember. One goroutine writes and syncs;
// what arrives during a sync shares the next one.
type Store struct {
	cfg       Config
	id        identity
	lock      *os.File
	log       *os.File
	header    header
	recovered replicas.Recovered
	torn      bool

	mu     sync.Mutex
	queue  []*replicas.Persist
	wake   chan struct{}
	closed chan struct{}
	done   sync.WaitGroup
}

// Open opens a data folder, creating it when missing. It returns a DamagedError
// when the folder must be given a new incarnation by Renew. Writing starts
// with Run.
func Open(cfg Config) (*Store, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, err
	}
	if err := syncFolder(filepath.Dir(filepath.Clean(cfg.Folder))); err != nil {
		return nil, err
	}
	held, err := lock(cfg.Folder)
	if err != nil {
		return nil, err
	}
	s := &Store{cfg: cfg, lock: held, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	if err := s.load(); err != nil {
		held.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) load() error {
	var err error
	if s.id, err = readIdentity(s.cfg.Folder); err != nil {
		return err
	}
	r, err := readLog(s.cfg.Folder, s.id)
	if err != nil {
		return err
	}
	if r == nil {
		s.recovered.FormerMember = s.id.Former
		return s.create(header{Incarnation: s.id.Incarnation, Generation: 1}, nil)
	}
	s.header, s.recovered, s.torn = r.header, r.state, r.torn
	s.recovered.FormerMember = s.id.Former
	path := filepath.Join(s.cfg.Folder, logName(r.header.Generation))
	if s.log, err = os.OpenFile(path, os.O_RDWR, 0o600); err != nil {
		return err
	}
	if err := s.log.Truncate(r.size); err != nil {
		return err
	}
	if _, err := s.log.Seek(r.size, 0); err != nil {
		return err
	}
	// A crash can have kept records in the page cache only, which are read
	// back and must be durable before the replica relies on them.
	if err := s.log.Sync(); err != nil {
		return err
	}
	return removeOthers(s.cfg.Folder, r.header.Generation)
}

// create makes a generation of the log the current one.
func (s *Store) create(h header, first []byte) error {
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
	if s.log != nil {
		s.log.Close()
	}
	s.log, s.header = f, h
	return removeOthers(s.cfg.Folder, h.Generation)
}

// Incarnation names the current contents of the folder.
func (s *Store) Incarnation() string { return s.id.Incarnation }

// Recovered returns what the folder held when it was opened.
func (s *Store) Recovered() replicas.Recovered { return s.recovered }

// Torn reports whether an incomplete record was removed from the end of the log.
func (s *Store) Torn() bool { return s.torn }

// Run starts writing.
func (s *Store) Run() {
	s.done.Add(1)
	go s.loop()
}

// Write queues a write; it does not block.
func (s *Store) Write(p *replicas.Persist) {
	s.mu.Lock()
	s.queue = append(s.queue, p)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close stops writing and releases the folder. Queued writes may be lost.
func (s *Store) Close() error {
	close(s.closed)
	s.done.Wait()
	return errors.Join(s.log.Close(), s.lock.Close())
}

func (s *Store) loop() {
	defer s.done.Done()
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		s.mu.Lock()
		writes := s.queue
		s.queue = nil
		s.mu.Unlock()
		if len(writes) == 0 {
			continue
		}
		if err := s.write(writes); err != nil {
			// After a failed sync the kernel may have dropped the pages, so
			// that a second try would succeed without storing them.
			s.cfg.Failed(fmt.Errorf("write to data folder %s: %w", s.cfg.Folder, err))
			return
		}
		s.cfg.Synced(writes[len(writes)-1].Sequence)
	}
}

// write stores writes in order with one sync, or with a new generation for the
// last snapshot among them.
func (s *Store) write(writes []*replicas.Persist) error {
	for i := len(writes) - 1; i >= 0; i-- {
		if p := writes[i]; p.Snapshot != nil {
			if err := s.rotate(p); err != nil {
				return err
			}
			writes = writes[i+1:]
			break
		}
	}
	if len(writes) == 0 {
		return nil
	}
	if _, err := s.log.Write(appendRecord(nil, merge(writes).encode())); err != nil {
		return err
	}
	return s.log.Sync()
}

// merge returns the content of several writes; later entries replace earlier
// ones with the same index.
func merge(writes []*replicas.Persist) batch {
	b := batch{hard: writes[len(writes)-1].Hard}
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

// rotate starts a generation with a snapshot and the entries after it.
func (s *Store) rotate(p *replicas.Persist) error {
	h := header{Incarnation: s.id.Incarnation, Generation: s.header.Generation + 1, Snapshot: true}
	path := filepath.Join(s.cfg.Folder, snapshotName(h.Generation))
	if err := writeFile(path, appendRecord(nil, encodeJSON(p.Snapshot))); err != nil {
		return err
	}
	return s.create(h, appendRecord(nil, batch{hard: p.Hard, entries: p.Entries}.encode()))
}
