package messenger_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/messenger"
)

// If one VM finds another key in the store, the VMs that know the one before must go on to
// hear it, learn the key from it and hear VMs that only know the new one.
func TestFleetIsSplitWhileItChangesItsKey(t *testing.T) {
	is := is.New(t)
	vms := fleet(t, "d", "d", "d")
	waitUntil(t, "all VMs know each other", noAction, func() bool {
		return vms[0].Share().VMs == 3 && vms[1].Share().VMs == 3 && vms[2].Share().VMs == 3
	})
	other := bytes.Repeat([]byte{2}, 32)
	vms[0].ConfirmKey(2, other)
	vms[0].ConfirmKey(1, bytes.Repeat([]byte{3}, 32)) // an answer of the era before, heard late
	is.Equal(vms[0].CurrentKey(), other)
	event := messenger.Event{Kind: messenger.AttemptDone, Name: "t", Service: "s", Outcome: placer.Failed}
	vms[0].SendToGroup(event)
	for _, vm := range vms[1:] {
		waitUntil(t, "the first message in the new key's time is heard", noAction, func() bool { return vm.count(event) == 1 })
		waitUntil(t, "the key is known", noAction, func() bool { return bytes.Equal(vm.CurrentKey(), other) })
	}
	late := start(t, "vm-03", "d", 2)
	late.AddPeers([]messenger.Peer{vms[2].Self})
	waitUntil(t, "the VM that only knows the new key is heard", noAction, func() bool { return vms[2].Share().VMs == 4 })
	waitUntil(t, "and hears", func() { vms[2].SendToGroup(event) }, func() bool { return late.count(event) > 0 })
	for _, vm := range vms {
		is.Equal(vm.Share().Reachable, 1.0)
	}
}

// A restore that the store has told one VM of is known to a VM that makes no calls.
func TestEraIsHeardFromOtherVMs(t *testing.T) {
	vms := []*vm{prepare(t, "vm-0", "d", 1), prepare(t, "vm-1", "d", 1)}
	vms[0].StoreEra = func() uint64 { return 2 }
	for _, vm := range vms {
		vm.Claims = func() []messenger.Claim { return nil }
		vm.StoreUnreachable = func() bool { return false }
		vm.run(t)
	}
	vms[0].AddPeers([]messenger.Peer{vms[1].Self})
	waitUntil(t, "the era is known", noAction, func() bool { return vms[1].Era() == 2 })
}
