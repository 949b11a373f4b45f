package placer

import "time"

// Outstanding records that an attempt of this VM that started at a time is not answered long after the usual time, as
// at a target that accepts requests and hangs. Nothing is recorded unless another target has answered this VM
// meanwhile: a VM that is slow or cut off itself gets no answer from any target. Recorded reports whether it was, and
// tell whether it is news to the other VMs.
func (placer *Placer) Outstanding(picked Target, startedAt, now time.Duration) (recorded, tell bool) {
	known := placer.instanceOf(picked.ID, picked.Incarnation)
	if known == nil || known.answered && known.answeredAt >= startedAt {
		return false, false
	}
	if witnesses, at := placer.Witnesses(picked); len(witnesses) == 0 || at < startedAt {
		return false, false
	}
	tell = known.suspicion.at(now) < maxReportedSuspicion
	known.record(Slow, true, now)
	return true, tell
}
