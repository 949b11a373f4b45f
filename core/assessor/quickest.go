package assessor

import "time"

const (
	// quickestWeight is the weight with which a slower answer raises the estimate, so that an
	// odd quick answer is forgotten.
	quickestWeight = 1.0 / 64
	// tooQuickFraction is the fraction of the estimate that no answer undercuts by chance.
	tooQuickFraction = 0.5
)

// Quickest estimates the latency of the quickest good answers of a service, of which it needs
// few. Where requests take long to be transferred, a target that fails at once still answers
// later than a small fraction of the mean latency. It isn't safe for concurrent use.
type Quickest struct {
	latency float64 // in nanoseconds, 0 without an answer
}

// Observe adds the latency of a good answer.
func (quickest *Quickest) Observe(latency time.Duration) {
	value := float64(latency)
	if quickest.latency == 0 || value < quickest.latency {
		quickest.latency = value
		return
	}
	quickest.latency += quickestWeight * (value - quickest.latency)
}

// TooQuick reports whether a target that answered so soon can't have done the work. It is
// false as long as there was no good answer.
func (quickest *Quickest) TooQuick(latency time.Duration) bool {
	return float64(latency) < tooQuickFraction*quickest.latency
}
