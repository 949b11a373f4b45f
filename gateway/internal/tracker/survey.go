package tracker

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/keeper"
	"godwitramp.example/core/verifier"
	"godwitramp.example/platform"
	"godwitramp.example/shell/timer"
)

// surveyTick is the interval at which a survey is continued.
const surveyTick = 50 * time.Millisecond

// What has ended a survey, for logs.
const (
	endedByAnswers  = "survey"
	endedByOperator = "operator"
	endedByGroup    = "group"
)

// runSurveys asks other VMs after each restore of the store, until the context ends.
func (tracker *Tracker) runSurveys(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-tracker.surveyBegun:
		}
		for tracker.continueSurvey() && timer.Sleep(ctx, surveyTick) {
		}
	}
}

// continueSurvey asks other VMs if it is time, and reports whether the survey goes on.
func (tracker *Tracker) continueSurvey() bool {
	now := tracker.Clock()
	first := tracker.Group.FirstInGroup()
	tracker.surveyMutex.Lock()
	due, far := tracker.surveyor.Due(now), tracker.surveyor.Far(first, tracker.AsOf(), now)
	tracker.surveyMutex.Unlock()
	if due {
		if asked, ok := tracker.Group.AskFleet(far); ok {
			tracker.surveyMutex.Lock()
			tracker.surveyor.RecordAsked(asked, now)
			tracker.surveyMutex.Unlock()
		}
	}
	tracker.settle()
	tracker.surveyMutex.Lock()
	defer tracker.surveyMutex.Unlock()
	return tracker.surveyor.Surveying()
}

// settle lets the configuration count as the newest if the answers of other VMs suffice.
func (tracker *Tracker) settle() {
	tracker.endSurvey(endedByAnswers, func(surveyor *verifier.Surveyor) { surveyor.Settle(tracker.AsOf(), tracker.Clock()) })
}

// finishSurvey logs that readings of the restored store count from now on, takes in the newest, and
// tells the group.
func (tracker *Tracker) finishSurvey(by string) {
	tracker.surveyMutex.Lock()
	answered, asked := tracker.surveyor.Answers()
	tracker.surveyMutex.Unlock()
	fields := logrus.Fields{
		"by": by, "age": (tracker.Clock() - tracker.AsOf()).Round(time.Millisecond), "answered": answered, "asked": asked,
	}
	if index := tracker.index.Load(); index != nil {
		fields["version"] = index.Version
	}
	tracker.Log.WithFields(fields).Info("configuration-confirmed")
	tracker.advanceAsOf(tracker.configuration.asOf())
	if by != endedByGroup {
		tracker.Group.SendClaims()
	}
}

// recordSurveyReading records an answer of the store, and reports whether it begins a survey.
func (tracker *Tracker) recordSurveyReading(reading platform.Reading) bool {
	tracker.surveyMutex.Lock()
	begun := tracker.surveyor.RecordReading(reading.Era, reading.Version, keeper.Restored(reading.Era), tracker.Clock())
	tracker.unsettled.Store(!tracker.surveyor.Settled())
	tracker.surveyMutex.Unlock()
	if begun {
		select {
		case tracker.surveyBegun <- struct{}{}:
		default: // the one before goes over into this one
		}
	}
	return begun
}

// recordWrite records that the store's configuration was written at a version of the present era.
func (tracker *Tracker) recordWrite(version uint64) {
	tracker.endSurvey(endedByOperator, func(surveyor *verifier.Surveyor) { surveyor.RecordWrite(version) })
}

// endSurvey makes a change that may end the survey.
func (tracker *Tracker) endSurvey(by string, change func(surveyor *verifier.Surveyor)) {
	tracker.surveyMutex.Lock()
	before := tracker.surveyor.Settled()
	change(&tracker.surveyor)
	ended := tracker.surveyor.Settled() && !before
	if ended {
		tracker.unsettled.Store(false)
	}
	tracker.surveyMutex.Unlock()
	if ended {
		tracker.finishSurvey(by)
	}
}

// settledIn reports whether readings of the era count as up to date.
func (tracker *Tracker) settledIn(era uint64) bool {
	tracker.surveyMutex.Lock()
	defer tracker.surveyMutex.Unlock()
	return tracker.surveyor.SettledIn(era)
}

// InForceClaim returns a claim that says only which configuration is in force, as far as this VM
// knows, and false if there is none.
func (tracker *Tracker) InForceClaim() (Claim, bool) {
	asOf := tracker.AsOf() // before the version: a newer one may come into force meanwhile
	index := tracker.index.Load()
	if index == nil {
		return Claim{}, false
	}
	own := verifier.Origin{Version: index.Version, Era: tracker.indexEra.Load()}
	tracker.withholderMutex.Lock()
	newest := tracker.withholder.Newest(own)
	tracker.withholderMutex.Unlock()
	claim := Claim{Table: platform.ConfigurationTable, InForce: newest}
	if newest == own {
		claim.KnownAsOf = asOf
	}
	return claim, true
}

// handleInForce processes what another VM has in force. During a survey, the VM's own
// configuration was the newest as well up to the time up to which one that isn't newer was.
func (tracker *Tracker) handleInForce(claim Claim) {
	mute := claim.Table == ""
	if !mute && (claim.Table != platform.ConfigurationTable || claim.InForce.Version == 0) {
		return
	}
	if !mute {
		tracker.updateWithheld(func(withholder *verifier.Withholder) { withholder.RecordPeer(claim.InForce) })
	}
	tracker.surveyMutex.Lock()
	tracker.surveyor.RecordAnswer(verifier.Answer{
		DataCentre: claim.DataCentre, AskedAt: claim.AskedAt, KnownAsOf: claim.KnownAsOf, Mute: mute,
	})
	tracker.surveyMutex.Unlock()
	index := tracker.index.Load()
	if !tracker.unsettled.Load() || index == nil {
		return
	}
	if claim.KnownAsOf != 0 && claim.InForce.Version <= index.Version {
		tracker.raiseAsOf(claim.KnownAsOf)
	}
	if claim.Settled && claim.DataCentre == "" && claim.InForce.Version <= index.Version {
		tracker.endSurvey(endedByGroup, func(surveyor *verifier.Surveyor) { surveyor.RecordSettled(claim.Era) })
		return
	}
	tracker.settle()
}
