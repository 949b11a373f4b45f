package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"godwitramp.example/platform"
)

// balancer sends connections to VMs of one data centre as the platform does: it asks each for its
// readiness once a second, takes it out after two misses, and uses all of them while fewer than half
// are left.
type balancer struct {
	vms []*vm

	mutex  sync.Mutex
	misses map[*vm]int
}

func (balancer *balancer) run(ctx context.Context) {
	balancer.misses = make(map[*vm]int)
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for _, vm := range balancer.vms {
			go func() {
				response, err := client.Get("http://" + vm.readiness + platform.ReadinessPath)
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				balancer.mutex.Lock()
				defer balancer.mutex.Unlock()
				balancer.misses[vm]++
				if ok {
					balancer.misses[vm] = 0
				}
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pick returns the VM for a new connection.
func (balancer *balancer) pick() *vm {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	var left []*vm
	for _, vm := range balancer.vms {
		if balancer.misses[vm] < 2 {
			left = append(left, vm)
		}
	}
	if 2*len(left) < len(balancer.vms) {
		left = balancer.vms
	}
	return left[rand.IntN(len(left))]
}
