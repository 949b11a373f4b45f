package placer

// maxLeft bounds the targets that are remembered as leaving after their entries are
// gone: a day's replacements at 110,000 targets.
const maxLeaving = 100_000

// start is one start of a target.
type instance struct {
	id          string
	incarnation int64
}

// Left takes note that a target says it leaves, in an answer to this VM or another. It
// reports whether that is news. Only another start of the target ends it: neither age,
// nor a later answer, nor an entry of the store that still calls it ready. A note of an
// earlier start changes nothing.
func (placer *Placer) MarkLeaving(id string, incarnation int64) bool {
	if known := placer.byID[id]; known != nil && known.Incarnation != incarnation {
		return false
	}
	announced := instance{id: id, incarnation: incarnation}
	if placer.leaving[announced] {
		return false
	}
	if placer.leaving == nil {
		placer.leaving = make(map[instance]bool)
	}
	placer.evictLeaving()
	placer.leaving[announced] = true
	if known := placer.byID[id]; known != nil {
		known.announcedLeaving = true
	}
	return true
}

// forgetLeft makes room by forgetting targets that have no entry any more.
func (placer *Placer) evictLeaving() {
	if len(placer.leaving) < maxLeaving {
		return
	}
	for announced := range placer.leaving {
		if placer.byID[announced.id] == nil {
			delete(placer.leaving, announced)
		}
	}
}
