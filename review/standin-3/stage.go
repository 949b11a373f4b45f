package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// stage is a small deployment on loopback: a store, targets that register there, and VMs that run the project's program.
type stage struct {
	// root is the root of the repository, and folder a temporary folder for settings and logs.
	root, folder string
	store        *faker.Store
	storeAddress string
	record       *record
	vms          []*vm
	// context ends with the stage.
	context context.Context
	cancel  context.CancelFunc
}

// zones of the stage with their regions, as the settings of a VM name them.
const zones = "rajkot-a:saurashtra,bhuj-a:kutch,anand-a:charotar,"

var zoneNames = []string{"rajkot-a", "bhuj-a", "anand-a"}

var regionOf = map[string]string{"rajkot-a": "saurashtra", "bhuj-a": "kutch", "anand-a": "charotar"}

// record is the file that tells what was sent, answered and run, with the seconds since the start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (record *record) say(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%9.3f s  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, values...))
}

// newStage opens the store and the record.
func newStage(root, recordFile string) (*stage, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	stage := &stage{root: root, folder: folder, store: &faker.Store{}, record: &record{file: file, start: time.Now()}}
	stage.context, stage.cancel = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	stage.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, stage.store) }()
	return stage, nil
}

// configure writes a configuration as the operator does.
func (stage *stage) configure(configuration indexer.Configuration) {
	stage.store.Put(platform.ConfigurationTable, "", platform.ConfigurationKey, faker.EncodeConfiguration(configuration))
}

// register writes the entry of a target now and each heartbeat until the context ends.
func (stage *stage) register(ctx context.Context, target placer.Target) {
	for sequence := int64(1); ; sequence++ {
		stage.store.Put(platform.TargetTable, "", target.ID, faker.EncodeEntry(target, sequence))
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// vm is a VM with a process of the gateway.
type vm struct {
	stage      *stage
	name, zone string
	// callers and readiness are its addresses for callers and for readiness checks, and settings is its settings file.
	callers, readiness, settings string
	command                      *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// nextHost counts the VMs, each of which has a loopback address of its own.
var nextHost atomic.Int64

// freePort returns the address of a free port of a host.
func freePort(host string) string {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// addVM writes the settings of a VM, by the template of the deploy file.
func (stage *stage) addVM(zone string, memoryMB, descriptors int, first bool, storeAddress string) (*vm, error) {
	number := nextHost.Add(1)
	host := fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, number)
	vm := &vm{stage: stage, name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone}
	vm.callers, vm.readiness = freePort(host), freePort(host)
	messages, operators := freePort(host), freePort(host)
	template, err := os.ReadFile(filepath.Join(stage.root, "deploy/vm.ini"))
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"Node": vm.name, "Region": regionOf[zone], "Zone": zone, "Limits.MemoryMb": strconv.Itoa(memoryMB), "Limits.FileDescriptors": strconv.Itoa(descriptors),
		"Bootstrap": strconv.FormatBool(first), "Listen.Front": vm.callers, "Listen.ReadinessAddress": vm.readiness, "Platform.Address": storeAddress,
		"Bounds.ConfigPropagation": "2000ms", "Bounds.StretchMax": "5000ms", "Bounds.Drain": "2000ms", "Bounds.Revocation": "5000ms", "Bounds.GracePeriod": "6s",
		"Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryBudgetExtra": "60", "Bounds.BudgetWindow": "10s", "Bounds.QuotaWindow": "5s", "Bounds.QuotaOvershoot": "0.1",
		"Bounds.QuotaTolerance": "20", "Bounds.FloorShare": "0.7", "Bounds.WarmupOvershoot": "", "Bounds.WarmupTolerance": "",
	}
	text := string(template)
	text = strings.ReplaceAll(text, "{{#Zones}}{{@}}:{{.}},{{/Zones}}", zones)
	text = strings.ReplaceAll(text, "{{IpAddress}}:{{InternalPortRange.1}}", operators)
	text = strings.ReplaceAll(text, "{{IpAddress}}:{{InternalPortRange.0}}", messages)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template has a placeholder that this stage doesn't know:\n%s", text)
	}
	vm.settings = filepath.Join(stage.folder, vm.name+".ini")
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	stage.vms = append(stage.vms, vm)
	return vm, nil
}

// start starts the process with the command of the deploy file.
func (vm *vm) start() error {
	log, err := os.OpenFile(filepath.Join(vm.stage.folder, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	vm.command = exec.Command(filepath.Join(vm.stage.root, "target/gateway"))
	vm.command.Dir = vm.stage.root
	vm.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + vm.settings}
	vm.command.Stdout, vm.command.Stderr = log, log
	vm.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the stage is killed
	if err := vm.command.Start(); err != nil {
		return err
	}
	vm.ended = make(chan struct{})
	command, ended := vm.command, vm.ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (vm *vm) signal(signal syscall.Signal) { _ = vm.command.Process.Signal(signal) }

// awaitReady waits until the VM says that it is ready.
func (vm *vm) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + vm.readiness + platform.ReadinessPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", vm.name, timeout)
}

// startVMs adds VMs, starts them and waits until they are ready, and for StabilityWindow.
func (stage *stage) startVMs(count, memoryMB, descriptors int) error {
	for i := range count {
		if _, err := stage.addVM(zoneNames[i%len(zoneNames)], memoryMB, descriptors, true, stage.storeAddress); err != nil {
			return err
		}
	}
	for _, vm := range stage.vms {
		if err := vm.start(); err != nil {
			return err
		}
	}
	for _, vm := range stage.vms {
		if err := vm.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(stabilityWindow + time.Second)
	return nil
}

// close ends all processes of the stage.
func (stage *stage) close() {
	stage.cancel()
	for _, vm := range stage.vms {
		if vm.ended == nil { // it was not started
			continue
		}
		vm.signal(syscall.SIGCONT)
		vm.signal(syscall.SIGKILL)
		<-vm.ended
	}
	_ = stage.record.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(stage.folder)
	} else {
		fmt.Println("kept", stage.folder)
	}
}
