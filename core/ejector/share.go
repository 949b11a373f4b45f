package ejector

import (
	"math"
	"time"
)

// share is the part of the bad among recent observations. Old ones fade by
// half in each half-life.
type share struct {
	bad, all float64
	at       time.Duration
}

func (share *share) add(bad, all int, halfLife, now time.Duration) {
	share.fade(halfLife, now)
	share.bad += float64(bad)
	share.all += float64(all)
}

func (share *share) fade(halfLife, now time.Duration) {
	if now <= share.at {
		return
	}
	factor := math.Exp2(-float64(now-share.at) / float64(halfLife))
	share.bad *= factor
	share.all *= factor
	share.at = now
}

// pace estimates how many observations arrive in a second.
type pace struct {
	perSecond float64
	at        time.Duration
}

const paceWindow = 3 * time.Second

func (pace *pace) add(count int, now time.Duration) {
	pace.perSecond = pace.now(now) + float64(count)/paceWindow.Seconds()
	pace.at = now
}

func (pace *pace) now(now time.Duration) float64 {
	return pace.perSecond * math.Exp(-float64(now-pace.at)/float64(paceWindow))
}
