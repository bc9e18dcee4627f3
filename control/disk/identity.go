package disk

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Identity is created once for a data folder. IDs are random and never 0.
type Identity struct {
	// Member is the member's ID in the consensus group.
	Member uint64 `json:"memberId"`
	// Group is the ID of the consensus group.
	Group uint64 `json:"groupId"`
	// Created is set when this call of Open created the identity.
	Created bool `json:"-"`
}

func randomID() (uint64, error) {
	var data [8]byte
	for {
		if _, err := rand.Read(data[:]); err != nil {
			return 0, fmt.Errorf("random ID: %w", err)
		}
		if id := binary.LittleEndian.Uint64(data[:]); id != 0 {
			return id, nil
		}
	}
}

// loadIdentity reads the identity. It returns the zero Identity when there is none.
func loadIdentity(o Options) (Identity, error) {
	data, err := o.FS.ReadFile(filepath.Join(o.Dir, identityName))
	if err == nil {
		var identity Identity
		if err := json.Unmarshal(data, &identity); err != nil || identity.Member == 0 || identity.Group == 0 {
			return Identity{}, &DamageError{File: identityName, Reason: "the identity is not readable"}
		}
		return identity, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return Identity{}, fmt.Errorf("read identity: %w", err)
	}
	return Identity{}, nil
}

// createIdentity stores a new identity. It comes after the first segment, so that a folder with an
// identity but no log is known to have lost its log.
func createIdentity(o Options) (Identity, error) {
	var err error
	identity := Identity{Group: o.Group, Created: true}
	if identity.Member = o.Member; identity.Member == 0 {
		if identity.Member, err = randomID(); err != nil {
			return Identity{}, err
		}
	}
	if identity.Group == 0 {
		if identity.Group, err = randomID(); err != nil {
			return Identity{}, err
		}
	}
	data, err := json.Marshal(identity)
	if err != nil {
		return Identity{}, fmt.Errorf("encode identity: %w", err)
	}
	return identity, writeFile(o.FS, filepath.Join(o.Dir, identityName), data)
}
