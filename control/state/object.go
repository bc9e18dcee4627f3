package state

import (
	"errors"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
)

// maxChangesPerSet bounds the size of a change set, because a change set is one log entry.
const maxChangesPerSet = 10_000

// maxReportedConflicts bounds the objects in a conflict result, because results are stored to answer resends.
const maxReportedConflicts = 100

// applyConfig applies all changes of a change set or none.
func (m *Machine) applyConfig(c *fleetpb.ApplyConfig) *fleetpb.Result {
	if len(c.Changes) == 0 || len(c.Changes) > maxChangesPerSet {
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "a change set has 1 to %d changes", maxChangesPerSet)
	}
	seen := map[objectKey]bool{}
	var conflicts []*fleetpb.Object
	conflict := false
	for _, change := range c.Changes {
		key := objectKey{change.Kind, change.Name}
		if seen[key] {
			return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "%s/%s: stands twice in the change set", change.Kind, change.Name)
		}
		seen[key] = true
		current := m.objects[key]
		if !change.AnyVersion && current.GetVersion() != change.ExpectVersion {
			conflict = true
			if current != nil && len(conflicts) < maxReportedConflicts {
				conflicts = append(conflicts, current)
			}
		}
	}
	if conflict {
		result := failure(fleetpb.ResultCode_RESULT_CODE_CONFLICT, "an object has another version than expected")
		result.Current = conflicts
		return result
	}
	changes := make([]config.Change, 0, len(c.Changes))
	for _, change := range c.Changes {
		decoded := config.Change{Kind: change.Kind, Name: change.Name}
		if change.Delete {
			if m.objects[objectKey{change.Kind, change.Name}] == nil {
				return failure(fleetpb.ResultCode_RESULT_CODE_NOT_FOUND, "%s/%s: does not exist", change.Kind, change.Name)
			}
		} else {
			spec, err := config.Decode(change.Kind, change.Name, change.Spec)
			if err != nil {
				return invalidResult(err)
			}
			decoded.Spec = spec
		}
		changes = append(changes, decoded)
	}
	next, err := m.config.Apply(changes)
	if err != nil {
		return invalidResult(err)
	}
	m.config = next
	m.revision++
	m.updateObjects(c)
	return success()
}

// updateObjects stores and deletes the objects of a valid change set and adds the change set to the history.
func (m *Machine) updateObjects(c *fleetpb.ApplyConfig) {
	record := &fleetpb.HistoryRecord{Operator: c.Operator, RequestId: c.RequestId}
	for _, change := range c.Changes {
		key := objectKey{change.Kind, change.Name}
		if change.Delete {
			delete(m.objects, key)
		} else {
			m.objects[key] = &fleetpb.Object{Kind: change.Kind, Name: change.Name, Version: m.revision, Spec: change.Spec}
		}
		m.recordChange(changeKey{kind: changedObject, object: key})
		// The record and the object share the bytes of the spec until the object is replaced.
		record.Changes = append(record.Changes, &fleetpb.ObjectChange{
			Kind: change.Kind, Name: change.Name, ExpectVersion: change.ExpectVersion,
			AnyVersion: change.AnyVersion, Delete: change.Delete, Spec: specForHistory(change.Spec),
		})
	}
	m.addHistory(record)
}

// specForHistory returns spec, or nil if spec is larger than maxHistorySpecBytes, so that 10,000 history records stay
// within a few MB.
func specForHistory(spec []byte) []byte {
	if len(spec) > maxHistorySpecBytes {
		return nil
	}
	return spec
}

const maxHistorySpecBytes = 1024

func invalidResult(err error) *fleetpb.Result {
	if field := (*config.FieldError)(nil); errors.As(err, &field) {
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "%s", field.Error())
	}
	return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "%s", err.Error())
}
