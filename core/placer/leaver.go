package placer

// maxLeft bounds the targets that are remembered as leaving after their entries are
// gone: a day's replacements at 110,000 targets.
const maxLeft = 100_000

// start is one start of a target.
type start struct {
	id          string
	incarnation int64
}

// Left takes note that a target says it leaves, in an answer to this VM or another. It
// reports whether that is news. Only another start of the target ends it: neither age,
// nor a later answer, nor an entry of the store that still calls it ready. A note of an
// earlier start changes nothing.
func (placer *Placer) Left(id string, incarnation int64) bool {
	if known := placer.byID[id]; known != nil && known.Incarnation != incarnation {
		return false
	}
	told := start{id: id, incarnation: incarnation}
	if placer.left[told] {
		return false
	}
	if placer.left == nil {
		placer.left = make(map[start]bool)
	}
	placer.forgetLeft()
	placer.left[told] = true
	if known := placer.byID[id]; known != nil {
		known.left = true
	}
	return true
}

// forgetLeft makes room by forgetting targets that have no entry any more.
func (placer *Placer) forgetLeft() {
	if len(placer.left) < maxLeft {
		return
	}
	for told := range placer.left {
		if placer.byID[told.id] == nil {
			delete(placer.left, told)
		}
	}
}
