package ejector

import (
	"math"
	"time"
)

const (
	// The score at which a target counts as an outlier.
	threshold = 14.0
	// The share of bad observations under the hypothesis that the target is faulty.
	outlierShare = 0.3
	// Bounds of the baseline share.
	minBaselineShare = 0.003
	maxBaselineShare = 0.15
	// The baseline share is this multiple of the measured one.
	baselineMargin = 2
)

// logRatios are the log-likelihood ratios, faulty to baseline, of one bad and one
// good observation.
type logRatios struct {
	bad, good float64
}

func logRatiosFor(measured float64) logRatios {
	baseline := min(maxBaselineShare, max(minBaselineShare, baselineMargin*measured))
	return logRatios{bad: math.Log(outlierShare / baseline), good: math.Log((1 - outlierShare) / (1 - baseline))}
}

// cusum is a cumulative sum (CUSUM) test: a sequential probability ratio test that
// restarts whenever its score falls to zero. The contribution of each VM is bounded,
// so that one VM alone never makes a target an outlier.
type cusum struct {
	score float64
	since time.Duration
	// contributions are the parts of the score by VM.
	contributions map[string]float64
	// excess counts the observations of each VM above its bound.
	excess map[string]int
	// localScore is the part of the score from VMs in the target's data centre.
	localScore float64
}

// decrease lowers the score for good observations. The contributions of all VMs
// shrink by the same factor.
func (cusum *cusum) decrease(by float64) {
	if by >= cusum.score {
		cusum.restart()
		return
	}
	factor := 1 - by/cusum.score
	cusum.score *= factor
	cusum.localScore *= factor
	for vm := range cusum.contributions {
		cusum.contributions[vm] *= factor
	}
}

// restart sets the score to zero. It keeps the maps, which are refilled often.
func (cusum *cusum) restart() {
	clear(cusum.contributions)
	clear(cusum.excess)
	cusum.score = 0
	cusum.localScore = 0
}

// increase adds one bad observation of a VM, up to the VM's bound.
func (cusum *cusum) increase(vm string, by, bound float64, sameDataCentre bool, now time.Duration) {
	if cusum.contributions == nil {
		cusum.contributions = make(map[string]float64)
		cusum.excess = make(map[string]int)
	}
	if cusum.score == 0 {
		cusum.since = now
	}
	allowed := min(by, bound-cusum.contributions[vm])
	if allowed <= 0 {
		cusum.excess[vm]++
		return
	}
	cusum.contributions[vm] += allowed
	cusum.score += allowed
	if sameDataCentre {
		cusum.localScore += allowed
	}
}

// removeVM removes the contribution of a VM.
func (cusum *cusum) removeVM(vm string) {
	cusum.score -= cusum.contributions[vm]
	cusum.localScore = min(cusum.localScore, cusum.score)
	delete(cusum.contributions, vm)
	delete(cusum.excess, vm)
	if len(cusum.contributions) == 0 {
		cusum.restart()
	}
}

// isSoleReporter reports whether the VM keeps reporting the target as bad while all
// others together have, for some time, contributed less than one bad observation.
func (cusum *cusum) isSoleReporter(vm string, oneBad float64, now time.Duration) bool {
	return cusum.excess[vm] >= maxSoleExcess && now-cusum.since >= minSoleReporterTime &&
		cusum.score-cusum.contributions[vm] < oneBad
}
