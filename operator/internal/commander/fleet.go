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
	// askLimit bounds the calls to VMs that run at a time.
	askLimit   = 64
	askTimeout = 2 * time.Second
)

// certificateOptions prove an operator to VMs.
type certificateOptions struct {
	Authority   string `long:"authority" env:"GODWITRAMP_AUTHORITY" description:"certificate of the fleet's authority"`
	Certificate string `long:"certificate" env:"GODWITRAMP_CERTIFICATE" description:"your certificate"`
	Key         string `long:"key" env:"GODWITRAMP_KEY" description:"private key of your certificate"`
}

// asker returns what asks VMs, and a function that ends its connections.
func (commander *Commander) asker(options certificateOptions) (Asker, func(), error) {
	if commander.Asker != nil {
		return commander.Asker, func() {}, nil
	}
	files := certifier.Files{Authority: options.Authority, Certificate: options.Certificate, Key: options.Key}
	if files.Authority == "" || files.Certificate == "" || files.Key == "" {
		return nil, nil, &usageError{Message: "VMs answer only holders of a certificate; give --authority, --certificate and --key"}
	}
	config, err := certifier.Load(files)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificates: %w", err)
	}
	calls := &caller.Caller{TLS: config}
	return &describer.Client{Caller: calls}, calls.Close, nil
}

// answer is what one VM of the platform's list says.
type answer struct {
	VM     connector.VM
	Status describer.Status
	Err    error
}

// ask asks VMs for their status, many at a time. The answers are in the order
// of the VMs.
func (commander *Commander) ask(asker Asker, vms []connector.VM) []answer {
	answers := make([]answer, len(vms))
	slots := make(chan struct{}, askLimit)
	var group sync.WaitGroup
	for i, vm := range vms {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(commander.ctx, askTimeout)
			defer cancel()
			status, err := asker.Status(ctx, vm.Peers)
			answers[i] = answer{VM: vm, Status: status, Err: err}
		})
	}
	group.Wait()
	return answers
}

// addressOption names VMs, for when the platform's list can't be read.
type addressOption struct {
	VMs []string `long:"vm" description:"ask the VM at this address for peers instead of those on the platform's list; may be given more than once" value-name:"ADDRESS"`
}

// list returns the VMs that the command line names, or else the platform's
// list.
func (commander *Commander) list(option addressOption) ([]connector.VM, error) {
	var named []connector.VM
	for _, address := range option.VMs {
		named = append(named, connector.VM{Name: address, Peers: address})
	}
	if len(named) > 0 {
		return named, nil
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

// knownVM is one VM in the output of vms.
type knownVM struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data-centre"`
	// Listed is what the platform says of the VM; empty if it was not asked.
	Listed connector.VMState `json:"listed"`
	// Answered is false if the VM could not be asked; the status is then unknown.
	Answered bool              `json:"answered"`
	Reason   string            `json:"reason,omitempty"`
	Status   *describer.Status `json:"status,omitempty"`
}

// line returns the VM as one line of text.
func (vm knownVM) line() string {
	place := fmt.Sprintf("%s  %s/%s", vm.Name, vm.Region, vm.DataCentre)
	if vm.Listed != "" {
		place += fmt.Sprintf("  listed=%s", vm.Listed)
	}
	if !vm.Answered {
		return fmt.Sprintf("%s  no answer: %s\n", place, vm.Reason)
	}
	status := vm.Status
	return fmt.Sprintf("%s  revision=%d  ready=%t  leaving=%t  keys-known=%t  version=%s\n",
		place, status.Revision, status.Ready, status.Leaving, status.KeysKnown, status.Version)
}

// reachOptions say which VMs to ask, and with which certificate.
type reachOptions struct {
	certificateOptions
	addressOption
}

// reach returns the VMs and what asks them; end closes its connections.
func (commander *Commander) reach(options reachOptions) (vms []connector.VM, asker Asker, end func(), err error) {
	vms, err = commander.list(options.addressOption)
	if err != nil {
		return nil, nil, nil, err
	}
	asker, end, err = commander.asker(options.certificateOptions)
	return vms, asker, end, err
}

// vmsCommand lists the VMs.
type vmsCommand struct {
	commander *Commander
	reachOptions
}

// Execute asks each listed VM for its status.
func (command *vmsCommand) Execute([]string) error {
	commander := command.commander
	vms, asker, end, err := commander.reach(command.reachOptions)
	if err != nil {
		return err
	}
	defer end()
	known := []knownVM{}
	text := ""
	for _, answer := range commander.ask(asker, vms) {
		vm := knownVM{
			Name: answer.VM.Name, Region: answer.VM.Region, DataCentre: answer.VM.DataCentre, Listed: answer.VM.State,
			Answered: answer.Err == nil,
		}
		if answer.Err != nil {
			vm.Reason = answer.Err.Error()
		} else {
			vm.Status = &answer.Status
			vm.Name, vm.Region, vm.DataCentre = answer.Status.Name, answer.Status.Region, answer.Status.DataCentre
		}
		known = append(known, vm)
		text += vm.line()
	}
	return commander.print(known, text)
}
