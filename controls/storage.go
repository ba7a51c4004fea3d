package controls

import (
	"encoding/base64"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/replicas"
)

const (
	// electionTimeout is ten raft ticks, so that a late tick does not start an
	// election while the leader is alive.
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// pauseThreshold is five raft ticks. Beside load, control daemons were not run for
	// 0.6 s to 1.3 s and then gave up the lead before they read the answers of others.
	pauseThreshold = 5 * raftTickInterval
	// replaceAfter is the silence after which a voter is replaced by another
	// member. Members beyond the wanted number of voters exist only after a host
	// was replaced, and the old host must no longer count as a lost voter 4 s
	// after its successor has started.
	replaceAfter = 1500 * time.Millisecond
	// forgetAfter is the silence after which a host without a vote is no member any
	// more. Hosts that restart or return from a partition are back sooner.
	forgetAfter = 10 * time.Minute
	// diskShareOfLog and diskShareOfCommand divide the size of the disk into the most
	// that the log takes beside a snapshot, and the most that one command takes. A
	// snapshot is a third larger than the command that it holds. Three generations of
	// log and snapshot then fit on the disk: the current one, the next one while it is
	// written, and that of a damaged folder.
	diskShareOfLog     = 6
	diskShareOfCommand = 12
	// reopenDelay bounds how often a replica starts again when the same error comes
	// back. The others elect a leader meanwhile.
	reopenDelay = time.Second
)

// openStorage opens the data folder. The replica starts halted where the disk does not
// allow that yet.
func (d *Daemon) openStorage() (replicas.Config, error) {
	health := disks.NewHealth(d.cfg.Log)
	folder, opening, err := disks.StartFolder(disks.FolderConfig{
		Path: d.cfg.DataFolder, OpenFile: d.cfg.OpenFile, Log: d.cfg.Log, Health: health,
		Synced: func(sequence uint64) { d.submit(LogSynced{Sequence: sequence}) },
		Failed: func() { d.submit(StorageFailed{}) },
		Opened: func(o disks.Opening) { d.submit(StorageOpened{Config: d.replicaConfig(&o)}) },
	})
	if err != nil {
		return replicas.Config{}, merry.Prepend(err, "data folder")
	}
	d.folder, d.health = folder, health
	return d.replicaConfig(opening), nil
}

// replicaConfig returns the configuration of the replicated log, without an identity
// where the data folder is not open.
func (d *Daemon) replicaConfig(o *disks.Opening) replicas.Config {
	var seeds []gypsumshelf.DaemonID
	for _, s := range d.cfg.Seeds {
		seeds = append(seeds, peerID(s))
	}
	cfg := replicas.Config{
		ID: replicas.NodeID{Daemon: d.cfg.Daemon}, DataCentre: d.cfg.DataCentre, Durable: true, Peers: seeds,
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, PauseThreshold: pauseThreshold, ReplaceAfter: replaceAfter, ForgetAfter: forgetAfter,
		TargetVoters: replicas.MaxVoters, RetainEntries: compactEntries, Seed: rand.Uint64(),
	}
	if d.cfg.FirstStart {
		cfg.InitialVoters = seeds
	}
	if o != nil {
		cfg.ID.Incarnation, cfg.Recovered, cfg.Session = o.Incarnation, o.Recovered, o.Session
	}
	d.id.Store(&cfg.ID)
	return cfg
}

// isTooLarge reports whether a command may not fit on the disk. Its document, by far the
// largest part, is encoded as base64.
func (d *Daemon) isTooLarge(c catalogs.Command) bool {
	return d.cfg.DiskBytes > 0 && int64(base64.StdEncoding.EncodedLen(len(c.Document))) > d.cfg.DiskBytes/diskShareOfCommand
}

// renewStorage replaces the data folder by an empty one.
func (d *Daemon) renewStorage(session uint64) {
	d.cfg.Log.Error("the data folder is older than what peers saw of this daemon; it joins with a new incarnation")
	d.folder.Renew(session)
}

// reopenStorage opens the data folder again after reopenDelay. The replica then starts
// as after a restart of the process.
func (d *Daemon) reopenStorage(session uint64) {
	d.cfg.Log.Warn("the replicated log starts again from the data folder")
	d.folder.Reopen(session, reopenDelay)
}
