package disks

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"gypsumshelf.example/gypsumshelf/replicas"
)

// recovered is what the newest log file of a folder holds.
type recovered struct {
	header  header
	state   replicas.Recovered
	size    int64 // bytes of whole records
	batches int
	torn    bool // an incomplete record followed them
}

// readLog reads the newest generation. A torn tail is reported, for the last
// write may not have been synced; any other loss is a DamagedError.
func readLog(folder string, id identity) (*recovered, error) {
	logs, err := generations(folder)
	if err != nil || len(logs) == 0 {
		return nil, err
	}
	path := filepath.Join(folder, logs[len(logs)-1])
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	payload, size, err := readRecord(data)
	if err != nil {
		return nil, &DamagedError{File: path, Reason: "header: " + err.Error()}
	}
	r := &recovered{size: int64(size)}
	if err := json.Unmarshal(payload, &r.header); err != nil {
		return nil, &DamagedError{File: path, Reason: "header: " + err.Error()}
	}
	if r.header.Incarnation != id.Incarnation {
		return nil, &DamagedError{File: path, Reason: fmt.Sprintf("log of incarnation %s, folder of %s", r.header.Incarnation, id.Incarnation)}
	}
	if r.header.Snapshot {
		if r.state.Snapshot, err = readSnapshot(filepath.Join(folder, snapshotName(r.header.Generation))); err != nil {
			return nil, err
		}
	}
	if err := r.readBatches(path, data); err != nil {
		return nil, err
	}
	if r.header.Snapshot && r.batches == 0 {
		return nil, &DamagedError{File: path, Offset: int(r.size), Reason: "no record follows the header"}
	}
	return r, nil
}

func readSnapshot(path string) (*replicas.Snapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	payload, _, err := readRecord(data)
	s := &replicas.Snapshot{}
	if err == nil {
		err = json.Unmarshal(payload, s)
	}
	if err != nil {
		return nil, &DamagedError{File: path, Reason: "snapshot: " + err.Error()}
	}
	return s, nil
}

func (r *recovered) readBatches(path string, data []byte) error {
	for int(r.size) < len(data) {
		rest := data[r.size:]
		payload, size, err := readRecord(rest)
		if err != nil {
			// Each sync covers one record, so only the last record can be
			// torn. A whole record after a bad one means lost synced data.
			if holdsRecord(rest[1:]) {
				return &DamagedError{File: path, Offset: int(r.size), Reason: "a bad record is followed by a whole one"}
			}
			// The first record is damage in any case. After a compaction it
			// was synced before the file got its name; in the first log of a
			// folder it may hold the only vote, without which peers cannot
			// even be asked.
			if r.batches == 0 {
				return &DamagedError{File: path, Offset: int(r.size), Reason: "the first record is bad"}
			}
			r.torn = true
			return nil
		}
		b, err := decodeBatch(payload)
		if err == nil {
			err = r.add(b)
		}
		if err != nil {
			return &DamagedError{File: path, Offset: int(r.size), Reason: err.Error()}
		}
		r.size += int64(size)
		r.batches++
	}
	return nil
}

// add applies a batch, whose entries replace those from its first one on.
func (r *recovered) add(b batch) error {
	s := &r.state
	if b.hard.Term < s.Hard.Term {
		return fmt.Errorf("term %d follows term %d", b.hard.Term, s.Hard.Term)
	}
	s.Hard = b.hard
	if len(b.entries) == 0 {
		return nil
	}
	base := uint64(0)
	if s.Snapshot != nil {
		base = s.Snapshot.Index
	}
	first := b.entries[0].Index
	if first <= base || first > base+uint64(len(s.Entries))+1 {
		return fmt.Errorf("entry %d follows entry %d", first, base+uint64(len(s.Entries)))
	}
	s.Entries = s.Entries[:first-base-1]
	for i, e := range b.entries {
		if e.Index != first+uint64(i) {
			return fmt.Errorf("entry %d follows entry %d", e.Index, first+uint64(i)-1)
		}
	}
	s.Entries = append(s.Entries, b.entries...)
	return nil
}
