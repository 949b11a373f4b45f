package runner

import (
	"context"
	"net/http"
	"time"

	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// check asks a VM whether it takes connections, until the context ends.
func pollReadiness(ctx context.Context, vm *vm) {
	client := &http.Client{Timeout: checkPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	failures := 0
	for ctx.Err() == nil {
		response, err := client.Get("http://" + vm.readinessAddress + platform.ReadinessPath)
		good := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if good {
			failures = 0
		} else {
			failures++
		}
		if good || failures >= maxCheckFailures {
			vm.ready.Store(good)
		}
		timer.Sleep(ctx, checkPeriod)
	}
}

// The balancer of the platform asks once a second and takes a VM out after two
// misses.
const (
	checkPeriod      = time.Second
	maxCheckFailures = 2
)
