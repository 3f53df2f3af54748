package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// headerBytes is the size of a record without its payload. A record is encoded in
// little endian as:
//
//	length of the payload  uint32
//	CRC-32C of all below   uint32
//	kind                   uint8
//	synced                 uint32  bytes of the segment synced before this write
//	index                  uint64
//	term                   uint64
//	payload
//
// synced distinguishes a torn tail from damage: the bytes that a later record
// states as synced had been acknowledged and must be readable. In the first record
// of a segment it is the size that the file had when it was renamed to its final
// name, or 0 in files of versions that did not record this size.
const headerBytes = 29

// maxPayload is the maximum payload of a record in bytes. It allows a damaged
// length to be detected and is above the largest message between daemons.
const maxPayload = 64 << 20

// kind is the kind of a record.
type kind uint8

const (
	// kindBegin is the first record of a segment, with its number as index, or the
	// record of the identity file, with the identity as index and the owner as payload.
	kindBegin kind = iota + 1
	kindState
	kindEntry
	kindReset // the log starts after the snapshot at index; also the record of a snapshot file
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	kind    kind
	synced  uint32
	index   uint64
	term    uint64
	payload []byte
}

// appendTo appends the encoded record to b.
func (r *record) appendTo(b []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.payload)))
	b = append(b, 0, 0, 0, 0, byte(r.kind))
	b = binary.LittleEndian.AppendUint32(b, r.synced)
	b = binary.LittleEndian.AppendUint64(b, r.index)
	b = binary.LittleEndian.AppendUint64(b, r.term)
	b = append(b, r.payload...)
	binary.LittleEndian.PutUint32(b[start+4:], crc32.Checksum(b[start+8:], castagnoli))
	return b
}

// beginRecord returns the encoded first record of a segment whose initial content
// has the given size in bytes.
func beginRecord(number uint64, size int) []byte {
	r := record{kind: kindBegin, synced: uint32(size), index: number}
	return r.appendTo(nil)
}

// parseRecord decodes the record at the start of b and returns it and its encoded
// size in bytes, or 0 if there is no valid record.
func parseRecord(b []byte) (record, int) {
	if len(b) < headerBytes {
		return record{}, 0
	}
	n := binary.LittleEndian.Uint32(b)
	k := kind(b[8])
	if n > maxPayload || k < kindBegin || k > kindReset || len(b) < headerBytes+int(n) {
		return record{}, 0
	}
	end := headerBytes + int(n)
	if crc32.Checksum(b[8:end], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return record{}, 0
	}
	return record{
		kind: k, synced: binary.LittleEndian.Uint32(b[9:]), index: binary.LittleEndian.Uint64(b[13:]),
		term: binary.LittleEndian.Uint64(b[21:]), payload: b[headerBytes:end],
	}, end
}

// syncedBeyond reports whether a valid record after offset at states that more
// than at bytes had been synced.
func syncedBeyond(b []byte, at int) bool {
	for i := at + 1; i+headerBytes <= len(b); i++ {
		if r, n := parseRecord(b[i:]); n > 0 && int(r.synced) > at {
			return true
		}
	}
	return false
}
