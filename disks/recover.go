package disks

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"gypsumshelf.example/gypsumshelf/replicas"
)

// logContents is the state read from the newest generation of a folder.
type logContents struct {
	header     header
	state      replicas.Recovered
	validSize  int64 // total size of the complete records
	batchCount int
	tornTail   bool // an invalid record follows them
}

// readLog reads the newest generation, or returns nil without one. A torn tail is
// allowed and reported, because the last write may not have been synced; any
// other invalid data is a DamagedError.
func (f files) readLog(id identity, known Known) (*logContents, error) {
	logs, err := logFileNames(f.folder)
	if err != nil || len(logs) == 0 {
		return nil, err
	}
	name := logs[len(logs)-1]
	path := f.path(name)
	data, err := f.read(name)
	if err != nil {
		return nil, err
	}
	payload, headerSize, err := readRecord(data)
	if err != nil {
		return nil, &DamagedError{File: path, Reason: "header: " + err.Error()}
	}
	contents := &logContents{validSize: int64(headerSize)}
	if err := json.Unmarshal(payload, &contents.header); err != nil {
		return nil, &DamagedError{File: path, Reason: "header: " + err.Error()}
	}
	if contents.header.Incarnation != id.Incarnation {
		return nil, &DamagedError{File: path, Reason: fmt.Sprintf("log of incarnation %s, folder of %s", contents.header.Incarnation, id.Incarnation)}
	}
	if contents.header.Snapshot {
		if contents.state.Snapshot, err = f.readSnapshot(contents.header.Generation); err != nil {
			return nil, err
		}
	}
	if err := contents.readBatches(path, data, known); err != nil {
		return nil, err
	}
	if contents.header.Snapshot && contents.batchCount == 0 {
		return nil, &DamagedError{File: path, Offset: int(contents.validSize), Reason: "no record follows the header"}
	}
	return contents, nil
}

func (f files) readSnapshot(generation uint64) (*replicas.Snapshot, error) {
	name := snapshotName(generation)
	path := f.path(name)
	data, err := f.read(name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
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

func (c *logContents) readBatches(path string, data []byte, known Known) error {
	for int(c.validSize) < len(data) {
		rest := data[c.validSize:]
		payload, size, err := readRecord(rest)
		if err != nil {
			// Each sync covers one record, so only the last record can be torn.
			// If a complete record follows, the invalid one had been synced.
			if containsRecord(rest[1:]) {
				return &DamagedError{File: path, Offset: int(c.validSize), Reason: "a bad record is followed by a whole one"}
			}
			// An invalid first record is treated as damage, unless this process
			// knows that nothing was synced. After a compaction it was synced
			// before the file was renamed into place. In the first log of a
			// folder it may hold the group and the only vote, and without the
			// group the node does not verify its storage with its peers.
			if c.batchCount == 0 && !known.nothingSynced() {
				return &DamagedError{File: path, Offset: int(c.validSize), Reason: "the first record is bad"}
			}
			c.tornTail = true
			return nil
		}
		b, err := decodeBatch(payload)
		if err == nil {
			err = c.applyBatch(b)
		}
		if err != nil {
			return &DamagedError{File: path, Offset: int(c.validSize), Reason: err.Error()}
		}
		c.validSize += int64(size)
		c.batchCount++
	}
	return nil
}

// applyBatch applies a batch. Its entries replace all earlier ones from the index
// of its first entry on.
func (c *logContents) applyBatch(b logBatch) error {
	s := &c.state
	if b.hardState.Term < s.HardState.Term {
		return fmt.Errorf("record of term %d follows a record of term %d", b.hardState.Term, s.HardState.Term)
	}
	s.HardState = b.hardState
	if len(b.entries) == 0 {
		return nil
	}
	base := uint64(0)
	if s.Snapshot != nil {
		base = s.Snapshot.Index
	}
	first := b.entries[0].Index
	if first <= base || first > base+uint64(len(s.Entries))+1 {
		return fmt.Errorf("record starts at entry %d, want an entry from %d to %d", first, base+1, base+uint64(len(s.Entries))+1)
	}
	s.Entries = s.Entries[:first-base-1]
	for i, e := range b.entries {
		if e.Index != first+uint64(i) {
			return fmt.Errorf("entry %d follows entry %d in one record", e.Index, first+uint64(i)-1)
		}
	}
	s.Entries = append(s.Entries, b.entries...)
	return nil
}
