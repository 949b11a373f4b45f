// Package connector talks to the platform: its transactional table service,
// its object store and its list of VMs.
//
// The platform may be away, slow, or lose an answer after a write has taken
// effect. A Transaction therefore carries an ID of the caller's choice: after
// an UnknownError the caller reads back what it meant to write.
//
// # Usage
//
//	client := &connector.Client{Base: "http://127.0.0.1:6000"}
//	outcome, err := client.Transact(ctx, connector.Transaction{ID: id, Puts: puts})
package connector

import (
	"context"
	"fmt"
)

// Row is one row of the table service. Version counts the writes to the key
// and is 0 for a row that does not exist.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition holds when the row with the given key has the given version.
type Condition struct {
	Key     string
	Version uint64
}

// Put is one row to be written.
type Put struct {
	Key   string
	Value []byte
}

// Transaction takes effect as a whole if all its conditions hold.
type Transaction struct {
	// ID names the transaction in the platform's log.
	ID         string
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Outcome says whether a transaction took effect, and if not, which rows
// stand otherwise than its conditions say.
type Outcome struct {
	Committed bool
	Conflicts []Row
}

// VMState is what the platform says of a VM.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list, which lags behind the truth.
type VM struct {
	Name       string
	Region     string
	DataCentre string
	// Callers is where the balancer sends requests.
	Callers string
	// Peers is where other VMs of the fleet call.
	Peers string
	State VMState
}

// Platform is what the fleet needs of the platform.
type Platform interface {
	// Transact writes rows if all conditions hold.
	Transact(ctx context.Context, transaction Transaction) (Outcome, error)
	// Row returns a row; one that does not exist has version 0.
	Row(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys begin with prefix, sorted by key, at
	// most limit of them.
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, name string, data []byte) error
	// Object returns an object, or a *NotFoundError.
	Object(ctx context.Context, name string) ([]byte, error)
	// VMs returns the platform's list.
	VMs(ctx context.Context) ([]VM, error)
}

// UnavailableError says that the platform did nothing.
type UnavailableError struct {
	Reason string
}

// Error gives the reason.
func (err *UnavailableError) Error() string { return "platform is unavailable: " + err.Reason }

// UnknownError says that the answer was lost: a write may have taken effect.
type UnknownError struct {
	Cause error
}

// Error gives the cause.
func (err *UnknownError) Error() string {
	return fmt.Sprintf("answer of the platform was lost: %v", err.Cause)
}

// Unwrap returns the cause.
func (err *UnknownError) Unwrap() error { return err.Cause }

// NotFoundError says that an object does not exist.
type NotFoundError struct {
	Name string
}

// Error names the object.
func (err *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", err.Name) }
