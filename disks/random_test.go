package disks

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/replicas"
)

// storedState is what a folder holds.
type storedState struct {
	hardState replicas.HardState
	base      uint64 // index of the snapshot
	baseTerm  uint64
	entries   []replicas.Entry
}

func stateOf(r replicas.Recovered) storedState {
	s := storedState{hardState: r.HardState}
	if r.Snapshot != nil {
		s.base, s.baseTerm = r.Snapshot.Index, r.Snapshot.Term
	}
	for _, e := range r.Entries {
		s.entries = append(s.entries, replicas.Entry{Index: e.Index, Term: e.Term})
	}
	return s
}

func (s storedState) lastIndex() uint64 { return s.base + uint64(len(s.entries)) }

// after returns the state after a write.
func (s storedState) after(p *replicas.Persist) storedState {
	s.hardState = p.HardState
	if p.Snapshot != nil {
		s.base, s.baseTerm, s.entries = p.Snapshot.Index, p.Snapshot.Term, nil
	}
	if len(p.Entries) > 0 {
		s.entries = append(slices.Clone(s.entries[:p.Entries[0].Index-s.base-1]), p.Entries...)
	}
	return s
}

// nextWrite returns a write that a replica may make next.
func (s storedState) nextWrite(rng *rand.Rand) *replicas.Persist {
	p := &replicas.Persist{HardState: s.hardState}
	p.HardState.Group = "g"
	kind := rng.IntN(6)
	if p.HardState.Term == 0 || kind <= 1 || rng.IntN(3) == 0 {
		p.HardState.Term++
		p.HardState.Vote = replicas.NodeID{}
	}
	if rng.IntN(4) == 0 {
		p.HardState.Vote = replicas.NodeID{Daemon: "x", Incarnation: "1"}
	}
	switch {
	case kind == 0: // the snapshot of a leader replaces the log
		p.Snapshot = &replicas.Snapshot{Index: s.base + 1 + rng.Uint64N(8), Term: max(s.baseTerm, 1), At: testTime}
	case kind == 1 && len(s.entries) > 0: // an entry of an earlier term replaces others
		i, term := rng.IntN(len(s.entries)), s.baseTerm
		if i > 0 {
			term = s.entries[i-1].Term
		}
		p.Entries = []replicas.Entry{{Index: s.entries[i].Index, Term: max(term, 1)}}
	case kind == 2 && len(s.entries) > 0: // compaction
		i := rng.IntN(len(s.entries))
		p.Snapshot = &replicas.Snapshot{Index: s.entries[i].Index, Term: s.entries[i].Term, At: testTime}
		p.Entries = slices.Clone(s.entries[i+1:])
	case kind > 3:
		for i := range 1 + rng.Uint64N(3) {
			p.Entries = append(p.Entries, replicas.Entry{Index: s.lastIndex() + 1 + i, Term: p.HardState.Term})
		}
	}
	return p
}

// Guards against a folder that loses what was synced, or is erased although the disk kept
// it, after any series of refused operations, restarts and power losses.
func TestRandomDiskFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			h := newFolderHarness(t)
			incarnation, synced := h.opening.Incarnation, storedState{}
			for range 15 {
				p := synced.nextWrite(rng)
				next := synced.after(p)
				refused := h.writeOnFaultyDisk(rng, p)
				if !refused {
					synced = next
				}
				switch {
				case refused && rng.IntN(3) > 0:
					h.disk.set(nil)
					h.awaitOpened()
				case refused || rng.IntN(6) == 0:
					h.endProcess(rng)
				default:
					continue
				}
				got := stateOf(h.opening.Recovered)
				if h.opening.Incarnation != incarnation || h.opening.Recovered.FormerMember || !reflect.DeepEqual(got, synced) && !reflect.DeepEqual(got, next) {
					t.Fatalf("incarnation %s, state %+v; want %s and %+v or %+v", h.opening.Incarnation, got, incarnation, synced, next)
				}
				synced = got
			}
		})
	}
}

// writeOnFaultyDisk writes to a disk that may refuse operations, for a while also those of
// the attempts to open the folder again, and reports whether it has refused the write.
func (h *folderHarness) writeOnFaultyDisk(rng *rand.Rand, p *replicas.Persist) (refused bool) {
	if rng.IntN(2) == 0 {
		h.disk.refuseFrom(rng.IntN(8), []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EMFILE}[rng.IntN(3)])
	}
	h.sequence++
	p.Sequence = h.sequence
	h.folder.Write(h.opening.Session, p)
	select {
	case <-h.synced:
		h.disk.set(nil)
		return false
	case <-h.failed:
	}
	if rng.IntN(2) == 0 {
		h.disk.refuseFrom(rng.IntN(16), syscall.EIO)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * firstReopenDelay))))
	}
	return true
}

// endProcess ends the process, perhaps with a loss of power, and starts it again.
func (h *folderHarness) endProcess(rng *rand.Rand) {
	h.folder.Close()
	if rng.IntN(2) == 0 {
		h.disk.losePower()
	}
	h.disk.set(nil)
	h.start()
	h.sequence = 0
}
