package daemons

import (
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

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

// storage is the data folder of a daemon, nil in a daemon without one.
type storage struct {
	folder *disks.Folder
	health *disks.Health
}

// openStorage opens the data folder and returns what was recovered from it. In a daemon
// whose disk does not allow that yet, opening is nil and the log starts halted. If the
// folder is damaged, its log is discarded and it gets a new incarnation: the daemon then
// joins as a learner and is repaired from its peers.
func (d *Daemon) openStorage(open disks.OpenFile) (opening *disks.Opening, err error) {
	if d.settings.DataFolder == "" {
		return &disks.Opening{Session: rand.Uint64(), Incarnation: uuid.NewString()}, nil
	}
	health := disks.NewHealth(d.log)
	folder, opening, err := disks.StartFolder(disks.FolderConfig{
		Path: d.settings.DataFolder, OpenFile: open, Log: d.log, Health: health,
		Synced: func(sequence uint64) { d.loop.Submit(LogSynced{Sequence: sequence}) },
		Failed: func() { d.loop.Submit(LogFailed{}) },
		Opened: func(o disks.Opening) { d.loop.Submit(LogOpened{Opening: o}) },
	})
	if err != nil {
		return nil, merry.Prepend(err, "data folder")
	}
	d.storage = &storage{folder: folder, health: health}
	d.metrics.RecordDataFolder(health)
	return opening, nil
}

// replicaConfig returns the configuration of the replicated log. Without voters
// it is empty, and the daemon's configuration never changes; validated settings
// always have voters.
func replicaConfig(s settings.Settings, o *disks.Opening) replicas.Config {
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
	cfg := replicas.Config{
		ID: replicas.NodeID{Daemon: s.Daemon}, DataCentre: s.DataCentre, Durable: s.DataFolder != "",
		Peers: otherDaemons(s.Daemon, daemons), InitialVoters: initialVoters, Seed: rand.Uint64(),
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		ReplaceAfter: voterReplacementDelay, TargetVoters: targetVoters, RetainEntries: retainedEntries,
	}
	if o == nil {
		return cfg
	}
	return recoveredConfig(cfg, *o)
}

// recoveredConfig returns cfg for a replica that resumes from an opening of the storage.
func recoveredConfig(cfg replicas.Config, o disks.Opening) replicas.Config {
	cfg.ID.Incarnation, cfg.Recovered, cfg.Session = o.Incarnation, o.Recovered, o.Session
	return cfg
}

// registerLogDrivers connects the effects of the log to the data folder and the peers.
func (d *Daemon) registerLogDrivers() {
	RegisterDriver(d.loop, func(e LogSend) { d.links.Send(e.Message.To.Daemon, e.Message) })
	RegisterDriver(d.loop, func(e LogWrite) { d.storage.folder.Write(e.Session, e.Persist) })
	RegisterDriver(d.loop, func(e LogRenew) {
		d.log.Error("the data folder is older than what peers saw of this daemon; it joins with a new incarnation")
		d.storage.folder.Renew(e.Session)
	})
}

func (d *Daemon) closeStorage() {
	if d.storage != nil {
		d.storage.folder.Close()
	}
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
