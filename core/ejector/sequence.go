package ejector

import (
	"math"
	"time"
)

const (
	// Score at which a sequence condemns its target.
	threshold = 14.0
	// Share of bad observations that a sequence looks for.
	faultyShare = 0.3
	// Bounds of the share that counts as usual.
	minUsualShare = 0.003
	maxUsualShare = 0.15
	// Usual shares are this many times the measured ones.
	usualMargin = 2
)

// odds are the logarithms of the likelihood ratios, faulty to usual, of one
// bad and one good observation.
type odds struct {
	bad, good float64
}

func oddsFor(measured float64) odds {
	usual := min(maxUsualShare, max(minUsualShare, usualMargin*measured))
	return odds{bad: math.Log(faultyShare / usual), good: math.Log((1 - faultyShare) / (1 - usual))}
}

// sequence is a sequential probability ratio test that starts anew whenever
// the evidence says that nothing is wrong (the CUSUM rule). It bounds what
// each VM adds, so that one VM alone never condemns a target.
type sequence struct {
	score float64
	since time.Duration
	// added is each VM's part of the score.
	added map[string]float64
	// excess counts the observations of each VM above its bound.
	excess map[string]int
	// near is the part of the score from VMs beside the target.
	near float64
}

// lower takes good observations into account: all VMs' parts shrink alike.
func (sequence *sequence) lower(by float64) {
	if by >= sequence.score {
		sequence.restart()
		return
	}
	left := 1 - by/sequence.score
	sequence.score *= left
	sequence.near *= left
	for vm := range sequence.added {
		sequence.added[vm] *= left
	}
}

// restart empties the sequence and keeps its maps, which are refilled often.
func (sequence *sequence) restart() {
	clear(sequence.added)
	clear(sequence.excess)
	sequence.score = 0
	sequence.near = 0
}

// raise takes one bad observation of a VM into account, up to the bound.
func (sequence *sequence) raise(vm string, by, bound float64, beside bool, now time.Duration) {
	if sequence.added == nil {
		sequence.added = make(map[string]float64)
		sequence.excess = make(map[string]int)
	}
	if sequence.score == 0 {
		sequence.since = now
	}
	allowed := min(by, bound-sequence.added[vm])
	if allowed <= 0 {
		sequence.excess[vm]++
		return
	}
	sequence.added[vm] += allowed
	sequence.score += allowed
	if beside {
		sequence.near += allowed
	}
}

// remove takes back what a VM has added.
func (sequence *sequence) remove(vm string) {
	sequence.score -= sequence.added[vm]
	sequence.near = min(sequence.near, sequence.score)
	delete(sequence.added, vm)
	delete(sequence.excess, vm)
	if len(sequence.added) == 0 {
		sequence.restart()
	}
}

// aloneAgainst reports whether the VM goes on finding the target bad while all
// others together, for some time, have added less than one observation.
func (sequence *sequence) aloneAgainst(vm string, one float64, now time.Duration) bool {
	return sequence.excess[vm] >= maxExcess && now-sequence.since >= aloneTime &&
		sequence.score-sequence.added[vm] < one
}
