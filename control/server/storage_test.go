package server

import (
	"errors"
	"sync/atomic"

	"azuredoor.example/control/disk"
	"azuredoor.example/core/consensus"
)

var errStorage = errors.New("simulated storage failure")

// failingStore is a store whose writes can be made to fail.
type failingStore struct {
	*disk.Store
	fail atomic.Bool
}

func (s *failingStore) Save(ready consensus.Ready) error {
	if s.fail.Load() {
		return errStorage
	}
	return s.Store.Save(ready)
}
