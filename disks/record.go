package disks

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A record is stored as marker, length and checksum (4 bytes each, big endian)
// followed by its payload. The checksum covers the length and the payload.
const (
	recordHeader = 12
	marker       = 0x67736c31 // "gsl1"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errBadRecord = errors.New("record is incomplete or has a wrong checksum")

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// appendRecord appends a payload as a record.
func appendRecord(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, marker)
	length := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	b = append(b, length...)
	b = binary.BigEndian.AppendUint32(b, checksum(length, payload))
	return append(b, payload...)
}

// readRecord returns the payload of the record at the start of b and its size.
func readRecord(b []byte) (payload []byte, size int, err error) {
	if len(b) < recordHeader || binary.BigEndian.Uint32(b) != marker {
		return nil, 0, errBadRecord
	}
	length := uint64(binary.BigEndian.Uint32(b[4:]))
	if uint64(len(b)) < recordHeader+length {
		return nil, 0, errBadRecord
	}
	payload = b[recordHeader : recordHeader+length]
	if checksum(b[4:8], payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0, errBadRecord
	}
	return payload, recordHeader + int(length), nil
}

// holdsRecord reports whether a whole record starts anywhere in b.
func holdsRecord(b []byte) bool {
	mark := binary.BigEndian.AppendUint32(nil, marker)
	for {
		i := bytes.Index(b, mark)
		if i < 0 {
			return false
		}
		if _, _, err := readRecord(b[i:]); err == nil {
			return true
		}
		b = b[i+1:]
	}
}
