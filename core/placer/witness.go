package placer

import (
	"slices"
	"time"
)

// maxWitnesses is the number of targets that a Placer remembers as those that answered last, the latest
// first.
const maxWitnesses = 4

// witness is a target that answered an attempt of this VM.
type witness struct {
	Target
	at time.Duration
}

// isAnswer reports whether an attempt with the outcome was certainly answered by the target.
func (outcome Outcome) isAnswer() bool {
	return outcome == Good || outcome == FailedLate || outcome == Full
}

// recordAnswer remembers that the target answered an attempt of this VM.
func (placer *Placer) recordAnswer(known *target, now time.Duration) {
	known.answeredAt, known.answered = now, true
	i := slices.IndexFunc(placer.witnesses, func(other witness) bool { return other.ID == known.ID })
	switch {
	case i >= 0:
	case len(placer.witnesses) < maxWitnesses:
		placer.witnesses = append(placer.witnesses, witness{})
		i = len(placer.witnesses) - 1
	default:
		i = maxWitnesses - 1
	}
	copy(placer.witnesses[1:i+1], placer.witnesses[:i])
	placer.witnesses[0] = witness{Target: known.Target, at: now}
}

// AnsweredSince reports whether the target answered an attempt of this VM at that time or later.
func (placer *Placer) AnsweredSince(picked Target, since time.Duration) bool {
	known := placer.byID[picked.ID]
	return known != nil && known.Incarnation == picked.Incarnation && known.answered && known.answeredAt >= since
}

// Witnesses returns the targets of any service, other than the given one, that answered this VM last and can show
// whether its own path is cut, the last to answer first, and when that one answered. There are several, as one may
// have crashed itself.
func (placer *Placer) Witnesses(other Target) ([]Target, time.Duration) {
	var targets []Target
	var answeredAt time.Duration
	for _, witness := range placer.witnesses {
		if known := placer.byID[witness.ID]; witness.ID != other.ID && known != nil && known.Incarnation == witness.Incarnation {
			targets, answeredAt = append(targets, witness.Target), max(answeredAt, witness.at)
		}
	}
	return targets, answeredAt
}

// RecordSilent records that a target can't be reached that has not answered an attempt of this VM.
func (placer *Placer) RecordSilent(picked Target, now time.Duration) {
	if known := placer.byID[picked.ID]; known != nil && known.Incarnation == picked.Incarnation {
		known.record(Unreachable, true, now)
		placer.updateWarmup(known, now)
	}
}

// Present reports whether the target is still the same and isn't leaving.
func (placer *Placer) Present(picked Target) bool {
	known := placer.byID[picked.ID]
	return known != nil && !known.isLeaving() && known.Address == picked.Address && known.Incarnation == picked.Incarnation
}
