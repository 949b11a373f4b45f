package starter

import (
	"context"
	"sync/atomic"
	"time"

	"godwitramp.example/core/watcher"
	"godwitramp.example/entry/internal/loader"
	"godwitramp.example/shell/connector"
)

const listPeriod = time.Second

// listed takes the platform's list for the live VMs.
type listed struct {
	platform connector.Platform
	self     watcher.Peer
	live     atomic.Pointer[[]watcher.Peer]
}

var _ watcher.Members = (*listed)(nil)

func newListed(settings loader.Settings, platform connector.Platform) *listed {
	return &listed{platform: platform, self: watcher.Peer{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Address: settings.Peers,
		Incarnation: uint64(time.Now().UnixNano()), BesideStore: settings.BesideStore,
	}}
}

// Self returns this VM.
func (listed *listed) Self() watcher.Peer { return listed.self }

// Live returns the other VMs on the newest list that was read.
func (listed *listed) Live() []watcher.Peer {
	if live := listed.live.Load(); live != nil {
		return *live
	}
	return nil
}

// run reads the list until the context ends.
func (listed *listed) run(ctx context.Context) {
	ticker := time.NewTicker(listPeriod)
	defer ticker.Stop()
	for {
		listed.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (listed *listed) read(ctx context.Context) {
	vms, err := listed.platform.VMs(ctx)
	if err != nil {
		return
	}
	var live []watcher.Peer
	for _, vm := range vms {
		if vm.Name != listed.self.Name {
			live = append(live, watcher.Peer{Name: vm.Name, Region: vm.Region, DataCentre: vm.DataCentre, Address: vm.Peers})
		}
	}
	listed.live.Store(&live)
}
