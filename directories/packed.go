package directories

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"gypsumshelf.example/gypsumshelf/catalogs"
)

// Packed is a compressed replicated state, as it is sent to daemons. A catalog
// of 700 routes has 200 KB and is highly repetitive. It is compressed once for
// all daemons, because they fetch it at the same time.
type Packed struct {
	Index uint64 // of the state
	Data  []byte // its snapshot, compressed with compress/flate
}

func pack(s *catalogs.State) (Packed, error) {
	snapshot, err := s.Snapshot()
	if err != nil {
		return Packed{}, fmt.Errorf("encode the state at entry %d: %w", s.Index, err)
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return Packed{}, err
	}
	if _, err := w.Write(snapshot); err != nil {
		return Packed{}, err
	}
	if err := w.Close(); err != nil {
		return Packed{}, err
	}
	return Packed{Index: s.Index, Data: b.Bytes()}, nil
}

// maxState bounds the decompressed size of a state in bytes.
const maxState = 64 << 20

func (p Packed) unpack() (catalogs.State, error) {
	var s catalogs.State
	snapshot, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxState))
	if err != nil {
		return s, fmt.Errorf("decompress the state at entry %d: %w", p.Index, err)
	}
	if err := s.Restore(snapshot); err != nil {
		return s, fmt.Errorf("decode the state at entry %d: %w", p.Index, err)
	}
	return s, nil
}
