package caller

import "azuredoor.example/entry/relay"

// freshness rejects requests that require a key while the entry cannot know whether keys are still valid.
type freshness struct {
	control Control
}

// Serve implements Filter.
func (f *freshness) Serve(x *Exchange, next Handler) *relay.Error {
	if x.requiresKey() && !f.control.Fresh() {
		return notReadyError("The router has lost contact with its control group.")
	}
	return next(x)
}
