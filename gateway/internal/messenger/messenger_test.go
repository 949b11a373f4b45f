package messenger_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/messenger"
)

// vm is a messenger and what it has heard.
type vm struct {
	*messenger.Messenger
	stop   func()
	mutex  sync.Mutex
	events map[messenger.Event]int
}

var began = time.Now()

// start runs a messenger of a VM.
func start(t *testing.T, name, dataCentre string, key byte) *vm {
	t.Helper()
	reserved, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.LocalAddr().String()
	_ = reserved.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	vm := &vm{events: make(map[messenger.Event]int)}
	vm.Messenger = &messenger.Messenger{
		Self: messenger.Peer{Name: name, DataCentre: dataCentre, Address: address}, Key: bytes.Repeat([]byte{key}, 32),
		Clock: func() time.Duration { return time.Since(began) }, Log: logrus.NewEntry(log),
		OnEvent: func(_ messenger.Peer, event messenger.Event) {
			vm.mutex.Lock()
			defer vm.mutex.Unlock()
			vm.events[event]++
		},
	}
	if err := vm.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = vm.Run(ctx)
		close(done)
	}()
	vm.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(vm.stop)
	return vm
}

// fleet starts VMs in data centres, each of which knows those before it.
func fleet(t *testing.T, dataCentres ...string) []*vm {
	t.Helper()
	var vms []*vm
	var peers []messenger.Peer
	for i, dataCentre := range dataCentres {
		vm := start(t, fmt.Sprintf("vm-%02d", i), dataCentre, 1)
		vm.AddPeers(peers)
		peers = append(peers, vm.Self)
		vms = append(vms, vm)
	}
	return vms
}

func (vm *vm) heard(event messenger.Event) int {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.events[event]
}

// until waits for a condition, and repeats an action that may be lost. The limit
// only guards against hanging.
func until(t *testing.T, what string, action func(), condition func() bool) {
	t.Helper()
	end := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("never came true: %s", what)
		}
		action()
		time.Sleep(5 * time.Millisecond)
	}
}

func nothing() {}

func TestGroupHearsNotes(t *testing.T) {
	vms := fleet(t, "d", "d", "d")
	event := messenger.Event{Kind: messenger.AttemptDone, Name: "t", Service: "s", Outcome: placer.Failed}
	until(t, "all know each other", nothing, func() bool {
		return vms[0].Share().VMs == 3 && vms[1].Share().VMs == 3 && vms[2].Share().VMs == 3
	})
	until(t, "the event is heard", func() { vms[2].SendToGroup(event) }, func() bool {
		return vms[0].heard(event) > 0 && vms[1].heard(event) > 0
	})
}

// What the fleet should know reaches every VM of another data centre, through one
// of them.
func TestFleetHearsThroughARelay(t *testing.T) {
	is := is.New(t)
	vms := fleet(t, "d1", "d1", "d1")
	until(t, "the group knows each other", nothing, func() bool { return vms[0].Share().VMs == 3 && vms[2].Share().VMs == 3 })
	far := start(t, "far", "d2", 1)
	far.AddPeers([]messenger.Peer{vms[0].Self})
	event := messenger.Event{Kind: messenger.AttemptOutcome, Name: "t", Outcome: placer.Failed}
	until(t, "the event is heard", func() { far.SendToFleet(event) }, func() bool {
		return vms[0].heard(event) > 0 && vms[1].heard(event) > 0 && vms[2].heard(event) > 0
	})
	is.Equal(far.Share().VMs, 1) // another data centre is no part of the group
}

func TestSilentAndLeavingVMs(t *testing.T) {
	is := is.New(t)
	vms := fleet(t, "d", "d", "d")
	until(t, "all know each other", nothing, func() bool { return vms[0].Share().VMs == 3 })
	is.Equal(vms[2].Rank(), 2)
	vms[1].stop()
	until(t, "the silence is noticed", nothing, func() bool { return vms[2].Share().Heard < 1 })
	is.Equal(vms[2].Rank(), 1)
	is.Equal(vms[2].Share().VMs, 3) // it may only be cut off, and spend
	vms[0].Leave()
	until(t, "the leave is noticed", nothing, func() bool { return vms[2].Share().VMs == 2 })
}

// A VM that has just been found is no division of the group.
func TestFoundVMsCountAsHeard(t *testing.T) {
	is := is.New(t)
	vm := start(t, "vm", "d", 1)
	vm.AddPeers([]messenger.Peer{{Name: "other", DataCentre: "d", Address: "127.0.0.1:9"}})
	is.Equal(vm.Share().Heard, 1.0)
}

func TestForeignDatagramsAreRefused(t *testing.T) {
	is := is.New(t)
	vm, foreign := start(t, "vm", "d", 1), start(t, "foreign", "d", 2)
	own := start(t, "own", "d", 1)
	foreign.AddPeers([]messenger.Peer{vm.Self})
	own.AddPeers([]messenger.Peer{vm.Self})
	event := messenger.Event{Kind: messenger.Admitted, Name: "crews"}
	until(t, "the own VM is heard", func() { foreign.SendToGroup(event); own.SendToGroup() }, func() bool { return vm.Share().VMs == 2 })
	is.Equal(vm.heard(event), 0)
}

// Groups are of bounded size, so that the datagrams of a VM don't grow with the
// fleet, and their parts of the data centre add up.
func TestGroupsAreBounded(t *testing.T) {
	is := is.New(t)
	vm := start(t, "vm-00", "d", 1)
	var peers []messenger.Peer
	for i := 1; i < 50; i++ {
		peers = append(peers, messenger.Peer{Name: fmt.Sprintf("vm-%02d", i), DataCentre: "d", Address: "127.0.0.1:9"})
	}
	vm.AddPeers(peers)
	members := 1
	for _, peer := range peers {
		if vm.InGroup(peer.Name) {
			members++
		}
	}
	is.True(members <= 16)
	is.Equal(vm.Share().Group, float64(members)/50)
}
