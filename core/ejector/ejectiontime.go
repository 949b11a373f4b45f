package ejector

import (
	"time"

	"godwitramp.example/core/configurator"
)

const (
	baseEjectionTime = 10 * time.Second
	maxEjectionTime  = 10 * time.Minute
	maxStrikes       = 6
	// Good service that takes one strike back.
	strikeDecay = 5 * time.Minute
)

// Stays tells how long ejected targets stay out: twice as long each time, for
// targets that flap, and shorter again after a time of good service.
type EjectionTimes struct {
	pastEjections map[configurator.Path]pastEjection
}

type pastEjection struct {
	strikes int
	ended   time.Duration
}

// Next returns the length of the target's next stay and its strikes with it.
func (ejectionTimes *EjectionTimes) Next(target configurator.Path, now time.Duration) (time.Duration, int) {
	strikes := ejectionTimes.strikes(target, now)
	return min(maxEjectionTime, baseEjectionTime<<strikes), min(maxStrikes, strikes+1)
}

func (ejectionTimes *EjectionTimes) strikes(target configurator.Path, now time.Duration) int {
	pastEjections := ejectionTimes.pastEjections[target]
	return max(0, pastEjections.strikes-int(max(0, now-pastEjections.ended)/strikeDecay))
}

// Ended takes note that a stay has ended, here or at another holder.
func (ejectionTimes *EjectionTimes) RecordEnd(target configurator.Path, strikes int, now time.Duration) {
	if ejectionTimes.pastEjections == nil {
		ejectionTimes.pastEjections = make(map[configurator.Path]pastEjection)
	}
	if strikes >= ejectionTimes.strikes(target, now) {
		ejectionTimes.pastEjections[target] = pastEjection{strikes: strikes, ended: now}
	}
}

// Keep drops targets that the service no longer has.
func (ejectionTimes *EjectionTimes) Prune(service *configurator.ServiceTargets, region string) {
	for target := range ejectionTimes.pastEjections {
		if !isConfigured(service, region, target) {
			delete(ejectionTimes.pastEjections, target)
		}
	}
}
