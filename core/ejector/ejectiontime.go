package ejector

import (
	"time"

	"godwitramp.example/core/configurator"
)

const (
	// baseEjectionTime is the duration of the first ejection; each strike doubles it,
	// up to maxEjectionTime.
	baseEjectionTime = 10 * time.Second
	maxEjectionTime  = 10 * time.Minute
	// maxStrikes limits the strikes that a target can accumulate.
	maxStrikes = 6
	// strikeDecay is the time without an ejection that removes one strike.
	strikeDecay = 5 * time.Minute
)

// EjectionTimes determines the duration of ejections by exponential backoff: it
// doubles with each ejection of a flapping target, and decreases again after good
// service.
type EjectionTimes struct {
	pastEjections map[configurator.Path]pastEjection
}

type pastEjection struct {
	strikes int
	ended   time.Duration
}

// Next returns the duration of the target's next ejection and the strikes that
// include it.
func (ejectionTimes *EjectionTimes) Next(target configurator.Path, now time.Duration) (time.Duration, int) {
	strikes := ejectionTimes.strikes(target, now)
	return min(maxEjectionTime, baseEjectionTime<<strikes), min(maxStrikes, strikes+1)
}

func (ejectionTimes *EjectionTimes) strikes(target configurator.Path, now time.Duration) int {
	last := ejectionTimes.pastEjections[target]
	return max(0, last.strikes-int(max(0, now-last.ended)/strikeDecay))
}

// RecordEnd records the end of an ejection by this VM or another permit holder.
func (ejectionTimes *EjectionTimes) RecordEnd(target configurator.Path, strikes int, now time.Duration) {
	if ejectionTimes.pastEjections == nil {
		ejectionTimes.pastEjections = make(map[configurator.Path]pastEjection)
	}
	if strikes >= ejectionTimes.strikes(target, now) {
		ejectionTimes.pastEjections[target] = pastEjection{strikes: strikes, ended: now}
	}
}

// Prune removes targets that the service no longer has.
func (ejectionTimes *EjectionTimes) Prune(service *configurator.ServiceTargets, region string) {
	for target := range ejectionTimes.pastEjections {
		if !isConfigured(service, region, target) {
			delete(ejectionTimes.pastEjections, target)
		}
	}
}
