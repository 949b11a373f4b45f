// Package assessor classifies the end of an attempt: whether its answer may go to the
// caller, whether the request may have run, and what it says about the target's health.
//
// # Usage
//
//	verdict := assessor.ClassifyAnswer(assessor.Answer{Status: 200, Signed: true, Complete: true})
//	if verdict.Deliver == assessor.Always {
//		// Pass the answer on.
//	}
package assessor

import (
	"net/http"

	"godwitramp.example/core/placer"
)

// Delivery says whether an answer may be delivered to the caller.
type Delivery int

// The kinds of delivery.
const (
	// Never is for answers that are incomplete or can't be trusted to be the target's,
	// and for refusals to run the request.
	Never Delivery = iota
	// IfLast is for failures of a target. They are delivered unless the request is
	// retried.
	IfLast
	// Always is for final answers.
	Always
)

// Verdict is the classification of an attempt.
type Verdict struct {
	// Outcome is the evidence on the target's health.
	Outcome placer.Outcome
	// MayHaveRun is false only if the request certainly did not run.
	MayHaveRun bool
	Deliver    Delivery
	// Reason identifies the verdict in logs.
	Reason string
}

// Answer describes the answer of a target.
type Answer struct {
	Status int
	// Signed is true if the answer carries the target's signature.
	Signed bool
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// OtherTarget is true if another target than the expected one answered.
	OtherTarget bool
	// Encoded is true if the body has a content encoding. Requests never ask for one.
	Encoded bool
	// Complete is true if the body was read to its end.
	Complete bool
	// Malformed is true if what came behind the head violates HTTP.
	Malformed bool
	// AmpleTime is true if the attempt lasted far longer than the service's typical
	// latency.
	AmpleTime bool
	// Quick is true if the answer came far sooner than the service's typical latency.
	Quick bool
}

// ClassifyAnswer returns the verdict on an answer.
func ClassifyAnswer(answer Answer) Verdict {
	verdict := Verdict{MayHaveRun: true}
	switch {
	case answer.Malformed:
		verdict.Outcome, verdict.Reason = placer.Failed, answerMalformed
	case answer.OtherTarget:
		return Verdict{Outcome: placer.Replaced, Reason: "other-target"}
	case answer.NotRun:
		return Verdict{Outcome: placer.Full, Reason: "not-run"}
	case !answer.Complete:
		verdict.Outcome, verdict.Reason = placer.Failed, "answer-cut"
	case answer.Encoded:
		verdict.Outcome, verdict.Reason = placer.Failed, "answer-encoded"
	case !answer.Signed:
		verdict.Outcome, verdict.Reason = placer.Failed, "answer-unsigned"
	case impliesNotRun(answer.Status):
		// The caller would conclude from the status that the request did not run.
		verdict.Outcome, verdict.Reason = placer.Failed, "status-misleading"
	case answer.Status == http.StatusGatewayTimeout:
		// The target stopped its work at the request's deadline.
		verdict.Outcome, verdict.Reason, verdict.Deliver = outcomeOfTimeout(answer.AmpleTime), "target-timed-out", IfLast
	case answer.Status >= http.StatusInternalServerError:
		verdict.Outcome, verdict.Reason, verdict.Deliver = outcomeOfFailure(answer.Quick), "target-failed", IfLast
	default:
		verdict.Outcome, verdict.Reason, verdict.Deliver = placer.Good, "answered", Always
	}
	return verdict
}

// outcomeOfFailure returns the outcome of a failure that a target answered with. An
// unhealthy target fails at once. A failure after the usual processing time is mostly
// caused by the request, and other targets would fail it too.
func outcomeOfFailure(quick bool) placer.Outcome {
	if quick {
		return placer.Failed
	}
	return placer.FailedLate
}

// outcomeOfTimeout returns the outcome of an attempt that timed out. If it had no more
// time than many good answers take, the timeout says nothing about its target.
func outcomeOfTimeout(ampleTime bool) placer.Outcome {
	if ampleTime {
		return placer.Slow
	}
	return placer.Unknown
}

// Forwarded describes the answer of another VM to which a request was passed on.
type Forwarded struct {
	Status int
	// FromTarget is true if a target gave the answer, and Abort if the VM has none.
	FromTarget, Abort bool
	// Malformed is true if the name of a field is invalid. VMs of earlier versions pass such answers of targets on.
	Malformed bool
	// NotRun is true if the VM states that the request did not and will not run. VMs of the first versions
	// never do.
	NotRun bool
	// Targets is the number of targets to which the VM sent the request.
	Targets int
}

// ClassifyForwarded returns the verdict on the answer of another VM. A refusal that doesn't state that the
// request did not run is believed only if it was sent to no target: the VM may have concluded it from less.
func ClassifyForwarded(answer Forwarded) Verdict {
	verdict := Verdict{Outcome: placer.Unknown, MayHaveRun: true}
	refusal := answer.Status >= http.StatusBadRequest && answer.Status < http.StatusInternalServerError || answer.Status == http.StatusServiceUnavailable
	switch {
	case answer.Abort:
		verdict.Reason = "peer-lost"
	case answer.FromTarget && (answer.Malformed || answer.Status < http.StatusOK || answer.Status > maxStatus):
		verdict.Reason = answerMalformed
	case answer.FromTarget && impliesNotRun(answer.Status):
		verdict.Reason = "status-misleading"
	case answer.FromTarget && answer.Status >= http.StatusInternalServerError:
		verdict.Reason, verdict.Deliver = "target-failed", IfLast
	case answer.FromTarget:
		verdict.Reason, verdict.Deliver = "answered", Always
	case refusal && (answer.NotRun || answer.Targets == 0):
		verdict.Reason, verdict.MayHaveRun = "peer-refused", false
	case refusal:
		verdict.Reason = "peer-refused-unproven"
	default:
		verdict.Reason = "peer-failed"
	}
	return verdict
}

// maxStatus is the highest status that an answer may have. VMs of earlier versions pass on higher ones.
const maxStatus = 599

// impliesNotRun reports whether callers take the status as a promise that the request
// did not and will not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// Withheld is the reason of an attempt that was stopped before it was sent.
const Withheld = "withheld"

// Cancelled is the reason of attempts whose result was no longer needed.
const Cancelled = "cancelled"

// Failure describes an attempt without an answer.
type Failure struct {
	// Written is true if at least one byte of the request was, or may have been, written.
	Written bool
	// Dialed is true if the connection was made.
	Dialed bool
	// Fresh is true if the connection was new.
	Fresh bool
	// Cancelled is true if the result of the attempt is no longer needed.
	Cancelled bool
	// TimedOut is true if the request's deadline passed.
	TimedOut bool
	// AmpleTime is true if the attempt lasted far longer than the service's typical
	// latency.
	AmpleTime bool
	// Withheld is true if the attempt was stopped before it was sent.
	Withheld bool
	// Unacked is true if the target acknowledged nothing on the connection for too long.
	Unacked bool
	// Malformed is true if an answer came whose head violates HTTP.
	Malformed bool
}

// answerMalformed is the reason of an answer that violates HTTP.
const answerMalformed = "answer-malformed"

// ClassifyFailure returns the verdict on an attempt without an answer.
func ClassifyFailure(failure Failure) Verdict {
	switch {
	case failure.Withheld:
		return Verdict{Outcome: placer.Unknown, Reason: Withheld}
	case failure.Cancelled:
		return Verdict{Outcome: placer.Unknown, MayHaveRun: failure.Written, Reason: Cancelled}
	case failure.Malformed:
		return Verdict{Outcome: placer.Failed, MayHaveRun: failure.Written, Reason: answerMalformed}
	case !failure.Dialed:
		return Verdict{Outcome: placer.Unreachable, Reason: "unreachable"}
	case failure.Unacked && !failure.TimedOut:
		return Verdict{Outcome: placer.Unreachable, MayHaveRun: failure.Written, Reason: "unacknowledged"}
	case failure.TimedOut:
		return Verdict{Outcome: outcomeOfTimeout(failure.AmpleTime), MayHaveRun: failure.Written, Reason: "timed-out"}
	case !failure.Fresh:
		// A reused connection may have been closed or lost while it was idle, without a
		// fault of the target.
		return Verdict{Outcome: placer.Unknown, MayHaveRun: failure.Written, Reason: "kept-connection-lost"}
	default:
		return Verdict{Outcome: placer.Failed, MayHaveRun: failure.Written, Reason: "connection-lost"}
	}
}
