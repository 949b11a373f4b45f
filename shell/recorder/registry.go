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

// Confirmations is the row of the confirmations that one VM has merged.
type Confirmations struct {
	Confirmed []confirmer.Confirmation
}

// Register records a VM whose confirmations are required. A VM that has
// restarted replaces its earlier registration.
func (recorder *Recorder) Register(ctx context.Context, registration confirmer.Registration) error {
	return recorder.put(ctx, vmPrefix+registration.VM, registration)
}

// Registered reports whether exactly this registration is recorded.
func (recorder *Recorder) Registered(ctx context.Context, registration confirmer.Registration) (bool, error) {
	var found confirmer.Registration
	_, err := recorder.read(ctx, vmPrefix+registration.VM, &found)
	return found == registration, err
}

// Deregister deletes the registration and the confirmations of a VM that
// stops. It does nothing if another registration of the VM is recorded, as of a
// newer incarnation.
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

// Confirm records the confirmations that a VM has merged.
func (recorder *Recorder) Confirm(ctx context.Context, vm string, confirmations []confirmer.Confirmation) error {
	return recorder.put(ctx, confirmationPrefix+vm, Confirmations{Confirmed: confirmations})
}

// Registrations returns the VMs whose confirmations are required.
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

// Confirmed returns the merged confirmations of all VMs.
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

// transact commits a transaction that the caller may repeat: either no other
// VM writes the rows, or the transaction is conditional on their versions. A
// lost answer therefore needs no further check.
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

var errConflict = errors.New("a row was changed concurrently")
