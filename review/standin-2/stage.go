package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
)

// stage is one run of a case: a store, targets and gateways, all on loopback addresses.
type stage struct {
	ctx    context.Context
	folder string // for settings and logs
	root   string // of the repository
	began  time.Time

	store     *faker.Store
	storeAddr string

	mutex    sync.Mutex
	record   *os.File
	vms      []*vm
	servers  []*http.Server
	arrivals []faker.Arrival
}

// note writes a line to the record.
func (stage *stage) note(format string, args ...any) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	fmt.Fprintf(stage.record, "%8.3f  %s\n", time.Since(stage.began).Seconds(), fmt.Sprintf(format, args...))
}

// seconds is the time since the case began.
func (stage *stage) seconds() float64 { return time.Since(stage.began).Seconds() }

// listen listens on a free port of the loopback address.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// freePort returns a TCP and UDP port that was free a moment ago. It is below the ports that the system picks for
// connections, so that a process finds it free again when it is started again.
func freePort() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(16000))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// serve serves HTTP on a free port and returns its address.
func (stage *stage) serve(handler http.Handler) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ConnContext: faker.KeepConnection}
	stage.servers = append(stage.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (stage *stage) openStore() (err error) {
	stage.store = &faker.Store{}
	stage.storeAddr, err = stage.serve(stage.store)
	return err
}

// configure writes a configuration as the operator does.
func (stage *stage) configure(configuration indexer.Configuration) {
	stage.store.Put(platform.ConfigurationTable, "", platform.ConfigurationKey, faker.EncodeConfiguration(configuration))
	stage.note("operator: configuration r%d acknowledged", configuration.Version)
}

// addTarget starts a target that the handler serves, or the faker's own, and registers it.
func (stage *stage) addTarget(target *faker.Target, centre string, wrap func(http.Handler) http.Handler) error {
	target.Record = func(arrival faker.Arrival) {
		arrival.Body = "" // may be long
		stage.mutex.Lock()
		stage.arrivals = append(stage.arrivals, arrival)
		stage.mutex.Unlock()
	}
	handler := http.Handler(target)
	if wrap != nil {
		handler = wrap(target)
	}
	address, err := stage.serve(handler)
	if err != nil {
		return err
	}
	stage.store.Put(platform.TargetTable, "", target.ID, faker.EncodeTarget(placer.Target{
		ID: target.ID, Service: target.Service, Address: address, DataCentre: centre, Slots: target.Slots, Incarnation: time.Now().UnixMilli(),
	}))
	return nil
}

// ran returns the arrivals at targets by the ID of the request.
func (stage *stage) ran() map[string][]faker.Arrival {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	byID := make(map[string][]faker.Arrival)
	for _, arrival := range stage.arrivals {
		byID[arrival.ID] = append(byID[arrival.ID], arrival)
	}
	return byID
}

// noteRequests writes a line for each request: when it was sent, to which machine, how it ended, and where it arrived.
func (stage *stage) noteRequests(outcomes []outcome) {
	ran := stage.ran()
	outcomes = slices.Clone(outcomes)
	slices.SortFunc(outcomes, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	fmt.Fprintln(stage.record, "requests: ID, sent (s), machine, answer, ended (s); arrivals: target, begun to ended (s), whether it ran, status")
	for _, result := range outcomes {
		answer := strconv.Itoa(result.answer.Status)
		if result.err != nil {
			answer = "none"
		}
		fmt.Fprintf(stage.record, "%s %.3f %s %s %.3f;", result.request.ID, result.sent.Sub(stage.began).Seconds(), result.vm, answer, result.ended.Sub(stage.began).Seconds())
		for _, arrival := range ran[result.request.ID] {
			fmt.Fprintf(stage.record, " %s %.3f to %.3f ran=%t %d", arrival.TargetID, arrival.Begun.Sub(stage.began).Seconds(), arrival.Ended.Sub(stage.began).Seconds(), arrival.Run, arrival.Status)
		}
		fmt.Fprintln(stage.record)
	}
}

// vm is a machine that runs the gateway. The platform starts its process again when it has ended.
type vm struct {
	stage                        *stage
	name                         string
	callers, readiness, settings string
	memoryMB                     int
	values                       map[string]string
	zones                        [][2]string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	closing bool
	peakKB  int
	// overs are the times at which the platform killed the process for its memory, exits those at which it ended otherwise.
	overs, exits []float64
}

var placeholder = regexp.MustCompile(`\{\{[A-Za-z.0-9]+\}\}`)

// render fills in the template of the deploy file as the platform does.
func (stage *stage) render(values map[string]string, zones [][2]string) (string, error) {
	data, err := os.ReadFile(filepath.Join(stage.root, "deploy/vm.ini"))
	if err != nil {
		return "", err
	}
	text := string(data)
	pairs := ""
	for _, zone := range zones {
		pairs += zone[0] + ":" + zone[1] + ","
	}
	text = strings.ReplaceAll(text, "{{#Zones}}{{@}}:{{.}},{{/Zones}}", pairs)
	return placeholder.ReplaceAllStringFunc(text, func(match string) string { return values[strings.Trim(match, "{}")] }), nil
}

// machine describes a machine and the bounds of the site.
type machine struct {
	zone, region string
	memoryMB     int
	descriptors  int
	bounds       map[string]string
	storeAddress string // of a link to the store, empty for the store's own
}

// addVM starts a gateway as the deploy file says.
func (stage *stage) addVM(name string, machine machine, zones [][2]string) (*vm, error) {
	added := &vm{stage: stage, name: name, memoryMB: machine.memoryMB}
	addresses := make([]string, 4)
	for i := range addresses {
		address, err := freePort()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	added.callers, added.readiness = addresses[0], addresses[1]
	port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
	values := map[string]string{
		"Node": name, "Region": machine.region, "Zone": machine.zone, "Limits.MemoryMb": strconv.Itoa(machine.memoryMB),
		"Limits.FileDescriptors": strconv.Itoa(machine.descriptors), "Bootstrap": "true",
		"Listen.Front": added.callers, "Listen.ReadinessAddress": added.readiness, "IpAddress": "127.0.0.1",
		"InternalPortRange.0": port(addresses[2]), "InternalPortRange.1": port(addresses[3]), "Platform.Address": stage.storeAddr,
	}
	if machine.storeAddress != "" {
		values["Platform.Address"] = machine.storeAddress
	}
	for name, value := range machine.bounds {
		values["Bounds."+name] = value
	}
	added.settings, added.values, added.zones = filepath.Join(stage.folder, name+".ini"), values, zones
	stage.vms = append(stage.vms, added)
	return added, added.start()
}

func (vm *vm) start() error {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	text, err := vm.stage.render(vm.values, vm.zones)
	if err != nil {
		return err
	}
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		return err
	}
	vm.values["Bootstrap"] = "false" // at the next start
	log, err := os.OpenFile(filepath.Join(vm.stage.folder, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(vm.stage.root, "target/gateway"))
	command.Dir = vm.stage.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + vm.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", vm.name, err)
	}
	vm.command, vm.ended = command, make(chan struct{})
	ended := vm.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (vm *vm) process() (*exec.Cmd, chan struct{}) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.command, vm.ended
}

func (vm *vm) signal(signal os.Signal) {
	command, _ := vm.process()
	_ = command.Process.Signal(signal)
}

// residentKB returns the resident memory of the process.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes
		}
	}
	return 0
}

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// supervise kills the process when it exceeds its memory, and starts it again after it has ended.
func (vm *vm) supervise() {
	for vm.stage.ctx.Err() == nil {
		command, ended := vm.process()
		select {
		case <-ended:
			vm.mutex.Lock()
			closing := vm.closing
			if !closing {
				vm.exits = append(vm.exits, vm.stage.seconds())
			}
			vm.mutex.Unlock()
			if closing {
				return
			}
			vm.stage.note("platform: the process of %s has ended; started again", vm.name)
			time.Sleep(restartDelay)
			_ = vm.start()
		case <-time.After(5 * time.Millisecond):
			used := residentKB(command.Process.Pid)
			vm.mutex.Lock()
			vm.peakKB = max(vm.peakKB, used)
			vm.mutex.Unlock()
			if used <= vm.memoryMB<<10 {
				continue
			}
			vm.stage.note("platform: the process of %s uses %d MB of %d MB and is killed", vm.name, used>>10, vm.memoryMB)
			_ = command.Process.Kill()
			<-ended
			vm.mutex.Lock()
			vm.overs = append(vm.overs, vm.stage.seconds())
			vm.mutex.Unlock()
			time.Sleep(restartDelay)
			_ = vm.start()
			vm.stage.note("platform: the process of %s is started again", vm.name)
		}
	}
}

// ready asks the readiness address as the platform does.
func (vm *vm) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + vm.readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (stage *stage) awaitReady(limit time.Duration) error {
	return stage.awaitReadyOf(stage.vms, limit)
}

// awaitReadyOf waits until the machines are ready.
func (stage *stage) awaitReadyOf(vms []*vm, limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, vm := range vms {
		for !vm.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", vm.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes of the case.
func (stage *stage) close() {
	for _, vm := range stage.vms {
		vm.mutex.Lock()
		vm.closing = true
		command, ended := vm.command, vm.ended
		vm.mutex.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-ended
	}
	for _, server := range stage.servers {
		_ = server.Close()
	}
}
