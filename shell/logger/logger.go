// Package logger makes the log of every program: one line of key=value pairs
// for each event, at a bounded rate for each kind of event.
//
// # Usage
//
//	log := logger.New(os.Stderr, "entry", "vm-01")
//	log.WithField("peer", name).Info("peer-lost")
package logger

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Events of one kind beyond burstPerEvent in each ratePeriod are counted, not
// written.
const (
	ratePeriod    = 10 * time.Second
	burstPerEvent = 20
)

// New returns a logger that writes to out and adds the program and the name of
// the VM to each line.
func New(out io.Writer, program, name string) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&limiter{
		next: &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano},
	})
	return log.WithFields(logrus.Fields{"program": program, "name": name})
}

// limiter is a formatter that drops events which repeat too often.
type limiter struct {
	next  logrus.Formatter
	mutex sync.Mutex
	seen  map[string]*window
}

// window counts the events of one kind in one period.
type window struct {
	start   time.Time
	written int
	dropped int
}

// Format returns the line of an event, or nothing when its kind has used up
// its period.
func (limiter *limiter) Format(entry *logrus.Entry) ([]byte, error) {
	if entry.Level <= logrus.FatalLevel {
		return limiter.next.Format(entry)
	}
	dropped, write := limiter.admit(entry.Message, entry.Time)
	if !write {
		return nil, nil
	}
	if dropped > 0 {
		entry = entry.WithField("dropped-before", dropped)
		entry.Time = entry.Time.Round(0)
	}
	return limiter.next.Format(entry)
}

func (limiter *limiter) admit(event string, now time.Time) (dropped int, write bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.seen == nil {
		limiter.seen = make(map[string]*window)
	}
	current := limiter.seen[event]
	if current == nil {
		current = &window{start: now}
		limiter.seen[event] = current
	}
	if now.Sub(current.start) >= ratePeriod {
		dropped = current.dropped
		*current = window{start: now}
	}
	if current.written >= burstPerEvent {
		current.dropped++
		return 0, false
	}
	current.written++
	return dropped, true
}
