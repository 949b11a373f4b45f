package runner

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"godwitramp.example/soak/internal/auditor"
	"godwitramp.example/soak/internal/relayer"
)

// DataCentres returns the number of data centres.
func DataCentres() int { return len(dataCentres) }

// dataCentres are assigned to VMs and targets in rotation. regions is the setting that
// gives the region of each.
var dataCentres = []string{"rajkot-a", "junagadh-b", "bhuj-a", "anjar-b"}

const regions = "rajkot-a:saurashtra, junagadh-b:saurashtra, bhuj-a:kutch, anjar-b:kutch"

// regionOf returns the region of a data centre.
func regionOf(dataCentre string) string {
	if slices.Index(dataCentres, dataCentre) < len(dataCentres)/2 {
		return "saurashtra"
	}
	return "kutch"
}

// vm is a VM. Its process may be restarted under the same name and addresses.
type vm struct {
	runner *Runner
	index  int

	name                             string
	callersAddress, readinessAddress string
	settingsFile                     string
	// storeLink relays the VM's connections to the store.
	storeLink *relayer.Relayer
	ready     atomic.Bool

	mutex   sync.Mutex
	process *process
	// starts counts the processes started so far.
	starts int
}

// process is one start of a VM.
type process struct {
	// number counts the processes of the VM from 1.
	number  int
	command *exec.Cmd
	started time.Time
	// endRequested is true once the soak has sent SIGTERM or SIGKILL.
	endRequested atomic.Bool
	ended        chan struct{}
	err          error // set before ended is closed
}

// open starts the relayer to the store, the first process and the health check of the
// VM.
func (vm *vm) open(ctx context.Context, group *sync.WaitGroup) error {
	network := &vm.runner.network
	vm.name = fmt.Sprintf("vm-%03d", vm.index+1)
	vm.callersAddress, vm.readinessAddress = network.address(vmHosts, vm.index, basePort), network.address(vmHosts, vm.index, basePort+1)
	listener, err := net.Listen("tcp", network.address(storeHosts, vm.index, basePort))
	if err != nil {
		return fmt.Errorf("listen for connections of %s to the store: %w", vm.name, err)
	}
	vm.storeLink = &relayer.Relayer{Listener: listener, To: network.address(0, 0, basePort)}
	group.Go(func() { vm.storeLink.Run(ctx) })
	dataCentre := dataCentres[vm.index%len(dataCentres)]
	vm.runner.addPlace(vm.name, dataCentre)
	vm.settingsFile = filepath.Join(vm.runner.Directory, vm.name+".ini")
	text := fmt.Sprintf(`[vm]
name = %s
region = %s
data-centre = %s
memory-mb = 284
descriptors = 4100
[fleet]
regions = %s
[listen]
callers = %s
readiness = %s
operators = %s
messages = %s
[store]
address = %s
[changes]
propagation = %s
leaving = %s
[keys]
withdrawal = %s
[stop]
grace = %s
`, vm.name, regionOf(dataCentre), dataCentre, regions, vm.callersAddress, vm.readinessAddress,
		network.address(vmHosts, vm.index, basePort+2), vm.messagesAddress(), listener.Addr(),
		propagation, leaving, withdrawal, stopGrace)
	if err := os.WriteFile(vm.settingsFile, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := vm.start(); err != nil {
		return err
	}
	group.Go(func() { pollReadiness(ctx, vm) })
	return nil
}

// messagesAddress returns the address at which other VMs reach the VM.
func (vm *vm) messagesAddress() string {
	return vm.runner.network.address(vmHosts, vm.index, basePort+3)
}

// start starts a process unless one is running. When the process ends, it reports a
// violation unless the soak had sent SIGTERM or SIGKILL.
func (vm *vm) start() error {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(vm.runner.Directory, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", vm.name, err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	program := vm.runner.Program
	if vm.runner.Former != "" && vm.starts == 0 {
		program = vm.runner.Former
	}
	command := exec.Command(program, "--settings", vm.settingsFile)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", vm.name, err)
	}
	vm.starts++
	process := &process{number: vm.starts, command: command, started: time.Now(), ended: make(chan struct{})}
	vm.process = process
	go func() {
		process.err = command.Wait()
		vm.mutex.Lock()
		vm.process = nil
		vm.mutex.Unlock()
		if !process.endRequested.Load() {
			vm.runner.addViolation("stays-up", "%s exited unexpectedly: %v", vm.name, process.err)
		}
		close(process.ended)
	}()
	return nil
}

// restart starts a new process and reports a violation if that fails.
func (vm *vm) restart() {
	if err := vm.start(); err != nil {
		vm.runner.addViolation("starts", "%v", err)
	}
}

// current returns the running process, nil if there is none, and the number of
// processes started so far.
func (vm *vm) current() (*process, int) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.process, vm.starts
}

// signal sends a signal to the running process and returns the process. It returns nil
// if none is running.
func (vm *vm) signal(signal os.Signal) *process {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.process == nil {
		return nil
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		vm.process.endRequested.Store(true)
	}
	if err := vm.process.command.Process.Signal(signal); err != nil {
		return nil // the process has just ended
	}
	return vm.process
}

// kill kills the process, if one is running, and waits until it has ended.
func (vm *vm) kill() {
	if process := vm.signal(syscall.SIGKILL); process != nil {
		<-process.ended
	}
}

// stop sends SIGTERM and waits for the process to exit; it kills the process after
// stopGrace and stopSlack. It reports a violation if the process exits late or with an
// error, unless the VM was disturbed meanwhile.
func (vm *vm) stop() {
	stopStarted := time.Now()
	process := vm.signal(syscall.SIGTERM)
	if process == nil {
		return
	}
	defer func() {
		stop := auditor.Stop{VM: vm.name, Start: process.number, From: stopStarted, Until: time.Now()}
		vm.runner.update(func(record *auditor.Record) { record.Stops = append(record.Stops, stop) })
	}()
	select {
	case <-process.ended:
		if process.err != nil && !vm.runner.disturbed(vm.name, stopStarted) {
			vm.runner.addViolation("planned-stop", "%s exited with an error: %v", vm.name, process.err)
		}
	case <-time.After(stopGrace + stopSlack):
		if !vm.runner.disturbed(vm.name, stopStarted) {
			vm.runner.addViolation("planned-stop", "%s did not exit within its grace period of %s", vm.name, stopGrace)
		}
		vm.kill()
	}
}
