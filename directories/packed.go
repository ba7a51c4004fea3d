package directories

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"gypsumshelf.example/gypsumshelf/catalogs"
)

// Packed is a replicated state as it is sent to daemons. A catalog of 700
// routes takes 200 KB, most of which repeats itself; it is packed once for all
// daemons, which fetch it at the same time.
type Packed struct {
	Index uint64 // of the state
	Data  []byte // its snapshot, in the format of compress/flate
}

func pack(s *catalogs.State) (Packed, error) {
	snapshot, err := s.Snapshot()
	if err != nil {
		return Packed{}, fmt.Errorf("state %d cannot be encoded: %w", s.Index, err)
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

// maxState bounds the unpacked size of a state.
const maxState = 64 << 20

func (p Packed) unpack() (catalogs.State, error) {
	var s catalogs.State
	snapshot, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxState))
	if err != nil {
		return s, fmt.Errorf("state %d cannot be unpacked: %w", p.Index, err)
	}
	if err := s.Restore(snapshot); err != nil {
		return s, fmt.Errorf("state %d cannot be decoded: %w", p.Index, err)
	}
	return s, nil
}
