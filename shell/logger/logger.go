// Package logger writes the structured logs of all programs: one line of
// key=value pairs for each event, with a limited rate for each event name.
//
// Events beyond the limit are counted but not written. The count is written as
// an event-suppressed line before the first event of any name after the period.
// The values of fields that could hold a secret or a body are never written.
//
// # Usage
//
//	log := logger.New(os.Stderr, "entry", "vm-01")
//	log.WithField("peer", name).Info("peer-lost")
package logger

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// At most burstPerEvent events of one name are written in each ratePeriod.
const (
	ratePeriod    = 10 * time.Second
	burstPerEvent = 20
	// maxWindows is the number of event names beyond which further names share
	// one window, to bound memory.
	maxWindows = 1024
)

// otherEvents is the name under which the events beyond maxWindows are
// counted.
const otherEvents = "other"

// New returns a logger that writes to out and adds the name of the program and
// of the VM to each line.
func New(out io.Writer, program, name string) *logrus.Entry {
	return NewLimited(out, program, name, burstPerEvent)
}

// NewLimited is New with another maximum number of events of one name in each
// period, for programs that log every request.
func NewLimited(out io.Writer, program, name string, burst int) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&limiter{burst: burst, next: &sanitizer{next: &logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "event"},
	}}})
	return log.WithFields(logrus.Fields{"program": program, "name": name})
}

// limiter is a formatter that limits the rate of each event name. It returns
// no line for an event beyond the limit.
type limiter struct {
	next    logrus.Formatter
	burst   int
	mutex   sync.Mutex
	windows map[string]*window
	// oldestStart is the start of the oldest window, or earlier.
	oldestStart time.Time
}

// window counts the events of one name in one period.
type window struct {
	start   time.Time
	written int
	dropped int
}

// Format returns the line of an event if its rate is within the limit,
// preceded by lines for the events that were suppressed in past periods.
// Events of level fatal and panic are always written.
func (limiter *limiter) Format(entry *logrus.Entry) ([]byte, error) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	lines, err := limiter.reportSuppressed(entry)
	if err != nil {
		return nil, err
	}
	if entry.Level > logrus.FatalLevel && !limiter.allow(entry.Message, entry.Time) {
		return lines, nil
	}
	line, err := limiter.next.Format(entry)
	if err != nil {
		return nil, fmt.Errorf("format event %q: %w", entry.Message, err)
	}
	return append(lines, line...), nil
}

// reportSuppressed removes the windows whose period is over, and returns a
// line for each that has dropped events.
func (limiter *limiter) reportSuppressed(entry *logrus.Entry) ([]byte, error) {
	if len(limiter.windows) == 0 || entry.Time.Sub(limiter.oldestStart) < ratePeriod {
		return nil, nil
	}
	limiter.oldestStart = entry.Time
	var lines bytes.Buffer
	for _, event := range slices.Sorted(maps.Keys(limiter.windows)) {
		current := limiter.windows[event]
		if entry.Time.Sub(current.start) < ratePeriod {
			if current.start.Before(limiter.oldestStart) {
				limiter.oldestStart = current.start
			}
			continue
		}
		delete(limiter.windows, event)
		if current.dropped == 0 {
			continue
		}
		line, err := limiter.next.Format(suppressedEvent(entry, event, current.dropped))
		if err != nil {
			return nil, fmt.Errorf("format count of event %q: %w", event, err)
		}
		lines.Write(line)
	}
	return lines.Bytes(), nil
}

// suppressedEvent returns the event that reports the number of dropped events.
// It takes the program, name and time from the given event.
func suppressedEvent(entry *logrus.Entry, event string, dropped int) *logrus.Entry {
	summary := &logrus.Entry{
		Logger: entry.Logger, Time: entry.Time, Level: logrus.WarnLevel, Message: "event-suppressed",
		Data: logrus.Fields{"suppressed-event": event, "count": dropped},
	}
	for _, name := range []string{"program", "name"} {
		summary.Data[name] = entry.Data[name]
	}
	return summary
}

// allow counts an event and reports whether it may be written.
func (limiter *limiter) allow(event string, now time.Time) bool {
	if limiter.windows == nil {
		limiter.windows = make(map[string]*window)
	}
	current := limiter.windows[event]
	if current == nil && len(limiter.windows) >= maxWindows {
		event = otherEvents
		current = limiter.windows[event]
	}
	if current == nil {
		current = &window{start: now}
		limiter.windows[event] = current
	}
	if current.written >= limiter.burst {
		current.dropped++
		return false
	}
	current.written++
	return true
}
