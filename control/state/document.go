package state

import "azuredoor.example/core/fleetpb"

// putDocument stores the operators' document unless one with the same or a higher version is stored. Version 0
// reads the stored document.
func (m *Machine) putDocument(c *fleetpb.PutDocument) *fleetpb.Result {
	if c.Version > m.document.GetVersion() {
		m.document = &fleetpb.Document{Version: c.Version, Data: c.Data}
		m.revision++
		m.touched(changeKey{kind: changedDocument})
	}
	result := success()
	if c.Version == 0 {
		result.Document = m.document
	} else {
		result.Document = &fleetpb.Document{Version: m.document.GetVersion()}
	}
	return result
}

// Document returns the stored document, nil when there is none.
func (m *Machine) Document() *fleetpb.Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.document
}
