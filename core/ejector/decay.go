package ejector

import (
	"math"
	"time"
)

// decayingShare is the share of bad observations, each weighted by its age: the
// weight halves in each half-life.
type decayingShare struct {
	bad, all  float64
	updatedAt time.Duration
}

func (decayingShare *decayingShare) add(bad, all int, halfLife, now time.Duration) {
	decayingShare.decay(halfLife, now)
	decayingShare.bad += float64(bad)
	decayingShare.all += float64(all)
}

func (decayingShare *decayingShare) decay(halfLife, now time.Duration) {
	if now <= decayingShare.updatedAt {
		return
	}
	factor := math.Exp2(-float64(now-decayingShare.updatedAt) / float64(halfLife))
	decayingShare.bad *= factor
	decayingShare.all *= factor
	decayingShare.updatedAt = now
}

// arrivalRate estimates the number of observations per second.
type arrivalRate struct {
	perSecond float64
	updatedAt time.Duration
}

// arrivalRateWindow is the time constant with which past observations decay.
const arrivalRateWindow = 3 * time.Second

func (arrivalRate *arrivalRate) add(count int, now time.Duration) {
	arrivalRate.perSecond = arrivalRate.perSecondAt(now) + float64(count)/arrivalRateWindow.Seconds()
	arrivalRate.updatedAt = now
}

func (arrivalRate *arrivalRate) perSecondAt(now time.Duration) float64 {
	return arrivalRate.perSecond * math.Exp(-float64(now-arrivalRate.updatedAt)/float64(arrivalRateWindow))
}
