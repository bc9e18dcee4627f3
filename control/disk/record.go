package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// recordType is the type of a record's payload.
type recordType byte

const (
	typeHardState    recordType = 1 + iota // fleetpb.HardState
	typeEntry                              // fleetpb.LogEntry
	typeMembership                         // fleetpb.Membership: the initial membership
	typeSnapshotRef                        // fleetpb.Snapshot without data: a reference to a durable snapshot file
	typeLogReset                           // fleetpb.Snapshot without data: a reference to a snapshot that replaces the log
	typeSnapshot                           // fleetpb.Snapshot: the only record of a snapshot file
	typeSegmentStart                       // wrapperspb.BytesValue with a segmentStart: the first record of a segment
)

// recordHeaderBytes is the size of the header of a record. The header has 13 bytes, little-endian: payload length (4),
// CRC32C of the length and of everything after the checksum (4), synced offset (4), type (1).
//
// The synced offset is the number of bytes of the segment that were durable before the record was written. An invalid
// record below the synced offset of a later record is damage; otherwise it may be a torn write.
const recordHeaderBytes = 13

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC32C of an encoded record without the checksum field itself.
func checksum(record []byte) uint32 {
	return crc32.Update(crc32.Checksum(record[:4], castagnoli), castagnoli, record[8:])
}

type record struct {
	kind        recordType
	syncedBytes uint32
	payload     []byte
}

// size returns the size of the encoded record in bytes.
func (r record) size() int { return recordHeaderBytes + len(r.payload) }

// appendRecord appends an encoded record to the buffer.
func appendRecord(buffer []byte, kind recordType, synced uint32, message proto.Message) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, recordHeaderBytes)...)
	buffer, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(buffer, message)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	encoded := buffer[start:]
	binary.LittleEndian.PutUint32(encoded, uint32(len(encoded)-recordHeaderBytes))
	binary.LittleEndian.PutUint32(encoded[8:], synced)
	encoded[12] = byte(kind)
	binary.LittleEndian.PutUint32(encoded[4:], checksum(encoded))
	return buffer, nil
}

// parseRecord decodes the record at an offset. The result is false when no valid record starts there.
func parseRecord(data []byte, offset int) (record, bool) {
	data = data[offset:]
	if len(data) < recordHeaderBytes {
		return record{}, false
	}
	length := binary.LittleEndian.Uint32(data)
	r := record{kind: recordType(data[12]), syncedBytes: binary.LittleEndian.Uint32(data[8:])}
	if r.kind < typeHardState || r.kind > typeSegmentStart || int64(r.syncedBytes) > int64(offset) ||
		int64(length) > int64(len(data)-recordHeaderBytes) {
		return record{}, false
	}
	data = data[:recordHeaderBytes+int(length)]
	if binary.LittleEndian.Uint32(data[4:]) != checksum(data) {
		return record{}, false
	}
	r.payload = data[recordHeaderBytes:]
	return r, true
}

// scanRecords returns the valid records before the first invalid record, the offset at which these records end, and the
// number of bytes that were certainly synced. To find that number, scanRecords also searches for valid records after the
// invalid record, because the synced offset of a later record may lie beyond the invalid record.
func scanRecords(data []byte) (records []record, end, synced int) {
	for end < len(data) {
		r, ok := parseRecord(data, end)
		if !ok {
			break
		}
		records = append(records, r)
		synced = max(synced, int(r.syncedBytes))
		end += r.size()
	}
	for offset := end + 1; offset < len(data); offset++ {
		if r, ok := parseRecord(data, offset); ok {
			synced = max(synced, int(r.syncedBytes))
			offset += r.size() - 1
		}
	}
	return records, end, synced
}
