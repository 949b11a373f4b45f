package assessor_test

import (
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/placer"
)

func TestClassifyAnswer(t *testing.T) {
	whole := assessor.Answer{Signed: true, Complete: true}
	with := func(status int, change func(*assessor.Answer)) assessor.Answer {
		answer := whole
		answer.Status = status
		if change != nil {
			change(&answer)
		}
		return answer
	}
	for name, test := range map[string]struct {
		answer  assessor.Answer
		outcome placer.Outcome
		mayRun  bool
		deliver assessor.Delivery
	}{
		"good":      {with(200, nil), placer.Good, true, assessor.Always},
		"not found": {with(404, nil), placer.Good, true, assessor.Always},
		"quick 500": {with(500, func(a *assessor.Answer) { a.Quick = true }), placer.Failed, true, assessor.IfLast},
		"late 500":  {with(500, nil), placer.FailedLate, true, assessor.IfLast},
		"504 early": {with(504, nil), placer.Unknown, true, assessor.IfLast},
		"504 late":  {with(504, func(a *assessor.Answer) { a.AmpleTime = true }), placer.Slow, true, assessor.IfLast},
		"full":      {with(503, func(a *assessor.Answer) { a.NotRun = true }), placer.Full, false, assessor.Never},
		"other":     {with(421, func(a *assessor.Answer) { a.NotRun, a.OtherTarget = true, true }), placer.Replaced, false, assessor.Never},
		"cut":       {with(200, func(a *assessor.Answer) { a.Complete = false }), placer.Failed, true, assessor.Never},
		"unsigned":  {with(200, func(a *assessor.Answer) { a.Signed = false }), placer.Failed, true, assessor.Never},
		"encoded":   {with(200, func(a *assessor.Answer) { a.Encoded = true }), placer.Failed, true, assessor.Never},
		"bare 503":  {with(503, nil), placer.Failed, true, assessor.Never},
		"bare 429":  {with(429, nil), placer.Failed, true, assessor.Never},
		"bare 408":  {with(408, nil), placer.Failed, true, assessor.Never},
		"malformed": {with(200, func(a *assessor.Answer) { a.Malformed, a.Complete = true, false }), placer.Failed, true, assessor.Never},
		"malformed refuse": {
			with(503, func(a *assessor.Answer) { a.Malformed, a.NotRun, a.Complete = true, true, false }), placer.Failed, true, assessor.Never,
		},
		"cut refuse": {with(503, func(a *assessor.Answer) { a.NotRun, a.Complete = true, false }), placer.Full, false, assessor.Never},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			verdict := assessor.ClassifyAnswer(test.answer)
			is.Equal(verdict.Outcome, test.outcome)
			is.Equal(verdict.MayHaveRun, test.mayRun)
			is.Equal(verdict.Deliver, test.deliver)
		})
	}
}

func TestClassifyFailure(t *testing.T) {
	for name, test := range map[string]struct {
		failure assessor.Failure
		outcome placer.Outcome
		mayRun  bool
	}{
		"withheld":        {assessor.Failure{Dialed: true, Withheld: true}, placer.Unknown, false},
		"no connection":   {assessor.Failure{}, placer.Unreachable, false},
		"cancelled early": {assessor.Failure{Dialed: true, Cancelled: true}, placer.Unknown, false},
		"cancelled":       {assessor.Failure{Dialed: true, Written: true, Cancelled: true}, placer.Unknown, true},
		"timed out":       {assessor.Failure{Dialed: true, Written: true, TimedOut: true, AmpleTime: true}, placer.Slow, true},
		"short of time":   {assessor.Failure{Dialed: true, Written: true, TimedOut: true}, placer.Unknown, true},
		"kept":            {assessor.Failure{Dialed: true, Written: true}, placer.Unknown, true},
		"kept, unwritten": {assessor.Failure{Dialed: true}, placer.Unknown, false},
		"reset":           {assessor.Failure{Dialed: true, Fresh: true, Written: true}, placer.Failed, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			verdict := assessor.ClassifyFailure(test.failure)
			is.Equal(verdict.Outcome, test.outcome)
			is.Equal(verdict.MayHaveRun, test.mayRun)
		})
	}
}

// What can't be read as an answer counts against the target also on a kept connection, whose loss alone would not.
func TestMalformedAnswerIsEvidence(t *testing.T) {
	is := is.New(t)
	for _, fresh := range []bool{false, true} {
		verdict := assessor.ClassifyFailure(assessor.Failure{Written: true, Dialed: true, Fresh: fresh, Malformed: true, TimedOut: true})
		is.Equal(verdict.Outcome, placer.Failed)
		is.True(verdict.MayHaveRun)
		is.Equal(verdict.Deliver, assessor.Never)
	}
}
