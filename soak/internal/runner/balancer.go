package runner

import (
	"context"
	"net/http"
	"time"

	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// check asks a VM whether it takes connections, until the context ends.
func check(ctx context.Context, vm *vm) {
	client := &http.Client{Timeout: checkPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for ctx.Err() == nil {
		response, err := client.Get("http://" + vm.readiness + platform.ReadinessPath)
		good := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if good {
			misses = 0
		} else {
			misses++
		}
		if good || misses >= checkMisses {
			vm.ready.Store(good)
		}
		timer.Sleep(ctx, checkPeriod)
	}
}

// The balancer of the platform asks once a second and takes a VM out after two
// misses.
const (
	checkPeriod = time.Second
	checkMisses = 2
)
