package router

import (
	"math"
	"time"
)

const (
	baselineWeight = 0.02
	minSamples     = 20
	slowFactor     = 4
	slowMargin     = 5 * time.Millisecond
	// Longest patience while the usual latency of a service is not known.
	defaultPatience = time.Second
)

// baseline is the usual latency of a service, the moving mean of its
// logarithm, so that a few very slow answers hardly move it.
type baseline struct {
	logarithm float64
	samples   int
}

func (baseline *baseline) add(latency time.Duration) {
	value := math.Log(max(latency, time.Microsecond).Seconds())
	baseline.samples++
	weight := max(baselineWeight, 1/float64(baseline.samples))
	baseline.logarithm += weight * (value - baseline.logarithm)
}

// usual returns the usual latency in seconds, 0 if it isn't known.
func (baseline *baseline) usual() float64 {
	if baseline.samples == 0 {
		return 0
	}
	return math.Exp(baseline.logarithm)
}

// patience returns the latency from which an answer is slow.
func (baseline *baseline) patience() time.Duration {
	if baseline.samples < minSamples {
		return defaultPatience
	}
	return time.Duration(baseline.usual()*slowFactor*float64(time.Second)) + slowMargin
}
