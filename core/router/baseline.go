package router

import (
	"math"
	"time"
)

const (
	// baselineWeight is the least weight of a new latency in the moving average. The first
	// samples have equal weights.
	baselineWeight = 0.02
	// minSamples is the number of latencies from which slowThreshold uses the estimate.
	minSamples = 20
	// An answer is slow if it takes longer than slowFactor times the typical latency plus
	// slowMargin.
	slowFactor = 4
	slowMargin = 5 * time.Millisecond
	// defaultSlowThreshold applies while the typical latency of a service is unknown.
	defaultSlowThreshold = time.Second
)

// baseline estimates the typical latency of a service as an exponentially weighted
// moving average of its logarithm, so that a few very slow answers hardly change it.
type baseline struct {
	logarithm float64 // of the latency in seconds
	samples   int
}

func (baseline *baseline) add(latency time.Duration) {
	value := math.Log(max(latency, time.Microsecond).Seconds())
	baseline.samples++
	weight := max(baselineWeight, 1/float64(baseline.samples))
	baseline.logarithm += weight * (value - baseline.logarithm)
}

// typical returns the typical latency in seconds, or 0 if it is unknown.
func (baseline *baseline) typical() float64 {
	if baseline.samples == 0 {
		return 0
	}
	return math.Exp(baseline.logarithm)
}

// slowThreshold returns the latency above which an answer counts as slow.
func (baseline *baseline) slowThreshold() time.Duration {
	if baseline.samples < minSamples {
		return defaultSlowThreshold
	}
	return time.Duration(baseline.typical()*slowFactor*float64(time.Second)) + slowMargin
}
