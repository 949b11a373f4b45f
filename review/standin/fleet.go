package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// program is what deploy/system.toml runs, in the root of the repository.
const program = "target/gateway"

// dataCentres are those of the sample deployment, all in one region.
var dataCentres = []string{"rajkot-a", "junagadh-b"}

const (
	region       = "saurashtra"
	host         = "review.example"
	organisation = "crews"
	key          = "key-of-the-crews"
	// memoryMB and descriptors are the limits of a machine of the site kundsetu.
	memoryMB    = 284
	descriptors = 4100
)

// settings has the fields of deploy/vm.ini with the bounds of the site kundsetu.
const settings = `[vm]
name = %s
region = %s
data-centre = %s
memory-mb = %d
descriptors = %d
[fleet]
regions = rajkot-a:saurashtra,junagadh-b:saurashtra
first-start = %t
[listen]
callers = %s
readiness = %s
operators = %s
messages = %s
[store]
address = %s
[changes]
propagation = 2000ms
stretch = 5000ms
leaving = 2000ms
[keys]
withdrawal = 5000ms
[stop]
grace = 6s
[retries]
ratio = 0.2
extra = 60
window = 10s
[rates]
window = 5s
overshoot = 0.1
tolerance = 20
[targets]
floor = 0.7
block = 120s
`

// fleet is a store and VMs. Its targets and callers are those of the case.
type fleet struct {
	record    *record
	directory string
	store     *faker.Store
	storeURL  string
	servers   []*http.Server
	vms       []*vm
}

// record is the file that says what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (record *record) printf(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// listen returns a listener on a free loopback port.
func listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 100 {
		listener, err := listen()
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

// openFleet starts a store that holds the configuration.
func openFleet(record *record, configuration indexer.Configuration) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	fleet := &fleet{record: record, directory: directory, store: &faker.Store{}}
	fleet.store.Put(platform.ConfigurationTable, "", platform.ConfigurationKey, faker.EncodeConfiguration(configuration))
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	fleet.storeURL = listener.Addr().String()
	server := &http.Server{Handler: fleet.store, ReadHeaderTimeout: time.Minute}
	fleet.servers = append(fleet.servers, server)
	go func() { _ = server.Serve(listener) }()
	return fleet, nil
}

// putTarget writes the entry of a target.
func (fleet *fleet) putTarget(target placer.Target) {
	fleet.store.Put(platform.TargetTable, "", target.ID, faker.EncodeTarget(target))
}

// close ends all processes that the fleet has started.
func (fleet *fleet) close() {
	for _, vm := range fleet.vms {
		vm.kill()
	}
	for _, server := range fleet.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(fleet.directory)
}

// vm is a process of the program.
type vm struct {
	fleet              *fleet
	name               string
	file               string
	callers, readiness string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// startVM starts a VM in a data centre.
func (fleet *fleet) startVM(name, dataCentre string) (*vm, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	vm := &vm{fleet: fleet, name: name, file: filepath.Join(fleet.directory, name+".ini"), callers: addresses[0], readiness: addresses[1]}
	text := fmt.Sprintf(settings, name, region, dataCentre, memoryMB, descriptors, true, addresses[0], addresses[1], addresses[2], addresses[3], fleet.storeURL)
	if err := os.WriteFile(vm.file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	fleet.vms = append(fleet.vms, vm)
	return vm, vm.start()
}

// start starts the process as the platform does: without arguments, the variable names the settings.
func (vm *vm) start() error {
	log, err := os.OpenFile(vm.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + vm.file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", vm.name, err)
	}
	ended := make(chan struct{})
	vm.mutex.Lock()
	vm.command, vm.ended = command, ended
	vm.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// logFile is where the program's log goes: build/review keeps it after the run.
func (vm *vm) logFile() string { return filepath.Join("build", "review", vm.name+".log") }

func (vm *vm) pid() int {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.command.Process.Pid
}

func (vm *vm) signal(signal syscall.Signal) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	_ = vm.command.Process.Signal(signal)
}

// kill kills the process and waits for its end.
func (vm *vm) kill() {
	vm.mutex.Lock()
	command, ended := vm.command, vm.ended
	vm.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// awaitReady waits until the VM reports that it is ready.
func (vm *vm) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.readiness+platform.ReadinessPath, nil)
		if err != nil {
			return fmt.Errorf("ask for readiness: %w", err)
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", vm.name, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}
