package disks

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"gypsumshelf.example/gypsumshelf/replicas"
)

// logContents is what the newest log file of a folder holds.
type logContents struct {
	header     header
	state      replicas.Recovered
	validSize  int64 // bytes of whole records
	batchCount int
	tornTail   bool // an incomplete record followed them
}

// readLog reads the newest generation. A torn tail is reported, for the last
// write may not have been synced; any other loss is a DamagedError.
func readLog(folder string, id identity) (*logContents, error) {
	logs, err := logFileNames(folder)
	if err != nil || len(logs) == 0 {
		return nil, err
	}
	path := filepath.Join(folder, logs[len(logs)-1])
	data, err := os.ReadFile(path)
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
		if contents.state.Snapshot, err = readSnapshot(filepath.Join(folder, snapshotName(contents.header.Generation))); err != nil {
			return nil, err
		}
	}
	if err := contents.readBatches(path, data); err != nil {
		return nil, err
	}
	if contents.header.Snapshot && contents.batchCount == 0 {
		return nil, &DamagedError{File: path, Offset: int(contents.validSize), Reason: "no record follows the header"}
	}
	return contents, nil
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

func (r *logContents) readBatches(path string, data []byte) error {
	for int(r.validSize) < len(data) {
		rest := data[r.validSize:]
		payload, size, err := readRecord(rest)
		if err != nil {
			// Each sync covers one record, so only the last record can be
			// torn. A whole record after a bad one means lost synced data.
			if containsRecord(rest[1:]) {
				return &DamagedError{File: path, Offset: int(r.validSize), Reason: "a bad record is followed by a whole one"}
			}
			// The first record is damage in any case. After a compaction it
			// was synced before the file got its name; in the first log of a
			// folder it may hold the only vote, without which peers cannot
			// even be asked.
			if r.batchCount == 0 {
				return &DamagedError{File: path, Offset: int(r.validSize), Reason: "the first record is bad"}
			}
			r.tornTail = true
			return nil
		}
		b, err := decodeBatch(payload)
		if err == nil {
			err = r.applyBatch(b)
		}
		if err != nil {
			return &DamagedError{File: path, Offset: int(r.validSize), Reason: err.Error()}
		}
		r.validSize += int64(size)
		r.batchCount++
	}
	return nil
}

// applyBatch applies a batch, whose entries replace those from its first one on.
func (r *logContents) applyBatch(b logBatch) error {
	s := &r.state
	if b.hardState.Term < s.Hard.Term {
		return fmt.Errorf("term %d follows term %d", b.hardState.Term, s.Hard.Term)
	}
	s.Hard = b.hardState
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
