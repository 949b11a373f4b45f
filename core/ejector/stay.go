package ejector

import (
	"time"

	"godwitramp.example/core/configurator"
)

const (
	firstStay   = 10 * time.Second
	longestStay = 10 * time.Minute
	maxStrikes  = 6
	// Good service that takes one strike back.
	strikeDecay = 5 * time.Minute
)

// Stays tells how long ejected targets stay out: twice as long each time, for
// targets that flap, and shorter again after a time of good service.
type Stays struct {
	past map[configurator.Path]pastStay
}

type pastStay struct {
	strikes int
	ended   time.Duration
}

// Next returns the length of the target's next stay and its strikes with it.
func (stays *Stays) Next(target configurator.Path, now time.Duration) (time.Duration, int) {
	strikes := stays.strikes(target, now)
	return min(longestStay, firstStay<<strikes), min(maxStrikes, strikes+1)
}

func (stays *Stays) strikes(target configurator.Path, now time.Duration) int {
	past := stays.past[target]
	return max(0, past.strikes-int(max(0, now-past.ended)/strikeDecay))
}

// Ended takes note that a stay has ended, here or at another holder.
func (stays *Stays) Ended(target configurator.Path, strikes int, now time.Duration) {
	if stays.past == nil {
		stays.past = make(map[configurator.Path]pastStay)
	}
	if strikes >= stays.strikes(target, now) {
		stays.past[target] = pastStay{strikes: strikes, ended: now}
	}
}

// Keep drops targets that the service no longer has.
func (stays *Stays) Keep(service *configurator.ServiceTargets, region string) {
	for target := range stays.past {
		if !stands(service, region, target) {
			delete(stays.past, target)
		}
	}
}
