package state

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

const (
	// maxRequestResults bounds the results kept for resends: half a day of changes at 20,000 a day.
	maxRequestResults = 10_000
	// maxHistoryRecords bounds the memory of the history when change sets are small.
	maxHistoryRecords = 10_000
	// maxHistoryChanges bounds the memory of the history when change sets are large. The bound exceeds maxChangesPerSet,
	// so that the newest record always fits.
	maxHistoryChanges = 50_000
)

// runOnce runs an operator's command unless the result of its request ID is stored. A resend with the same content gets
// the stored result; a request ID with other content is refused.
func (m *Machine) runOnce(requestID string, command proto.Message, run func() *fleetpb.Result) *fleetpb.Result {
	if requestID == "" || len(requestID) > 128 {
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "the request ID must have 1 to 128 bytes")
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "the command is malformed")
	}
	hash := sha256.Sum256(data)
	if known, ok := m.requests[requestID]; ok {
		if string(known.CommandHash) != string(hash[:]) {
			return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "the request ID was used for another request before")
		}
		return proto.CloneOf(known.Result)
	}
	result := run()
	result.Revision = m.revision
	result.Index = m.applied
	if len(m.requestOrder) >= maxRequestResults {
		delete(m.requests, m.requestOrder[0])
		m.requestOrder = m.requestOrder[1:]
	}
	m.requests[requestID] = &fleetpb.RequestResult{RequestId: requestID, CommandHash: hash[:], Result: proto.CloneOf(result)}
	m.requestOrder = append(m.requestOrder, requestID)
	return result
}

func (m *Machine) addHistory(record *fleetpb.HistoryRecord) {
	record.Revision = m.revision
	record.TimeMillis = m.timeMillis
	m.history = append(m.history, record)
	m.historyChanges += len(record.Changes)
	for len(m.history) > maxHistoryRecords || m.historyChanges > maxHistoryChanges {
		m.historyChanges -= len(m.history[0].Changes)
		m.history = m.history[1:]
	}
}
