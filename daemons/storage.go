package daemons

import (
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/settings"
)

const (
	// electionTimeout is ten ticks, so that a late tick does not start an election.
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// voterReplacementDelay is longer than the restart of a host, so that a planned
	// restart does not replace a voter.
	voterReplacementDelay = 3 * time.Minute
	targetVoters          = 3
	// retainedEntries is the number of entries kept behind a snapshot. A member
	// that missed a few seconds catches up from them without a snapshot.
	retainedEntries = 1024
)

// storage owns the data folder of a daemon. Without a data folder, store is
// nil.
type storage struct {
	settings settings.Settings
	log      *logrus.Entry
	health   *disks.Health
	submit   func(gypsumshelf.Event)
	store    *disks.Store
}

// open opens the data folder. If it is damaged, its log is discarded and it gets
// a new incarnation: the daemon then joins as a learner and is repaired from its
// peers.
func (s *storage) open() (id replicas.NodeID, recovered replicas.Recovered, err error) {
	id = replicas.NodeID{Daemon: s.settings.Daemon, Incarnation: uuid.NewString()}
	if s.settings.DataFolder == "" {
		return id, replicas.Recovered{}, nil
	}
	store, damage, err := disks.OpenOrRenew(disks.Config{Folder: s.settings.DataFolder, Synced: s.synced, Failed: s.failed})
	s.store = store
	if damage != nil {
		s.log.WithError(damage).Error("the data folder is damaged; the daemon does not vote and is repaired from its peers")
	}
	if err != nil {
		return id, recovered, merry.Prepend(err, "data folder")
	}
	if s.store.Torn() {
		s.log.Warn("an incomplete write was removed from the end of the log")
	}
	s.health.RecordService()
	id.Incarnation = s.store.Incarnation()
	return id, s.store.Recovered(), nil
}

func (s *storage) synced(sequence uint64) { s.submit(LogSynced{Sequence: sequence}) }

func (s *storage) failed(err error) {
	s.health.RecordFailure(err)
	s.submit(LogFailed{})
}

func (s *storage) run() {
	if s.store != nil {
		s.store.Run()
	}
}

func (s *storage) close() error {
	if s.store == nil {
		return nil
	}
	return s.store.Close()
}

// renewal replaces the data folder while the event loop keeps running.
type renewal struct {
	storage *storage
	done    chan struct{}
}

// run discards the log, gives the folder a new incarnation and submits LogRenewed.
func (n *renewal) run() {
	defer close(n.done)
	s := n.storage
	s.log.Error("the data folder is older than what peers saw of this daemon; it joins with a new incarnation")
	err := s.store.Close()
	if err == nil {
		err = disks.Renew(s.settings.DataFolder)
	}
	if err != nil {
		s.store = nil
		s.failed(err)
		return
	}
	id, recovered, err := s.open()
	if err != nil {
		s.store = nil
		s.failed(err)
		return
	}
	s.run()
	s.submit(LogRenewed{ID: id, Recovered: recovered, Session: rand.Uint64()})
}

// replicaConfig returns the configuration of the replicated log. Without voters
// it is empty, and the daemon's configuration never changes; validated settings
// always have voters.
func replicaConfig(s settings.Settings, id replicas.NodeID, recovered replicas.Recovered) replicas.Config {
	if len(s.Voters) == 0 {
		return replicas.Config{}
	}
	var daemons, initialVoters []gypsumshelf.DaemonID
	for _, p := range s.Peers {
		daemons = append(daemons, p.Daemon)
	}
	for _, v := range s.Voters {
		initialVoters = append(initialVoters, gypsumshelf.DaemonID(v))
	}
	return replicas.Config{
		ID: id, DataCentre: s.DataCentre, Durable: s.DataFolder != "",
		Peers: otherDaemons(s.Daemon, daemons), InitialVoters: initialVoters, Recovered: recovered,
		Session: rand.Uint64(), Seed: rand.Uint64(),
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		ReplaceAfter: voterReplacementDelay, TargetVoters: targetVoters, RetainEntries: retainedEntries,
	}
}

// registerLogDrivers connects the effects of the log to the data folder and the peers.
func (d *Daemon) registerLogDrivers() {
	RegisterDriver(d.loop, func(e LogSend) { d.links.Send(e.Message.To.Daemon, e.Message) })
	RegisterDriver(d.loop, func(e LogWrite) { d.storage.store.Write(e.Persist) })
	RegisterDriver(d.loop, func(LogRenew) {
		n := &renewal{storage: d.storage, done: make(chan struct{})}
		d.renewals = append(d.renewals, n)
		go n.run()
	})
}

func (d *Daemon) closeStorage() {
	for _, n := range d.renewals {
		<-n.done
	}
	_ = d.storage.close()
}

// handleLogMessage submits a log message, unless its sender is not the daemon
// that the message names.
func (d *Daemon) handleLogMessage(e peers.Envelope, m replicas.Message) {
	if m.From.Daemon != e.From {
		return
	}
	if err := m.Validate(); err != nil {
		d.log.WithField("from", e.From).WithError(err).Error("a message was dropped")
		return
	}
	d.loop.Submit(LogReceived{Message: m})
}
