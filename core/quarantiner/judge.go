package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// needed is the weight of crashes that blocks the request: that of one if it was blocked before.
func (request *request) needed() float64 {
	if request.block.Count > 0 {
		return 1
	}
	return crashesToBlock
}

// recordDown records that an instance was down at the end of a run.
func (quarantiner *Quarantiner) recordDown(run Run, now time.Duration) {
	if quarantiner.downAt == nil {
		quarantiner.downAt = make(map[Instance]time.Duration)
	}
	at, known := quarantiner.downAt[run.At]
	if known && at <= run.End {
		return
	}
	if !known && len(quarantiner.downAt) >= maxInstances {
		maps.DeleteFunc(quarantiner.downAt, func(_ Instance, at time.Duration) bool { return at < now-memory })
		if len(quarantiner.downAt) >= maxInstances {
			return
		}
	}
	quarantiner.downAt[run.At] = run.End
}

// sentTooLate reports whether a run began when its instance was known to be down: it was sent over a
// connection that the crash had not ended.
func (quarantiner *Quarantiner) sentTooLate(run Run) bool {
	at, known := quarantiner.downAt[run.At]
	return known && run.Start > at
}

// fresh returns the runs that count.
func (quarantiner *Quarantiner) fresh(request *request, now time.Duration) []Run {
	counts := func(run Run) bool { return run.End >= now-memory && !quarantiner.sentTooLate(run) }
	if !slices.ContainsFunc(request.runs, func(run Run) bool { return !counts(run) }) {
		return request.runs
	}
	var fresh []Run
	for _, run := range request.runs {
		if counts(run) {
			fresh = append(fresh, run)
		}
	}
	return fresh
}

// weigh returns how much the crashes of runs count in all, without those at the instances that
// other requests explain. A run counts fully if it began after the one before had ended, as far as
// clockSlack allows to say, and ended later than that by clockSlack at least.
func weigh(runs []Run, explained map[Instance]bool) float64 {
	total, group := 0.0, 0.0
	var end time.Duration
	for _, run := range runs {
		switch {
		case explained[run.At]:
			continue
		case group == 0 || run.Start >= end-clockSlack && run.End >= end+clockSlack:
			total += group
			group, end = 1, run.End
		case run.Follows:
			group = maxOverlapWeight // it did not begin before its first run had ended
		default:
			group = min(maxOverlapWeight, group+overlapWeight)
		}
	}
	return total + group
}

// judge blocks the requests with the most crashes first, and counts the crashes of these no
// longer against others.
func (quarantiner *Quarantiner) judge(now time.Duration) []Change {
	type candidate struct {
		*request
		runs   []Run
		weight float64
	}
	var candidates []candidate
	for _, known := range quarantiner.requests {
		runs := quarantiner.fresh(known, now)
		if weight := weigh(runs, nil); weight >= known.needed() {
			candidates = append(candidates, candidate{known, runs, weight})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	var changes []Change
	explained := make(map[Instance]bool)
	for len(candidates) > 0 {
		equals := 1
		for equals < len(candidates) && candidates[equals].weight == candidates[0].weight {
			equals++
		}
		blocked := make(map[Instance]bool)
		for _, candidate := range candidates[:equals] {
			guilty := weigh(candidate.runs, explained) >= candidate.needed()
			if !guilty && candidate.weight < crashesToBlock {
				continue // a VM that knows more crashes has blocked it
			}
			if candidate.setBlocked(guilty, candidate.runs, quarantiner.BlockTime, now) {
				changes = append(changes, Change{Block: candidate.block, Blocked: guilty, Crashes: len(candidate.runs)})
			}
			if guilty {
				for _, run := range candidate.runs {
					blocked[run.At] = true
				}
			}
		}
		maps.Copy(explained, blocked)
		candidates = candidates[equals:]
	}
	return changes
}

// setBlocked blocks the request, or ends its block, and reports whether that is a change. A block
// that has lapsed isn't renewed without a further crash.
func (request *request) setBlocked(guilty bool, runs []Run, blockTime, now time.Duration) bool {
	last := runs[len(runs)-1]
	wasBlocked := request.block.Until > now
	switch {
	case !guilty:
		request.block.Count = 0
		if wasBlocked {
			request.block.Until = now
		}
		return wasBlocked
	case last.End <= request.block.CrashedAt && request.block.Count > 0:
		return false
	case !wasBlocked:
		request.block.Count++
	}
	blockTime = cmp.Or(blockTime, defaultBlockTime)
	duration := max(blockTime, min(maxBlockTime, blockTime<<min(max(0, request.block.Count-1), 10)))
	request.block.Request, request.block.CrashedAt = last.Request, last.End
	request.block.Until = max(request.block.Until, last.End+duration)
	return !wasBlocked && request.block.Until > now
}
