package disks

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/replicas"
)

var errTruncatedPayload = errors.New("record payload ends inside a field")

// header is the first record of a log file.
type header struct {
	Incarnation string `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Snapshot    bool   `json:"snapshot"` // the generation has a snapshot file; the entries follow the snapshot
}

// logBatch is the payload of one log record. Each sync covers one batch.
type logBatch struct {
	hardState replicas.HardState
	entries   []replicas.Entry
}

func (b logBatch) encode() []byte {
	capacity := 64 + len(b.hardState.Group) + len(b.hardState.Vote.Daemon) + len(b.hardState.Vote.Incarnation)
	for _, e := range b.entries {
		capacity += 40 + len(e.Data)
	}
	out := make([]byte, 0, capacity)
	out = appendBytes(out, []byte(b.hardState.Group))
	out = binary.AppendUvarint(out, b.hardState.Term)
	out = appendBytes(out, []byte(b.hardState.Vote.Daemon))
	out = appendBytes(out, []byte(b.hardState.Vote.Incarnation))
	out = binary.AppendUvarint(out, uint64(len(b.entries)))
	for _, e := range b.entries {
		out = binary.AppendUvarint(out, e.Index)
		out = binary.AppendUvarint(out, e.Term)
		out = binary.AppendVarint(out, e.At.Unix())
		out = binary.AppendUvarint(out, uint64(e.At.Nanosecond()))
		out = append(out, byte(e.Kind))
		out = appendBytes(out, e.Data)
	}
	return out
}

func decodeBatch(payload []byte) (logBatch, error) {
	d := decoder{remaining: payload}
	var b logBatch
	b.hardState.Group = string(d.bytes())
	b.hardState.Term = d.uvarint()
	b.hardState.Vote.Daemon = gypsumshelf.DaemonID(d.bytes())
	b.hardState.Vote.Incarnation = string(d.bytes())
	n := d.uvarint()
	for i := uint64(0); i < n && d.err == nil; i++ {
		e := replicas.Entry{Index: d.uvarint(), Term: d.uvarint()}
		seconds := d.varint()
		e.At = time.Unix(seconds, int64(d.uvarint())).UTC()
		e.Kind = replicas.Kind(d.byte())
		if data := d.bytes(); len(data) > 0 {
			e.Data = append([]byte(nil), data...)
		}
		b.entries = append(b.entries, e)
	}
	return b, d.err
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// decoder reads the fields of a payload. After the first error it returns zero
// values.
type decoder struct {
	remaining []byte
	err       error
}

func (d *decoder) next(n int) []byte {
	if n < 0 || n > len(d.remaining) {
		d.remaining, d.err = nil, errTruncatedPayload
		return nil
	}
	b := d.remaining[:n]
	d.remaining = d.remaining[n:]
	return b
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.remaining)
	if n <= 0 {
		d.remaining, d.err = nil, errTruncatedPayload
		return 0
	}
	d.remaining = d.remaining[n:]
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.remaining)
	if n <= 0 {
		d.remaining, d.err = nil, errTruncatedPayload
		return 0
	}
	d.remaining = d.remaining[n:]
	return v
}

func (d *decoder) byte() byte {
	if b := d.next(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if n > uint64(len(d.remaining)) {
		d.remaining, d.err = nil, errTruncatedPayload
		return nil
	}
	return d.next(int(n))
}

// encodeJSON encodes the parts that are small or written rarely: identity, header
// and snapshot.
func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("%T cannot be encoded: %v", v, err))
	}
	return data
}
