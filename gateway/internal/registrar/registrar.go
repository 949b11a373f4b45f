// Package registrar makes a VM known to the others of the fleet through the store,
// and finds them there, together with the key of their messages.
//
// # Usage
//
//	registrar := &registrar.Registrar{Store: store, Log: log}
//	members, err := registrar.Join(ctx, registrar.Member{Name: name, DataCentre: dataCentre, Address: address})
package registrar

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/platform"
)

// Rows of the table: one with the key of the fleet's messages, and one for each
// VM.
const (
	table     = "vms"
	keyRow    = "key"
	vmPrefix  = "vm/"
	keyLength = 32
)

// retryPause is the wait after a failed call.
const retryPause = 300 * time.Millisecond

// Member is a VM of the fleet.
type Member struct {
	Name       string `json:"-"`
	DataCentre string `json:"data-centre"`
	// Address is the IP address and UDP port for messages.
	Address string `json:"address"`
}

// Members are the VMs that have ever joined, and their key.
type Members struct {
	Key []byte
	All []Member
}

// Store is what the registrar needs of the platform's store.
type Store interface {
	Read(ctx context.Context, table, part string, arriving func()) (platform.Reading, error)
	Commit(ctx context.Context, transaction platform.Transaction) error
}

// Registrar joins the fleet. Fields are set before Join.
type Registrar struct {
	Store Store
	Log   *logrus.Entry
}

// Join records the VM and returns all that have joined before it. It tries
// until it succeeds or the context ends. Of two VMs that join at once, at least
// the one whose record came second finds the other.
func (registrar *Registrar) Join(ctx context.Context, member Member) (Members, error) {
	for {
		members, err := registrar.join(ctx, member)
		if err == nil {
			return members, nil
		}
		registrar.Log.WithError(err).Warn("join-failed")
		select {
		case <-ctx.Done():
			return Members{}, fmt.Errorf("join the fleet: %w", context.Cause(ctx))
		case <-time.After(retryPause):
		}
	}
}

func (registrar *Registrar) join(ctx context.Context, member Member) (Members, error) {
	members, err := registrar.read(ctx)
	if err != nil {
		return Members{}, err
	}
	if len(members.Key) > 0 && slices.Contains(members.All, member) {
		return members, nil // the VM has started again
	}
	if err := registrar.record(ctx, member, len(members.Key) > 0); err != nil {
		return Members{}, err
	}
	// Read again: of two VMs that record themselves at once, the later finds the
	// other.
	if members, err = registrar.read(ctx); err != nil {
		return Members{}, err
	}
	if len(members.Key) != keyLength {
		return Members{}, fmt.Errorf("the key of the fleet has %d bytes, must be %d", len(members.Key), keyLength)
	}
	return members, nil
}

func (registrar *Registrar) read(ctx context.Context) (Members, error) {
	reading, err := registrar.Store.Read(ctx, table, "", nil)
	if err != nil {
		return Members{}, fmt.Errorf("read members: %w", err)
	}
	var members Members
	for _, row := range reading.Rows {
		name, isVM := strings.CutPrefix(row.Key, vmPrefix)
		switch {
		case row.Key == keyRow:
			members.Key = row.Value
		case isVM:
			other := Member{Name: name}
			if err := json.Unmarshal(row.Value, &other); err != nil {
				registrar.Log.WithError(err).WithField("peer", name).Warn("member-malformed")
				continue
			}
			members.All = append(members.All, other)
		}
	}
	return members, nil
}

// record writes the VM's row, and a key if there is none yet.
func (registrar *Registrar) record(ctx context.Context, member Member, hasKey bool) error {
	value, err := json.Marshal(member)
	if err != nil {
		return fmt.Errorf("encode member: %w", err)
	}
	transaction := platform.Transaction{Writes: []platform.Write{{Table: table, Key: vmPrefix + member.Name, Value: value}}}
	if hasKey {
		return registrar.commit(ctx, transaction)
	}
	key := make([]byte, keyLength)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("draw key: %w", err)
	}
	withKey := transaction
	withKey.Conditions = []platform.Condition{{Table: table, Key: keyRow}}
	withKey.Writes = append(withKey.Writes, platform.Write{Table: table, Key: keyRow, Value: key})
	err = registrar.commit(ctx, withKey)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) { // another VM has written a key
		return registrar.commit(ctx, transaction)
	}
	return err
}

func (registrar *Registrar) commit(ctx context.Context, transaction platform.Transaction) error {
	if err := registrar.Store.Commit(ctx, transaction); err != nil {
		return fmt.Errorf("record VM: %w", err)
	}
	return nil
}
