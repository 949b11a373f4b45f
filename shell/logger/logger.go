// Package logger makes the log of every program: one line of key=value pairs
// for each event, at a bounded rate for each kind of event.
//
// Events of a kind that repeats too often are counted, not written. The count
// comes out as an event-suppressed line with the next event of any kind after
// the period. Fields that could hold a secret or a body are never written.
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

// Events of one kind beyond burstPerEvent in each ratePeriod are counted, not
// written.
const (
	ratePeriod    = 10 * time.Second
	burstPerEvent = 20
	// maxKinds bounds the kinds that are counted apart.
	maxKinds = 1024
)

// otherKinds is the kind of events beyond maxKinds.
const otherKinds = "other"

// New returns a logger that writes to out and adds the program and the name of
// the VM to each line.
func New(out io.Writer, program, name string) *logrus.Entry {
	return NewLimited(out, program, name, burstPerEvent)
}

// NewLimited is New with another bound on the events of one kind in a period, for
// programs that write a line for each request.
func NewLimited(out io.Writer, program, name string, burst int) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&limiter{burst: burst, next: &cleaner{next: &logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "event"},
	}}})
	return log.WithFields(logrus.Fields{"program": program, "name": name})
}

// limiter is a formatter that drops events which repeat too often.
type limiter struct {
	next  logrus.Formatter
	burst int
	mutex sync.Mutex
	seen  map[string]*window
	// oldest is the start of the oldest window, or earlier.
	oldest time.Time
}

// window counts the events of one kind in one period.
type window struct {
	start   time.Time
	written int
	dropped int
}

// Format returns the line of an event, after the counts of events that were
// dropped in periods now over, or nothing when its kind has used up its
// period.
func (limiter *limiter) Format(entry *logrus.Entry) ([]byte, error) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	lines, err := limiter.suppressed(entry)
	if err != nil {
		return nil, err
	}
	if entry.Level > logrus.FatalLevel && !limiter.admit(entry.Message, entry.Time) {
		return lines, nil
	}
	line, err := limiter.next.Format(entry)
	if err != nil {
		return nil, fmt.Errorf("format event %q: %w", entry.Message, err)
	}
	return append(lines, line...), nil
}

// suppressed returns a line for each kind that lost events in a period that is
// over, and begins new periods.
func (limiter *limiter) suppressed(entry *logrus.Entry) ([]byte, error) {
	if len(limiter.seen) == 0 || entry.Time.Sub(limiter.oldest) < ratePeriod {
		return nil, nil
	}
	limiter.oldest = entry.Time
	var lines bytes.Buffer
	for _, event := range slices.Sorted(maps.Keys(limiter.seen)) {
		current := limiter.seen[event]
		if entry.Time.Sub(current.start) < ratePeriod {
			if current.start.Before(limiter.oldest) {
				limiter.oldest = current.start
			}
			continue
		}
		delete(limiter.seen, event)
		if current.dropped == 0 {
			continue
		}
		line, err := limiter.next.Format(count(entry, event, current.dropped))
		if err != nil {
			return nil, fmt.Errorf("format count of event %q: %w", event, err)
		}
		lines.Write(line)
	}
	return lines.Bytes(), nil
}

// count is the event that tells of suppressed ones. It stands in the log of
// the given event.
func count(entry *logrus.Entry, event string, dropped int) *logrus.Entry {
	counted := &logrus.Entry{
		Logger: entry.Logger, Time: entry.Time, Level: logrus.WarnLevel, Message: "event-suppressed",
		Data: logrus.Fields{"suppressed-event": event, "count": dropped},
	}
	for _, name := range []string{"program", "name"} {
		counted.Data[name] = entry.Data[name]
	}
	return counted
}

// admit reports whether an event may be written.
func (limiter *limiter) admit(event string, now time.Time) bool {
	if limiter.seen == nil {
		limiter.seen = make(map[string]*window)
	}
	current := limiter.seen[event]
	if current == nil && len(limiter.seen) >= maxKinds {
		event = otherKinds
		current = limiter.seen[event]
	}
	if current == nil {
		current = &window{start: now}
		limiter.seen[event] = current
	}
	if current.written >= limiter.burst {
		current.dropped++
		return false
	}
	current.written++
	return true
}
