package event

import "github.com/phuslu/log"

// Events of the shared packages.
const (
	CallRefused ID = 3001 + iota
)

var coreEvents = map[ID]Description{
	CallRefused: {log.WarnLevel, "call between processes refused: wrong fleet secret"},
}
