package verifier

import (
	"maps"
	"time"
)

const (
	// surveyInterval is the wait after the first round of a survey. It doubles with each up to maxSurveyInterval.
	surveyInterval    = 150 * time.Millisecond
	maxSurveyInterval = 2 * time.Second
	// minSurveyRounds is the number of rounds of a survey in which not all data centres answer that they were up to date:
	// the VMs that answer first may have missed what others know.
	minSurveyRounds = 3
	// groupPatience is the time after which a VM that leaves the survey to the first of its group asks other data centres too.
	groupPatience = 1200 * time.Millisecond
	// surveyPatience is the time after which data centres that have not answered are no longer waited for. Two heartbeats
	// of the VM's own group come within it.
	surveyPatience = time.Second
	// isolationPatience is the time after which a VM that nobody answers goes by what it knew itself shortly before: its
	// peers may all be lost.
	isolationPatience = 30 * time.Second
	// maxUnknownTime is the longest time between what the VM knew and its first reading of the era after which a survey
	// may end early. A version that was acknowledged within it is told by others before its withdrawn keys must stop
	// working, 5 s after.
	maxUnknownTime = 4 * time.Second
)

// Surveyor decides when a VM may take the configuration that it reads in a new era of the store
// for the newest.
//
// The reading says what the copy holds, but not what the store had acknowledged and lost: a VM
// that the store turned away until then knows nothing of it. So the time up to which its
// configuration is known to be the newest stays where it was until the VM has asked others. It
// rises by what they know, as RecordAnswer's caller sees to, and without limit once one of these
// holds:
//
//   - the survey of a VM of the group has ended, and that one's configuration isn't newer;
//   - the operator has written a configuration since the first reading;
//   - VMs of all other data centres have answered, and what is known reaches to shortly before
//     the reading;
//   - the patience has ended, and either the same is known and any VM has answered, or VMs of
//     most data centres have, this VM's own included;
//   - no other VM is known, and the same is known or the patience has ended;
//   - no VM has answered for much longer, and the same is known.
//
// A VM that the store turned away before, and that hears none of the others, goes on distrusting
// the copy, as it can't know better.
//
// As traffic between data centres is paid for, only the first VM of a group and those that can't
// wait for it ask in others.
//
// The zero value is ready to use. It isn't safe for concurrent use.
type Surveyor struct {
	begun, settled bool
	era            uint64
	// started is true if the VM had no configuration before this era.
	started bool
	// readAt is when the configuration was read first in the era, and version the store's then.
	readAt  time.Duration
	version uint64
	// rounds is the number of rounds, askedAt the time of the last one, and asked whom that went to.
	rounds  int
	askedAt time.Duration
	asked   Asked
	// farRounds is the number of rounds that went to other data centres, and firstFarAt the time of
	// the first.
	farRounds  int
	firstFarAt time.Duration
	// answered are the data centres of which VMs have answered, upToDate those other ones of which
	// one was up to date shortly before the reading, and mute those of VMs that can't say what they
	// have in force.
	answered, upToDate, mute map[string]bool
}

// Asked says whom a VM has asked about configurations.
type Asked struct {
	// DataCentres is the number of other data centres.
	DataCentres int
	// Alone is true if no other VM is known, in any data centre.
	Alone bool
	// Far is true if VMs of the other data centres were asked as well as one of the group.
	Far bool
}

// RecordReading records a reading of the configuration at a version of the store in an era. In
// the first one of an era that began with a restore it begins a survey, and reports true.
func (surveyor *Surveyor) RecordReading(era, version uint64, restored bool, now time.Duration) bool {
	if surveyor.begun && era <= surveyor.era {
		return false
	}
	*surveyor = Surveyor{begun: true, era: era, started: !surveyor.begun, settled: !restored, readAt: now, version: version}
	return restored
}

// RecordWrite records that the store has a configuration that was written at a version of the
// present era. The operator, who has written since the restore, knows what was lost.
func (surveyor *Surveyor) RecordWrite(version uint64) {
	surveyor.settled = surveyor.settled || surveyor.begun && version > surveyor.version
}

// RecordSettled records that the survey of a VM of the group has ended in an era, and that it has
// no newer configuration.
func (surveyor *Surveyor) RecordSettled(era uint64) {
	surveyor.settled = surveyor.settled || surveyor.begun && era == surveyor.era
}

// SettledIn reports whether the survey of an era has ended, or it needed none.
func (surveyor *Surveyor) SettledIn(era uint64) bool {
	return surveyor.settled && era == surveyor.era
}

// RecordAsked records a round.
func (surveyor *Surveyor) RecordAsked(asked Asked, now time.Duration) {
	surveyor.rounds++
	surveyor.askedAt, surveyor.asked = now, asked
	if !asked.Far {
		return
	}
	if surveyor.farRounds == 0 {
		surveyor.firstFarAt = now
	}
	surveyor.farRounds++
}

// Far reports whether the next round goes to other data centres, given the time up to which the
// configuration is known to be the newest, and whether the VM is the first of its group. One that
// was up and can't trust keys until it has heard others doesn't wait for the first.
func (surveyor *Surveyor) Far(first bool, asOf, now time.Duration) bool {
	return first || !surveyor.started && !surveyor.recent(asOf) || now-surveyor.readAt >= groupPatience
}

// recent reports whether the configuration was known to be the newest shortly before the first
// reading of the era.
func (surveyor *Surveyor) recent(asOf time.Duration) bool {
	return asOf >= surveyor.readAt-maxUnknownTime
}

// Answer is what a VM says of the configuration that it has in force.
type Answer struct {
	// DataCentre is that of the VM, "" for the own one.
	DataCentre string
	// AskedAt is when the question was sent, 0 if there was none.
	AskedAt time.Duration
	// KnownAsOf is the time up to which that configuration was known to be the newest, 0 if that
	// isn't known.
	KnownAsOf time.Duration
	// Mute is true if the VM can't say what it has in force.
	Mute bool
}

// RecordAnswer records an answer. Those of VMs of other data centres count only if they were asked
// in this survey: a datagram may be read long after it has come.
func (surveyor *Surveyor) RecordAnswer(answer Answer) {
	if answer.DataCentre != "" && !answer.Mute && (answer.AskedAt == 0 || answer.AskedAt < surveyor.readAt) {
		return
	}
	if surveyor.answered == nil {
		surveyor.answered, surveyor.mute, surveyor.upToDate = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	}
	if answer.Mute {
		surveyor.mute[answer.DataCentre] = true
		return
	}
	surveyor.answered[answer.DataCentre] = true
	if answer.DataCentre != "" && answer.KnownAsOf != 0 && surveyor.recent(answer.KnownAsOf) {
		surveyor.upToDate[answer.DataCentre] = true
	}
}

// Due reports whether the next round is due.
func (surveyor *Surveyor) Due(now time.Duration) bool {
	if surveyor.rounds == 0 {
		return surveyor.Surveying()
	}
	wait := min(maxSurveyInterval, surveyInterval<<min(surveyor.rounds-1, 8))
	return surveyor.Surveying() && now-surveyor.askedAt >= wait
}

// Surveying reports whether more rounds are to come. Some follow after the configuration counts as
// the newest, as a VM that knows better may not have been asked.
func (surveyor *Surveyor) Surveying() bool {
	if !surveyor.settled {
		return surveyor.begun
	}
	return surveyor.farRounds > 0 && surveyor.farRounds < minSurveyRounds && len(surveyor.upToDate) < surveyor.asked.DataCentres
}

// Settled reports whether readings of the era may count as up to date.
func (surveyor *Surveyor) Settled() bool { return surveyor.settled }

// Settle ends the survey if the answers suffice, given the time up to which the configuration is
// known to be the newest, and reports whether it has.
func (surveyor *Surveyor) Settle(asOf, now time.Duration) bool {
	if surveyor.settled || surveyor.farRounds == 0 {
		return false
	}
	surveyor.settled = surveyor.suffices(surveyor.recent(asOf), now-surveyor.firstFarAt)
	return surveyor.settled
}

// suffices reports whether the answers suffice after a time since VMs of other data centres were
// asked first.
func (surveyor *Surveyor) suffices(recent bool, waited time.Duration) bool {
	late := waited >= surveyPatience
	if surveyor.asked.Alone {
		return recent || late
	}
	answered := surveyor.counted()
	if len(answered) == 0 {
		return recent && waited >= isolationPatience
	}
	others := otherDataCentres(answered)
	if recent {
		return late || others >= surveyor.asked.DataCentres
	}
	most := 2*(others+1) > surveyor.asked.DataCentres+1
	return late && most
}

// Answers returns of how many of the other data centres that were asked VMs have answered.
func (surveyor *Surveyor) Answers() (answered, asked int) {
	return otherDataCentres(surveyor.counted()), surveyor.asked.DataCentres
}

func otherDataCentres(answered map[string]bool) int {
	if answered[""] {
		return len(answered) - 1
	}
	return len(answered)
}

// counted returns the data centres whose answers count. A VM that has just started may find a
// fleet of VMs that can't say, during an upgrade long after the restore: theirs count as well then.
func (surveyor *Surveyor) counted() map[string]bool {
	if !surveyor.started {
		return surveyor.answered
	}
	counted := make(map[string]bool)
	maps.Copy(counted, surveyor.mute)
	maps.Copy(counted, surveyor.answered)
	return counted
}
