package runner

import (
	"bufio"
	"cmp"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"godwitramp.example/core/assessor"
	"godwitramp.example/soak/internal/auditor"
)

// Lines of VMs about requests that one of them has passed on to another.
var (
	startedLine  = regexp.MustCompile(` event=started `)
	passedOnLine = regexp.MustCompile(` event=attempt-forwarded .* peer="?([^" ]+)"? .*reason=(\S+) request=(\S+)`)
	servedLine   = regexp.MustCompile(` event=request-answered .*from=\S+ .*request=(\S+) .*targets="\[([^\]]*)\]"`)
)

// maxLineBytes is the longest line of a log that is read.
const maxLineBytes = 1 << 20

// forwards reads from the logs of the VMs which of them has sent requests to targets for others, and
// to which VMs requests may have been passed on.
func (runner *Runner) forwards() ([]auditor.Forward, map[string][]string) {
	var forwards []auditor.Forward
	passedOn, names := make(map[string][]string), make(map[string]string)
	for _, vm := range runner.vms {
		names[vm.messagesAddress()] = vm.name
	}
	for _, vm := range runner.vms {
		log, err := os.Open(filepath.Join(runner.Directory, vm.name+".log"))
		if err != nil {
			runner.violations = append(runner.violations, auditor.Violation{Promise: "starts", Detail: err.Error()})
			continue
		}
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLineBytes)
		start := 0
		for lines.Scan() {
			line := lines.Text()
			if startedLine.MatchString(line) {
				start++
			}
			if match := passedOnLine.FindStringSubmatch(line); match != nil {
				peers := passedOn[match[3]]
				if match[2] != assessor.Withheld {
					peers = append(peers, cmp.Or(names[match[1]], match[1]))
				}
				passedOn[match[3]] = peers // also without a VM: the request was meant to be passed on
			}
			if match := servedLine.FindStringSubmatch(line); match != nil {
				for target := range strings.FieldsSeq(match[2]) {
					forwards = append(forwards, auditor.Forward{ID: match[1], TargetID: target, VM: vm.name, Start: start})
				}
			}
		}
		if err := lines.Err(); err != nil {
			runner.violations = append(runner.violations, auditor.Violation{Promise: "starts", Detail: err.Error()})
		}
		_ = log.Close() // it was only read
	}
	return forwards, passedOn
}
