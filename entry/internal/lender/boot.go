package lender

import (
	"os"
	"strings"
)

// Boot names the start of the operating system, so that a process can prove
// that its predecessor on the same machine has ended. It is empty where the
// system doesn't say.
func Boot() string {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
}
