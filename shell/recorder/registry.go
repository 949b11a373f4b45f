package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"godwitramp.example/core/confirmer"
	"godwitramp.example/shell/connector"
)

const (
	vmPrefix           = "config/vm/"
	confirmationPrefix = "config/confirmation/"
	maxRows            = 20_000
)

// Confirmations is a row with the confirmations that one VM has merged.
type Confirmations struct {
	Confirmed []confirmer.Confirmation
}

// Register records a VM that has to confirm. A VM that has started again
// replaces its predecessor.
func (recorder *Recorder) Register(ctx context.Context, registration confirmer.Registration) error {
	return recorder.put(ctx, vmPrefix+registration.VM, registration)
}

// Registered reports whether the registration is on record.
func (recorder *Recorder) Registered(ctx context.Context, registration confirmer.Registration) (bool, error) {
	var found confirmer.Registration
	_, err := recorder.read(ctx, vmPrefix+registration.VM, &found)
	return found == registration, err
}

// Deregister takes back the registration of a VM that stops, unless the VM
// has registered anew meanwhile.
func (recorder *Recorder) Deregister(ctx context.Context, registration confirmer.Registration) error {
	var found confirmer.Registration
	key := vmPrefix + registration.VM
	row, err := recorder.read(ctx, key, &found)
	if err != nil {
		return err
	}
	if found != registration {
		return nil
	}
	return recorder.transact(ctx, connector.Transaction{
		ID:         fmt.Sprintf("deregister/%s/%d", registration.VM, registration.Incarnation),
		Conditions: []connector.Condition{{Key: key, Version: row.Version}},
		Deletes:    []string{key, confirmationPrefix + registration.VM},
	})
}

// Confirm records the confirmations that the VM named has merged.
func (recorder *Recorder) Confirm(ctx context.Context, vm string, confirmations []confirmer.Confirmation) error {
	return recorder.put(ctx, confirmationPrefix+vm, Confirmations{Confirmed: confirmations})
}

// Registrations returns the VMs that have to confirm.
func (recorder *Recorder) Registrations(ctx context.Context) ([]confirmer.Registration, error) {
	rows, err := recorder.Platform.Scan(ctx, vmPrefix, maxRows)
	if err != nil {
		return nil, fmt.Errorf("read registered VMs: %w", err)
	}
	registrations := make([]confirmer.Registration, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &registrations[i]); err != nil {
			return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
		}
	}
	return registrations, nil
}

// Confirmed returns the confirmations of all VMs, merged.
func (recorder *Recorder) Confirmed(ctx context.Context) (*confirmer.Confirmer, error) {
	rows, err := recorder.Platform.Scan(ctx, confirmationPrefix, maxRows)
	if err != nil {
		return nil, fmt.Errorf("read confirmations: %w", err)
	}
	merged := confirmer.New()
	for _, row := range rows {
		var found Confirmations
		if err := json.Unmarshal(row.Value, &found); err != nil {
			return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
		}
		merged.Merge(found.Confirmed)
	}
	return merged, nil
}

func (recorder *Recorder) put(ctx context.Context, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode row %q: %w", key, err)
	}
	return recorder.transact(ctx, connector.Transaction{ID: key, Puts: []connector.Put{{Key: key, Value: encoded}}})
}

// transact writes rows that nobody else writes, so that a lost answer needs
// no settling: the caller writes again.
func (recorder *Recorder) transact(ctx context.Context, transaction connector.Transaction) error {
	outcome, err := recorder.Platform.Transact(ctx, transaction)
	if err != nil {
		return fmt.Errorf("write %s: %w", transaction.ID, err)
	}
	if !outcome.Committed {
		return fmt.Errorf("write %s: %w", transaction.ID, errConflict)
	}
	return nil
}

var errConflict = errors.New("a row has changed meanwhile")
