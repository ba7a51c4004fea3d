package controls

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/replicas"
)

const (
	// electionTimeout is ten raft ticks, so that a late tick does not start an
	// election while the leader is alive.
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// replaceAfter is the silence after which a voter is replaced by another
	// member. Members beyond the wanted number of voters exist only after a host
	// was replaced, and the old host must no longer count as a lost voter 4 s
	// after its successor has started.
	replaceAfter = 1500 * time.Millisecond
	// forgetAfter is the silence after which a host without a vote is no member any
	// more. Hosts that restart or return from a partition are back sooner.
	forgetAfter = 10 * time.Minute
	// reopenDelay bounds how often a replica starts again when the same error comes
	// back. The others elect a leader meanwhile.
	reopenDelay = time.Second
)

// storage writes the data folder of a control daemon.
type storage struct {
	folder string
	log    *logrus.Entry
	health *disks.Health
	submit func(any)

	mu     sync.Mutex
	store  *disks.Store
	closed bool
	wg     sync.WaitGroup
}

// open opens the data folder and returns cfg with the recovered values filled
// in. A damaged folder gets a new incarnation: the daemon then joins as a new
// member and receives the state from the others.
func (s *storage) open(cfg replicas.Config) (replicas.Config, error) {
	store, damage, err := disks.OpenOrRenew(disks.Config{Folder: s.folder, Synced: s.synced, Failed: s.failed})
	if damage != nil {
		s.log.WithError(damage).Error("the data folder is damaged; the daemon joins with a new incarnation and is repaired from the others")
	}
	if err != nil {
		return cfg, merry.Prepend(err, "data folder")
	}
	if store.Torn() {
		s.log.Warn("an incomplete write was removed from the end of the log")
	}
	s.store = store
	s.health.RecordService()
	cfg.ID.Incarnation = store.Incarnation()
	cfg.Recovered = store.Recovered()
	cfg.Session, cfg.Seed = rand.Uint64(), rand.Uint64()
	return cfg, nil
}

func (s *storage) synced(sequence uint64) { s.submit(LogSynced{Sequence: sequence}) }

func (s *storage) failed(err error) {
	s.health.RecordFailure(err)
	s.submit(StorageFailed{})
}

func (s *storage) run() { s.store.Run() }

func (s *storage) write(p *replicas.Persist) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store != nil {
		s.store.Write(p)
	}
}

// renew replaces the data folder by an empty one in the background, without
// blocking the event loop. StorageRenewed or StorageFailed reports the result.
func (s *storage) renew(cfg replicas.Config) {
	s.log.Error("the data folder is older than what peers saw of this daemon; it joins with a new incarnation")
	s.replace(&replacement{storage: s, cfg: cfg, erase: true})
}

// reopen opens the data folder again after reopenDelay, in the background. The
// replica then starts as after a restart of the process.
func (s *storage) reopen(cfg replicas.Config) {
	s.log.Warn("the replicated log starts again from the data folder")
	s.replace(&replacement{storage: s, cfg: cfg, delay: reopenDelay})
}

func (s *storage) replace(p *replacement) {
	s.wg.Add(1)
	go p.run()
}

// replacement closes the store and opens another one.
type replacement struct {
	storage *storage
	cfg     replicas.Config
	erase   bool // begin with an empty folder
	delay   time.Duration
}

func (p *replacement) run() {
	s := p.storage
	defer s.wg.Done()
	time.Sleep(p.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.store == nil {
		return
	}
	err := s.store.Close()
	s.store = nil
	if err == nil && p.erase {
		err = disks.Renew(s.folder)
	}
	var cfg replicas.Config
	if err == nil {
		cfg, err = s.open(p.cfg)
	}
	if err != nil {
		s.failed(err)
		return
	}
	s.run()
	s.submit(StorageRenewed{Config: cfg})
}

func (s *storage) close() {
	s.mu.Lock()
	s.closed = true
	if s.store != nil {
		if err := s.store.Close(); err != nil {
			s.log.WithError(err).Warn("the data folder could not be closed cleanly")
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}
