package commander

import (
	"context"
	"fmt"
	"sync"
	"time"

	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/certifier"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/describer"
)

const (
	// maxConcurrentCalls limits the calls to VMs in flight.
	maxConcurrentCalls = 64
	// statusTimeout is the timeout of a call to one VM.
	statusTimeout = 2 * time.Second
)

// certificateOptions name the files that authenticate an operator to VMs.
type certificateOptions struct {
	Authority   string `long:"authority" env:"GODWITRAMP_AUTHORITY" description:"certificate of the fleet's authority"`
	Certificate string `long:"certificate" env:"GODWITRAMP_CERTIFICATE" description:"your certificate"`
	Key         string `long:"key" env:"GODWITRAMP_KEY" description:"private key of your certificate"`
}

// statusClient returns a client with the operator's certificate, and a function
// that closes its connections.
func (commander *Commander) statusClient(options certificateOptions) (StatusClient, func(), error) {
	if commander.StatusClient != nil {
		return commander.StatusClient, func() {}, nil
	}
	files := certifier.Files{Authority: options.Authority, Certificate: options.Certificate, Key: options.Key}
	if files.Authority == "" || files.Certificate == "" || files.Key == "" {
		return nil, nil, &usageError{Message: "VMs answer only holders of a certificate; give --authority, --certificate and --key"}
	}
	config, err := certifier.Load(files)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificates: %w", err)
	}
	vmCaller := &caller.Caller{TLS: config}
	return &describer.Client{Caller: vmCaller}, vmCaller.Close, nil
}

// answer is the status of one VM, or the error of the call to it.
type answer struct {
	VM     connector.VM
	Status describer.Status
	Err    error
}

// requestStatuses requests the status of the VMs concurrently. The answers are
// in the order of the VMs.
func (commander *Commander) requestStatuses(client StatusClient, vms []connector.VM) []answer {
	answers := make([]answer, len(vms))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var group sync.WaitGroup
	for i, vm := range vms {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(commander.ctx, statusTimeout)
			defer cancel()
			status, err := client.Status(ctx, vm.Peers)
			answers[i] = answer{VM: vm, Status: status, Err: err}
		})
	}
	group.Wait()
	return answers
}

// addressOption gives the addresses of VMs, for use when the platform's list
// can't be read.
type addressOption struct {
	VMs []string `long:"vm" description:"ask the VM at this address for peers instead of those on the platform's list; may be given more than once" value-name:"ADDRESS"`
}

// listVMs returns the VMs given on the command line, or those on the platform's
// list if none are given.
func (commander *Commander) listVMs(option addressOption) ([]connector.VM, error) {
	var fromFlags []connector.VM
	for _, address := range option.VMs {
		fromFlags = append(fromFlags, connector.VM{Name: address, Peers: address})
	}
	if len(fromFlags) > 0 {
		return fromFlags, nil
	}
	platform, err := commander.platform()
	if err != nil {
		return nil, err
	}
	vms, err := platform.VMs(commander.ctx)
	if err != nil {
		return nil, fmt.Errorf("read list of VMs: %w", err)
	}
	return vms, nil
}

// vmOutput is a VM in the output of vms.
type vmOutput struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data-centre"`
	// Listed is the state of the VM on the platform's list, empty if the list was
	// not read.
	Listed connector.VMState `json:"listed"`
	// Answered is false if the call failed. Then Status is nil and Reason has the
	// error.
	Answered bool              `json:"answered"`
	Reason   string            `json:"reason,omitempty"`
	Status   *describer.Status `json:"status,omitempty"`
}

// line formats the VM as one line of text.
func (vm vmOutput) line() string {
	prefix := fmt.Sprintf("%s  %s/%s", vm.Name, vm.Region, vm.DataCentre)
	if vm.Listed != "" {
		prefix += fmt.Sprintf("  listed=%s", vm.Listed)
	}
	if !vm.Answered {
		return fmt.Sprintf("%s  no answer: %s\n", prefix, vm.Reason)
	}
	status := vm.Status
	return fmt.Sprintf("%s  revision=%d  ready=%t  leaving=%t  keys-known=%t  version=%s\n",
		prefix, status.Revision, status.Ready, status.Leaving, status.KeysKnown, status.Version)
}

// vmOptions select the VMs to call and the certificate for the calls.
type vmOptions struct {
	certificateOptions
	addressOption
}

// vmsAndClient returns the VMs to call, a client for them, and a function that
// closes its connections.
func (commander *Commander) vmsAndClient(options vmOptions) (vms []connector.VM, client StatusClient, closeClient func(), err error) {
	vms, err = commander.listVMs(options.addressOption)
	if err != nil {
		return nil, nil, nil, err
	}
	client, closeClient, err = commander.statusClient(options.certificateOptions)
	return vms, client, closeClient, err
}

// vmsCommand lists the VMs.
type vmsCommand struct {
	commander *Commander
	vmOptions
}

// Execute prints the status of each VM, or why it could not be read.
func (command *vmsCommand) Execute([]string) error {
	commander := command.commander
	vms, client, closeClient, err := commander.vmsAndClient(command.vmOptions)
	if err != nil {
		return err
	}
	defer closeClient()
	outputs := []vmOutput{}
	text := ""
	for _, answer := range commander.requestStatuses(client, vms) {
		vm := vmOutput{
			Name: answer.VM.Name, Region: answer.VM.Region, DataCentre: answer.VM.DataCentre, Listed: answer.VM.State,
			Answered: answer.Err == nil,
		}
		if answer.Err != nil {
			vm.Reason = answer.Err.Error()
		} else {
			vm.Status = &answer.Status
			vm.Name, vm.Region, vm.DataCentre = answer.Status.Name, answer.Status.Region, answer.Status.DataCentre
		}
		outputs = append(outputs, vm)
		text += vm.line()
	}
	return commander.print(outputs, text)
}
