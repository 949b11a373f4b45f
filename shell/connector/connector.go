// Package connector is the client of the platform: its transactional table
// service, its object store and its list of VMs.
//
// The platform may be unavailable or slow, and an answer may be lost after a
// write has taken effect. After a LostAnswerError, the caller has to read the
// rows to find out whether its write took effect. It chooses the ID of a
// Transaction and may store it in the rows to recognise its own write.
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

// Row is a row of the table service. Version is the number of writes to the
// key, 0 if the row does not exist.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition holds if the row with the key has the version.
type Condition struct {
	Key     string
	Version uint64
}

// Put writes one row.
type Put struct {
	Key   string
	Value []byte
}

// Transaction takes effect as a whole if all its conditions hold, and not at
// all otherwise.
type Transaction struct {
	// ID names the transaction in the log of the platform.
	ID         string
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Outcome says whether a transaction took effect and, if not, has the current
// rows of the conditions that did not hold.
type Outcome struct {
	Committed bool
	Conflicts []Row
}

// VMState is the state of a VM according to the platform.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs, which may be out of date.
type VM struct {
	Name       string
	Region     string
	DataCentre string
	// Callers is the address to which the balancer sends requests.
	Callers string
	// Peers is the address for calls from other VMs and from operators.
	Peers string
	State VMState
}

// Platform has the calls to the platform. Each may return an *UnavailableError
// or a *LostAnswerError.
type Platform interface {
	// Transact commits a transaction if all its conditions hold.
	Transact(ctx context.Context, transaction Transaction) (Outcome, error)
	// Row returns a row. Its version is 0 if it does not exist.
	Row(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys begin with prefix, sorted by
	// key.
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
	// PutObject stores an object, replacing one of the same name.
	PutObject(ctx context.Context, name string, data []byte) error
	// Object returns an object, or a *NotFoundError.
	Object(ctx context.Context, name string) ([]byte, error)
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}

// UnavailableError says that the platform did not execute the call.
type UnavailableError struct {
	Reason string
}

// Error describes the failure.
func (err *UnavailableError) Error() string { return "platform is unavailable: " + err.Reason }

// LostAnswerError says that there was no valid answer. A write may have taken
// effect.
type LostAnswerError struct {
	Cause error
}

// Error describes the failure.
func (err *LostAnswerError) Error() string {
	return fmt.Sprintf("no valid answer from the platform: %v", err.Cause)
}

// Unwrap returns the cause.
func (err *LostAnswerError) Unwrap() error { return err.Cause }

// NotFoundError says that an object does not exist.
type NotFoundError struct {
	Name string
}

// Error names the object.
func (err *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", err.Name) }
