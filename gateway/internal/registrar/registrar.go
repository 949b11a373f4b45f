// Package registrar registers a VM of the fleet in the platform's store. There the VM
// finds its peers and the fleet's key, which encrypts and authenticates their messages.
//
// # Usage
//
//	registrar := &registrar.Registrar{Store: store, Log: log}
//	members, err := registrar.Join(ctx, registrar.Member{Name: name, DataCentre: dataCentre, Address: address})
//	members, err = registrar.Verify(ctx, member, members.Key, group) // after a restore
//	err = registrar.Announce(ctx, member)                            // as a planned stop begins
//	err = registrar.Deregister(ctx, member)                          // once the VM serves no more
package registrar

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/keeper"
	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// The table has one row with the key of the fleet's messages, one row for each VM, one with the
// keeper.Mark of a store that was restored, one with the requests that are blocked, and one with the crashes of
// others, both of which a VM reads as it joins. keyLength is in bytes.
const (
	table      = "vms"
	keyRow     = "key"
	markRow    = "era"
	blocksRow  = "blocks"
	crashesRow = "crashes"
	vmPrefix   = "vm/"
	keyLength  = 32
)

// retryDelay is the mean wait after a failed attempt to join. It varies by half, as a fleet
// that starts writes its rows faster than a part of the store takes them.
const retryDelay = 300 * time.Millisecond

// errRowGone means that the store was restored after it had acknowledged the VM's row.
var errRowGone = errors.New("the store no longer has the VM's row")

// Member is a VM of the fleet.
type Member struct {
	Name       string `json:"-"`
	DataCentre string `json:"data-centre"`
	// Address is the IP address and UDP port for messages.
	Address string `json:"address"`
	// Leaving is true once the VM has announced that it stops. It may go on to serve for a while. VMs up to f78941f
	// don't know it.
	Leaving bool `json:"leaving,omitempty"`
}

// Members are all VMs that have joined but those that have stopped as planned since, and the key of their messages.
type Members struct {
	// Era is the era of the store in which it had the rows and the key.
	Era uint64
	Key []byte
	All []Member
	// Suspects are the requests that crash targets, as VMs last wrote them.
	Suspects
}

// Store is the platform's store, as implemented by platform.Store.
type Store interface {
	Read(ctx context.Context, table, part string, onLongTransfer func()) (platform.Reading, error)
	Commit(ctx context.Context, transaction platform.Transaction) error
}

// Registrar registers a VM. The fields must be set before Join.
type Registrar struct {
	Store Store
	Log   *logrus.Entry
	// FirstStart is true if the whole fleet starts for the first time, so that the VM has no
	// row yet and need not look for one.
	FirstStart bool

	// registered is true once the store has the VM's row.
	registered bool
	// announced is the version of the VM's row that announces its stop, 0 if there is none that is known.
	announced atomic.Uint64
}

// Join registers the VM and returns all VMs registered so far, including itself. It
// retries until it succeeds or the context ends. Of two VMs that join concurrently, at
// least the one that registers second finds the other.
func (registrar *Registrar) Join(ctx context.Context, member Member) (Members, error) {
	for {
		members, err := registrar.join(ctx, member)
		if err == nil {
			return members, nil
		}
		registrar.Log.WithError(err).Warn("join-failed")
		if !timer.Sleep(ctx, time.Duration((0.5+mathrand.Float64())*float64(retryDelay))) {
			return Members{}, fmt.Errorf("join the fleet: %w", context.Cause(ctx))
		}
	}
}

// Announce writes into the VM's row that it stops, so that a start of the VM writes the row anew. Otherwise the store could
// perform Deregister late, and delete the row of a VM that has started again.
func (registrar *Registrar) Announce(ctx context.Context, member Member) error {
	member.Leaving = true
	if err := registrar.writeMember(ctx, member); err != nil {
		return err
	}
	found, err := registrar.read(ctx)
	if err != nil {
		return err
	}
	if slices.Contains(found.All, member) {
		registrar.announced.Store(found.versions[member.Name])
	}
	return nil
}

// errNotAnnounced means that the VM's row does not announce its stop as far as is known, so that it stays.
var errNotAnnounced = errors.New("the stop of the VM was not announced")

// Deregister deletes the VM's row if it is still the one that Announce has written: VMs that start then don't count the
// VM as one that they can't reach, which keeps its part of all rates. The VM must not serve any more.
func (registrar *Registrar) Deregister(ctx context.Context, member Member) error {
	version := registrar.announced.Load()
	if version == 0 {
		return errNotAnnounced
	}
	key := vmPrefix + member.Name
	return registrar.commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: table, Key: key, Version: version}},
		Deletes:    []platform.RowKey{{Table: table, Key: key}},
	})
}

func (registrar *Registrar) join(ctx context.Context, member Member) (Members, error) {
	if !registrar.registered && !registrar.FirstStart {
		found, err := registrar.read(ctx)
		if err != nil {
			return Members{}, err
		}
		registrar.registered = slices.Contains(found.All, member)
		if registrar.registered && len(found.Key) > 0 && found.wait() == 0 {
			return found.Members, nil // a restart
		}
	}
	found, err := registrar.register(ctx, member)
	if err != nil {
		return Members{}, err
	}
	if wait := found.wait(); wait > 0 {
		if err := registrar.settle(ctx, found, wait); err != nil {
			return Members{}, err
		}
		if found, err = registrar.register(ctx, member); err != nil {
			return Members{}, err
		}
	}
	members := found.Members
	if len(members.Key) == 0 {
		if members.Key, err = registrar.createKey(ctx); err != nil {
			return Members{}, err
		}
	}
	if len(members.Key) != keyLength {
		return Members{}, fmt.Errorf("the key of the fleet has %d bytes, must be %d", len(members.Key), keyLength)
	}
	return members, nil
}

// register writes the VM's row unless the store has it, and returns the table.
func (registrar *Registrar) register(ctx context.Context, member Member) (contents, error) {
	if !registrar.registered {
		if err := registrar.writeMember(ctx, member); err != nil {
			return contents{}, err
		}
		registrar.registered = true
	}
	// Read after writing: of two VMs that register concurrently, the second then finds the
	// first.
	found, err := registrar.read(ctx)
	if err != nil {
		return contents{}, err
	}
	if registrar.registered = slices.Contains(found.All, member); !registrar.registered {
		return contents{}, errRowGone
	}
	return found, nil
}

// settle waits until the VMs that were up have written again what the copy lacked.
func (registrar *Registrar) settle(ctx context.Context, found contents, wait time.Duration) error {
	if found.unmarked() {
		mark, err := found.newMark()
		if err != nil {
			return err
		}
		var conflict *platform.ConflictError // another VM has written it
		err = registrar.commit(ctx, platform.Transaction{
			Conditions: []platform.Condition{found.markCondition()}, Writes: []platform.Write{mark},
		})
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	registrar.Log.WithField("wait", wait).Info("join-delayed")
	if !timer.Sleep(ctx, wait) {
		return fmt.Errorf("wait for the rows of other VMs: %w", context.Cause(ctx))
	}
	return nil
}

// Verify writes again what the store lacks after it was restored: the row of this VM, those
// of its group, and the key. It returns all VMs registered so far and the key that the store
// has.
func (registrar *Registrar) Verify(ctx context.Context, member Member, key []byte, group []Member) (Members, error) {
	found, err := registrar.read(ctx)
	if err != nil {
		return Members{}, err
	}
	transaction, err := found.repair(member, key, group)
	if err != nil || len(transaction.Writes) == 0 {
		return found.Members, err
	}
	if err := registrar.commit(ctx, transaction); err != nil {
		return Members{}, err
	}
	registrar.Log.WithField("rows", len(transaction.Writes)).Info("rows-written-again")
	// Read after writing, as when joining.
	if found, err = registrar.read(ctx); err != nil {
		return Members{}, err
	}
	if transaction, err = found.repair(member, key, group); err == nil && len(transaction.Writes) > 0 {
		err = errRowGone
	}
	return found.Members, err
}

// contents are those of the table.
type contents struct {
	Members
	// malformed are the names in rows of VMs that can't be read, and versions the versions of those that can.
	malformed   map[string]bool
	versions    map[string]uint64
	mark        keeper.Mark
	markVersion uint64
	// storeTime is on the store's clock.
	storeTime time.Duration
}

func (contents *contents) wait() time.Duration {
	return contents.mark.Wait(contents.Era, contents.storeTime)
}

// unmarked reports whether no VM has written to the table since it was restored.
func (contents *contents) unmarked() bool {
	return contents.wait() > 0 && contents.mark.Era != contents.Era
}

func (contents *contents) newMark() (platform.Write, error) {
	value, err := json.Marshal(keeper.Mark{Era: contents.Era, Since: contents.storeTime})
	if err != nil {
		return platform.Write{}, fmt.Errorf("encode mark of the era: %w", err)
	}
	return platform.Write{Table: table, Key: markRow, Value: value}, nil
}

func (contents *contents) markCondition() platform.Condition {
	return platform.Condition{Table: table, Key: markRow, Version: contents.markVersion}
}

// repair returns the transaction that writes what is missing. A row of another VM is only
// written if there is none, as the VM may have joined with another address.
func (contents *contents) repair(member Member, key []byte, group []Member) (platform.Transaction, error) {
	var transaction platform.Transaction
	add := func(write platform.Write, condition platform.Condition) {
		transaction.Writes = append(transaction.Writes, write)
		transaction.Conditions = append(transaction.Conditions, condition)
	}
	if len(contents.Key) == 0 {
		add(platform.Write{Table: table, Key: keyRow, Value: key}, platform.Condition{Table: table, Key: keyRow})
	}
	if contents.unmarked() {
		mark, err := contents.newMark()
		if err != nil {
			return platform.Transaction{}, err
		}
		add(mark, contents.markCondition())
	}
	known := make(map[string]Member, len(contents.All))
	for _, other := range contents.All {
		known[other.Name] = other
	}
	for _, other := range append([]Member{member}, group...) {
		stored, exists := known[other.Name]
		if exists && stored == member || (exists || contents.malformed[other.Name]) && other.Name != member.Name {
			continue
		}
		write, err := memberWrite(other)
		if err != nil {
			return platform.Transaction{}, err
		}
		if exists || contents.malformed[other.Name] {
			transaction.Writes = append(transaction.Writes, write)
			continue
		}
		add(write, platform.Condition{Table: table, Key: write.Key})
	}
	return transaction, nil
}

func (registrar *Registrar) read(ctx context.Context) (contents, error) {
	reading, err := registrar.Store.Read(ctx, table, "", nil)
	if err != nil {
		return contents{}, fmt.Errorf("read members: %w", err)
	}
	found := contents{
		Members: Members{Era: reading.Era}, malformed: make(map[string]bool), versions: make(map[string]uint64), storeTime: reading.StoreTime,
	}
	for _, row := range reading.Rows {
		name, isVM := strings.CutPrefix(row.Key, vmPrefix)
		switch {
		case row.Key == keyRow:
			found.Key = row.Value
		case row.Key == markRow:
			found.markVersion = row.Version
			if err := json.Unmarshal(row.Value, &found.mark); err != nil {
				found.mark = keeper.Mark{}
				registrar.Log.WithError(err).Warn("mark-malformed")
			}
		case row.Key == blocksRow || row.Key == crashesRow:
			registrar.decodeSuspects(row, &found.Suspects)
		case isVM:
			other := Member{Name: name}
			if err := json.Unmarshal(row.Value, &other); err != nil {
				registrar.Log.WithError(err).WithField("peer", name).Warn("member-malformed")
				found.malformed[name] = true
				continue
			}
			found.All, found.versions[name] = append(found.All, other), row.Version
		}
	}
	return found, nil
}

func memberWrite(member Member) (platform.Write, error) {
	value, err := json.Marshal(member)
	if err != nil {
		return platform.Write{}, fmt.Errorf("encode member: %w", err)
	}
	return platform.Write{Table: table, Key: vmPrefix + member.Name, Value: value}, nil
}

// writeMember writes the VM's row.
func (registrar *Registrar) writeMember(ctx context.Context, member Member) error {
	write, err := memberWrite(member)
	if err != nil {
		return err
	}
	return registrar.commit(ctx, platform.Transaction{Writes: []platform.Write{write}})
}

// createKey writes a new key, and returns it, or the key that another VM has written
// meanwhile.
func (registrar *Registrar) createKey(ctx context.Context) ([]byte, error) {
	key := make([]byte, keyLength)
	if _, err := rand.Read(key); err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	err := registrar.commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Table: table, Key: keyRow}},
		Writes:     []platform.Write{{Table: table, Key: keyRow, Value: key}},
	})
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return key, err
	}
	for _, row := range conflict.Rows {
		if row.Key == keyRow {
			return row.Value, nil
		}
	}
	return nil, fmt.Errorf("the store's conflict lacks the key of the fleet: %w", err)
}

func (registrar *Registrar) commit(ctx context.Context, transaction platform.Transaction) error {
	if err := registrar.Store.Commit(ctx, transaction); err != nil {
		return fmt.Errorf("register VM: %w", err)
	}
	return nil
}
