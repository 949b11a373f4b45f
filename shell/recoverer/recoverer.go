// Package recoverer keeps a panic in the work on one request or message from ending the
// process, and with it all other requests.
//
// # Usage
//
//	if recoverer.Do(log.WithField("request", id), func() { reply = handle(call) }) {
//		// The work has panicked; its effects are unknown.
//	}
package recoverer

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// maxStackBytes limits the stack in the log.
const maxStackBytes = 2 << 10

var panics = metrics.NewCounter("godwitramp_panics_total")

// Do runs the work, and reports whether it has panicked. A panic is logged with its stack
// and counted. The work must release its locks by defer.
func Do(log *logrus.Entry, work func()) (panicked bool) {
	defer func() {
		if reason := recover(); reason != nil {
			panicked = true
			panics.Inc()
			stack := debug.Stack()
			log.WithField("reason", fmt.Sprint(reason)).WithField("stack", string(stack[:min(len(stack), maxStackBytes)])).Error("panic-recovered")
		}
	}()
	work()
	return false
}
