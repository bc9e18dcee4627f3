package state

import "azuredoor.example/core/fleetpb"

// putDocument stores the configuration document unless the stored document has the same or a higher version. A
// command with version 0 stores nothing and reads the stored document.
func (m *Machine) putDocument(c *fleetpb.PutDocument) *fleetpb.Result {
	if c.Version > m.document.GetVersion() {
		m.document = &fleetpb.Document{Version: c.Version, Data: c.Data}
		m.revision++
		m.recordChange(changeKey{kind: changedDocument})
	}
	result := success()
	if c.Version == 0 {
		result.Document = m.document
	} else {
		result.Document = &fleetpb.Document{Version: m.document.GetVersion()}
	}
	return result
}

// Document returns the stored configuration document, or nil if none is stored.
func (m *Machine) Document() *fleetpb.Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.document
}
