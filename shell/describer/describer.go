// Package describer tells operators what a VM knows: the revision in force,
// whether it is ready, and which targets it keeps out of use and why.
//
// A VM answers over net/rpc on its address for peers, so that only holders of
// a certificate of the fleet's authority can ask.
//
// # Usage
//
//	err := server.Register(&describer.Describer{Source: source}) // on a VM
//
//	asker := &describer.Asker{Caller: caller} // in the operators' command
//	status, err := asker.Ask(ctx, vm.Peers)
package describer

import (
	"context"
	"fmt"
	"time"

	"godwitramp.example/shell/caller"
)

// Status is what a VM knows at one moment.
type Status struct {
	Name        string `json:"name"`
	Region      string `json:"region"`
	DataCentre  string `json:"data-centre"`
	Version     string `json:"version"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Digest      string `json:"digest"`
	Ready       bool   `json:"ready"`
	Leaving     bool   `json:"leaving"`
	// KeysKnown is false while the VM can't know of withdrawn keys.
	KeysKnown bool       `json:"keys-known"`
	Ejections []Ejection `json:"ejections,omitempty"`
}

// Ejection is a target that is kept out of use.
type Ejection struct {
	// Target is the path of the target.
	Target string `json:"target"`
	// Reason is the kind of evidence that decided, such as "failures".
	Reason string `json:"reason"`
	// Since is zero if the VM doesn't know.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// By is the VM that holds the permit.
	By       string     `json:"by"`
	Evidence []Evidence `json:"evidence"`
}

// Evidence is what one VM has seen of a target.
type Evidence struct {
	VM       string `json:"vm"`
	Good     uint64 `json:"good"`
	Failures uint64 `json:"failures"`
	Slow     uint64 `json:"slow"`
}

// Describer answers the calls of operators.
type Describer struct {
	// Source returns the VM's status.
	Source func() Status
}

// Question asks a VM for its status.
type Question struct{}

// Describe answers with the VM's status.
func (describer *Describer) Describe(_ Question, status *Status) error {
	*status = describer.Source()
	return nil
}

const method = "Describer.Describe"

// Asker asks VMs for their status.
type Asker struct {
	Caller *caller.Caller
}

// Ask returns the status of the VM that answers at the address.
func (asker *Asker) Ask(ctx context.Context, address string) (Status, error) {
	var status Status
	if err := asker.Caller.Call(ctx, address, method, Question{}, &status); err != nil {
		return status, fmt.Errorf("ask for status: %w", err)
	}
	return status, nil
}
