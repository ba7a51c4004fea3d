package directories

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"gypsumshelf.example/gypsumshelf/catalogs"
)

// CompressedState is a replicated state as it is sent to daemons. A catalog
// of 700 routes has 200 KB and is highly repetitive. It is compressed once for
// all daemons, because they fetch it at the same time.
type CompressedState struct {
	Index uint64 // of the state
	Data  []byte // its snapshot, compressed with compress/flate
}

func compress(s *catalogs.State) (CompressedState, error) {
	snapshot, err := s.Snapshot()
	if err != nil {
		return CompressedState{}, fmt.Errorf("encode the state at entry %d: %w", s.Index, err)
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return CompressedState{}, err
	}
	if _, err := w.Write(snapshot); err != nil {
		return CompressedState{}, err
	}
	if err := w.Close(); err != nil {
		return CompressedState{}, err
	}
	return CompressedState{Index: s.Index, Data: b.Bytes()}, nil
}

// maxStateBytes bounds the decompressed size of a state in bytes.
const maxStateBytes = 64 << 20

func (c CompressedState) decompress() (catalogs.State, error) {
	var s catalogs.State
	snapshot, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Data)), maxStateBytes))
	if err != nil {
		return s, fmt.Errorf("decompress the state at entry %d: %w", c.Index, err)
	}
	if err := s.Restore(snapshot); err != nil {
		return s, fmt.Errorf("decode the state at entry %d: %w", c.Index, err)
	}
	return s, nil
}
