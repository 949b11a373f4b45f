// Package timer reads a monotonic clock that includes the time during which the VM
// is suspended, unlike Go's own monotonic clock, and sleeps for a duration unless a
// context ends first.
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

// Now returns the time since the VM was booted, including suspensions.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart) // only on systems without CLOCK_BOOTTIME
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()

// Sleep waits for the duration. It returns false at once if the context ends
// earlier.
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
