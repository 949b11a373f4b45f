// Package assessor says what the end of an attempt means for its request and
// for its target.
//
// # Usage
//
//	verdict := assessor.OfAnswer(assessor.Answer{Status: 200, Signed: true, Whole: true})
//	if verdict.Deliver == assessor.Always {
//		// Pass the answer on.
//	}
package assessor

import (
	"net/http"

	"godwitramp.example/core/placer"
)

// Deliverable says whether an answer may go to the caller.
type Deliverable int

// Which answers go to the caller.
const (
	// Never is an answer that isn't the target's own, or not whole.
	Never Deliverable = iota
	// IfLast is a target's failure, passed on if the request isn't sent again.
	IfLast
	// Always is a final answer.
	Always
)

// Verdict is what the end of an attempt means.
type Verdict struct {
	Outcome placer.Outcome
	// MayHaveRun is true unless the request certainly did not run.
	MayHaveRun bool
	Deliver    Deliverable
	// Reason names the verdict in logs.
	Reason string
}

// Answer is what a target sent back.
type Answer struct {
	Status int
	// Signed answers carry the mark of the target.
	Signed bool
	// NotRun is true if the target says that it did not run the request.
	NotRun bool
	// OtherTarget is true if another target than the expected one answered.
	OtherTarget bool
	// Encoded is true if the body has an encoding, which nobody asked for.
	Encoded bool
	// Whole is true if the body was read to its end.
	Whole bool
	// Patient is true if the target had far more time than is usual.
	Patient bool
	// Quick is true if the answer came far sooner than is usual.
	Quick bool
}

// OfAnswer judges an answer.
func OfAnswer(answer Answer) Verdict {
	ran := Verdict{MayHaveRun: true}
	switch {
	case answer.OtherTarget:
		return Verdict{Outcome: placer.Replaced, Reason: "other-target"}
	case answer.NotRun:
		return Verdict{Outcome: placer.Full, Reason: "not-run"}
	case !answer.Whole:
		ran.Outcome, ran.Reason = placer.Failed, "answer-cut"
	case answer.Encoded:
		ran.Outcome, ran.Reason = placer.Failed, "answer-encoded"
	case !answer.Signed:
		ran.Outcome, ran.Reason = placer.Failed, "answer-unsigned"
	case promisesNotRun(answer.Status):
		// The status would tell the caller that the request did not run.
		ran.Outcome, ran.Reason = placer.Failed, "status-misleading"
	case answer.Status == http.StatusGatewayTimeout:
		// The target ended its work when the caller's time had run out.
		ran.Outcome, ran.Reason, ran.Deliver = slowIf(answer.Patient), "target-timed-out", IfLast
	case answer.Status >= http.StatusInternalServerError:
		ran.Outcome, ran.Reason, ran.Deliver = failedIf(answer.Quick), "target-failed", IfLast
	default:
		ran.Outcome, ran.Reason, ran.Deliver = placer.Good, "answered", Always
	}
	return ran
}

// failedIf returns the outcome of a failure that a target answered. A target
// that is ill refuses at once; one that fails after its work does so because of
// the request, as a rule, and another target fails it too.
func failedIf(quick bool) placer.Outcome {
	if quick {
		return placer.Failed
	}
	return placer.FailedLate
}

// slowIf returns the outcome of an attempt whose time ran out. If it had no
// more time than many good answers take, that says nothing of its target.
func slowIf(patient bool) placer.Outcome {
	if patient {
		return placer.Slow
	}
	return placer.Unknown
}

// promisesNotRun reports whether callers take the status for the promise that
// the request did not and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// Withheld is the reason of an attempt that was not to be sent after all.
const Withheld = "withheld"

// Failure is an attempt without an answer.
type Failure struct {
	// Written is true unless no byte of the request was written.
	Written bool
	// Dialed is true if the connection was made.
	Dialed bool
	// Fresh is true if the connection was new.
	Fresh bool
	// Cancelled is true if nobody waits for the attempt any more.
	Cancelled bool
	// TimedOut is true if the time of the request ran out.
	TimedOut bool
	// Patient is true if the target had far more time than is usual.
	Patient bool
	// Withheld is true if the attempt was not to be sent after all.
	Withheld bool
}

// OfFailure judges an attempt without an answer.
func OfFailure(failure Failure) Verdict {
	switch {
	case failure.Withheld:
		return Verdict{Outcome: placer.Unknown, Reason: Withheld}
	case failure.Cancelled:
		return Verdict{Outcome: placer.Unknown, MayHaveRun: failure.Written, Reason: "cancelled"}
	case !failure.Dialed:
		return Verdict{Outcome: placer.Unreachable, Reason: "unreachable"}
	case failure.TimedOut:
		return Verdict{Outcome: slowIf(failure.Patient), MayHaveRun: failure.Written, Reason: "timed-out"}
	case !failure.Fresh:
		// The connection may have been closed or lost while it was idle.
		return Verdict{Outcome: placer.Unknown, MayHaveRun: failure.Written, Reason: "kept-connection-lost"}
	default:
		return Verdict{Outcome: placer.Failed, MayHaveRun: failure.Written, Reason: "connection-lost"}
	}
}
