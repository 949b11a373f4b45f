package runner

import (
	"context"
	"net/http"
	"time"

	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// pollReadiness updates whether the balancer considers the VM ready, until the
// context ends.
func pollReadiness(ctx context.Context, vm *vm) {
	client := &http.Client{Timeout: checkPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	failures := 0
	for ctx.Err() == nil {
		response, err := client.Get("http://" + vm.readinessAddress + platform.ReadinessPath)
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if ready {
			failures = 0
		} else {
			failures++
		}
		if ready || failures >= maxCheckFailures {
			vm.ready.Store(ready)
		}
		timer.Sleep(ctx, checkPeriod)
	}
}

// The balancer of the platform checks each VM once a second and removes a VM after two
// consecutive failures.
const (
	checkPeriod      = time.Second
	maxCheckFailures = 2
)
