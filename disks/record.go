package disks

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A record consists of a marker, a length and a checksum (4 bytes each, big
// endian), followed by the payload. The checksum covers the length and the
// payload.
const (
	recordHeaderSize = 12
	recordMarker     = 0x67736c31 // "gsl1"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errInvalidRecord = errors.New("record is incomplete or its marker or checksum is wrong")

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// appendRecord appends a payload as a record.
func appendRecord(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, recordMarker)
	length := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	b = append(b, length...)
	b = binary.BigEndian.AppendUint32(b, checksum(length, payload))
	return append(b, payload...)
}

// readRecord returns the payload of the record at the start of b and the size of
// the whole record.
func readRecord(b []byte) (payload []byte, size int, err error) {
	if len(b) < recordHeaderSize || binary.BigEndian.Uint32(b) != recordMarker {
		return nil, 0, errInvalidRecord
	}
	length := uint64(binary.BigEndian.Uint32(b[4:]))
	if uint64(len(b)) < recordHeaderSize+length {
		return nil, 0, errInvalidRecord
	}
	payload = b[recordHeaderSize : recordHeaderSize+length]
	if checksum(b[4:8], payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0, errInvalidRecord
	}
	return payload, recordHeaderSize + int(length), nil
}

// containsRecord reports whether b contains a complete record at any offset.
func containsRecord(b []byte) bool {
	markerBytes := binary.BigEndian.AppendUint32(nil, recordMarker)
	for {
		i := bytes.Index(b, markerBytes)
		if i < 0 {
			return false
		}
		if _, _, err := readRecord(b[i:]); err == nil {
			return true
		}
		b = b[i+1:]
	}
}
