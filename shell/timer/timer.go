// Package timer reads the clock that goes on while the VM is suspended, which
// Go's own steady clock does not, and waits.
//
// # Usage
//
//	started := timer.Now()
//	if !timer.Sleep(ctx, time.Second) {
//		return // the context has ended
//	}
//	age := timer.Now() - started
package timer

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's boot, suspensions included.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart) // only on systems without that clock
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()

// Sleep waits until the time has passed, and reports false if the context ends
// before.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
