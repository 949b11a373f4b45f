// Package describer gives operators the status of a VM: the revision in force,
// whether the VM is ready, and which targets are ejected and why.
//
// A VM answers over net/rpc on its address for peers, so only clients with a
// certificate of the fleet's authority get an answer.
//
// # Usage
//
//	err := server.Register(&describer.Describer{Source: source}) // on a VM
//
//	client := &describer.Client{Caller: caller} // in the operators' command
//	status, err := client.Status(ctx, vm.Peers)
package describer

import (
	"context"
	"fmt"
	"time"

	"godwitramp.example/shell/caller"
)

// Status is the status of a VM at one moment.
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
	// KeysKnown is false while the VM's configuration may be too old to
	// include all withdrawals of keys.
	KeysKnown bool       `json:"keys-known"`
	Ejections []Ejection `json:"ejections,omitempty"`
}

// Ejection is an ejected target.
type Ejection struct {
	// Target is the path of the target.
	Target string `json:"target"`
	// Reason is the kind of evidence that led to the ejection, such as
	// "failures".
	Reason string `json:"reason"`
	// Since is zero if the VM doesn't know it.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// By is the VM that holds the permit for the ejection.
	By       string     `json:"by"`
	Evidence []Evidence `json:"evidence"`
}

// Evidence has the answers that one VM has counted for a target.
type Evidence struct {
	VM       string `json:"vm"`
	Good     uint64 `json:"good"`
	Failures uint64 `json:"failures"`
	Slow     uint64 `json:"slow"`
}

// Describer is the net/rpc service of a VM that returns its status.
type Describer struct {
	// Source returns the current status. It must be safe for concurrent use.
	Source func() Status
}

// Question is the argument of Describe. It is empty.
type Question struct{}

// Describe returns the VM's status. It is called over net/rpc.
func (describer *Describer) Describe(_ Question, status *Status) error {
	*status = describer.Source()
	return nil
}

const describeMethod = "Describer.Describe"

// Client requests the status of VMs.
type Client struct {
	Caller *caller.Caller
}

// Status returns the status of the VM at the address.
func (client *Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	if err := client.Caller.Call(ctx, address, describeMethod, Question{}, &status); err != nil {
		return status, fmt.Errorf("request status: %w", err)
	}
	return status, nil
}
