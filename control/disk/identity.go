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

// Identity identifies a member and its group. It is created once for a data directory. An ID is never 0, and random unless
// Options sets the ID.
type Identity struct {
	// Member is the member's ID in the consensus group.
	Member uint64 `json:"memberId"`
	// Group is the ID of the consensus group.
	Group uint64 `json:"groupId"`
	// Created is set when Open created the identity, and not set when Open loaded the identity.
	Created bool `json:"-"`
}

// randomID returns a random ID other than 0.
func randomID() (uint64, error) {
	var data [8]byte
	for {
		if _, err := rand.Read(data[:]); err != nil {
			return 0, fmt.Errorf("generate random ID: %w", err)
		}
		if id := binary.LittleEndian.Uint64(data[:]); id != 0 {
			return id, nil
		}
	}
}

// loadIdentity returns the stored identity, or the zero Identity when the directory has none.
func loadIdentity(o Options) (Identity, error) {
	data, err := o.FS.ReadFile(filepath.Join(o.Dir, identityFileName))
	if err == nil {
		var identity Identity
		if err := json.Unmarshal(data, &identity); err != nil || identity.Member == 0 || identity.Group == 0 {
			return Identity{}, &DamageError{File: identityFileName, Reason: "the identity is not valid JSON, or an ID is 0"}
		}
		return identity, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return Identity{}, fmt.Errorf("read identity: %w", err)
	}
	return Identity{}, nil
}

// createIdentity stores a new identity. It is called after the first segment is durable, so that a directory with an
// identity but without a log must have lost the log.
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
	return identity, writeFileAtomic(o.FS, filepath.Join(o.Dir, identityFileName), data)
}
