// Package timer reads the clock that goes on while the VM is suspended, which
// Go's own steady clock does not.
//
// # Usage
//
//	started := timer.Now()
//	age := timer.Now() - started
package timer

import (
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
