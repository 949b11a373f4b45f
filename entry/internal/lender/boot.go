package lender

import (
	"os"
	"strings"
)

// BootID identifies the boot of the operating system, which lets a process prove
// that its predecessor on the same VM has ended. It is empty if the system
// provides none.
func BootID() string {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
}
