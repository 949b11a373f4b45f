package placer

// maxLeaving is the number of remembered leaving instances from which those without
// an entry are evicted: a day's replacements in a fleet of 110,000 targets.
const maxLeaving = 100_000

// instance is one start of a target.
type instance struct {
	id          string
	incarnation int64
}

// MarkLeaving records that a target announced in an answer, to this VM or another,
// that it leaves. It reports whether this is new. The mark has no expiry and is
// cleared neither by a later answer nor by an entry of the store that calls the
// target ready; only a restart of the target ends it. An announcement of an earlier
// start is ignored.
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

// evictLeaving removes targets that have no entry any more.
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
