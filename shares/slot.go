package shares

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"gypsumshelf.example/gypsumshelf"
)

// slotCount is the number of slots. With 12 members per slot, each of 400 daemons
// is a member of about 8. More slots mean more owners to ask; fewer leave some
// daemons without servers.
const slotCount = 256

// SlotOf returns the slot of a server.
func SlotOf(id gypsumshelf.ServerID) Slot {
	return Slot(mixBits(hashString(string(id))) % slotCount)
}

// IncarnationHash returns the hash that stands for an incarnation id in messages.
func IncarnationHash(incarnation string) uint32 { return uint32(mixBits(hashString(incarnation))) }

func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// mixBits applies the finalizer of SplitMix64, because FNV alone gives similar
// names similar hashes.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Rank returns the daemons in descending order of their rendezvous hash for a
// slot.
func Rank(slot Slot, daemons []gypsumshelf.DaemonID) []gypsumshelf.DaemonID {
	type scored struct {
		daemon gypsumshelf.DaemonID
		score  uint64
	}
	all := make([]scored, len(daemons))
	for i, d := range daemons {
		b := binary.LittleEndian.AppendUint16([]byte(d), uint16(slot))
		all[i] = scored{d, mixBits(hashString(string(b)))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.daemon, b.daemon))
	})
	ranked := make([]gypsumshelf.DaemonID, len(all))
	for i, s := range all {
		ranked[i] = s.daemon
	}
	return ranked
}
