package ejector

import (
	"math"
	"time"
)

const (
	// Score at which a sequence condemns its target.
	threshold = 14.0
	// Share of bad observations that a sequence looks for.
	outlierShare = 0.3
	// Bounds of the share that counts as usual.
	minBaselineShare = 0.003
	maxBaselineShare = 0.15
	// Usual shares are this many times the measured ones.
	baselineMargin = 2
)

// odds are the logarithms of the likelihood ratios, faulty to usual, of one
// bad and one good observation.
type logRatios struct {
	bad, good float64
}

func logRatiosFor(measured float64) logRatios {
	baseline := min(maxBaselineShare, max(minBaselineShare, baselineMargin*measured))
	return logRatios{bad: math.Log(outlierShare / baseline), good: math.Log((1 - outlierShare) / (1 - baseline))}
}

// sequence is a sequential probability ratio test that starts anew whenever
// the evidence says that nothing is wrong (the CUSUM rule). It bounds what
// each VM adds, so that one VM alone never condemns a target.
type cusum struct {
	score float64
	since time.Duration
	// added is each VM's part of the score.
	contributions map[string]float64
	// excess counts the observations of each VM above its bound.
	excess map[string]int
	// near is the part of the score from VMs beside the target.
	localScore float64
}

// lower takes good observations into account: all VMs' parts shrink alike.
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

// restart empties the sequence and keeps its maps, which are refilled often.
func (cusum *cusum) restart() {
	clear(cusum.contributions)
	clear(cusum.excess)
	cusum.score = 0
	cusum.localScore = 0
}

// raise takes one bad observation of a VM into account, up to the bound.
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

// remove takes back what a VM has added.
func (cusum *cusum) removeVM(vm string) {
	cusum.score -= cusum.contributions[vm]
	cusum.localScore = min(cusum.localScore, cusum.score)
	delete(cusum.contributions, vm)
	delete(cusum.excess, vm)
	if len(cusum.contributions) == 0 {
		cusum.restart()
	}
}

// aloneAgainst reports whether the VM goes on finding the target bad while all
// others together, for some time, have added less than one observation.
func (cusum *cusum) isSoleReporter(vm string, oneBad float64, now time.Duration) bool {
	return cusum.excess[vm] >= maxSoleExcess && now-cusum.since >= minSoleReporterTime &&
		cusum.score-cusum.contributions[vm] < oneBad
}
