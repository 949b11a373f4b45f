package forwarder

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/router"
	"godwitramp.example/shell/exchanger"
)

// reasons names the results of attempts in the log.
var reasons = map[router.ResultKind]string{
	router.Failed: "target-failed", router.Shed: "shed", router.ConnectionLost: "connection-lost", router.Truncated: "truncated",
	router.WrongAnswer: "wrong-answer", router.TimedOut: "timed-out",
}

// logAttempt writes a line for an attempt that failed, was rejected, or whose connection carried another's answer.
// It tells an answer to the attempt from a copy of an earlier one.
func (handler *handler) logAttempt(attempt *attempt, result result) {
	trace := attempt.trace()
	reason := reasons[result.kind]
	if result.saidNotRun {
		reason = string(NotRun)
	}
	if handler.forwarder.Log == nil || reason == "" && trace.Discarded == 0 {
		return
	}
	fields := logrus.Fields{
		"request": handler.job.RequestID, "attempt": attempt.id, "target": attempt.target.Path,
		"may-have-run": result.delivery.MayHaveRun(), "duration": attempt.ended.Sub(attempt.started),
	}
	if reason != "" {
		fields["reason"] = reason
	}
	if trace.Connection > 0 {
		fields["target-connection"], fields["carried"], fields["carried-unidentified"] = trace.Connection, trace.Earlier, trace.Unnamed
	}
	if trace.FirstByte > 0 {
		fields["first-byte"] = trace.FirstByte.Round(time.Microsecond)
	}
	if attempt.answer != nil {
		fields["target-status"], fields["identified"] = attempt.answer.Response.StatusCode, !attempt.answer.Unnamed && result.kind != router.WrongAnswer
	}
	event := "attempt-ended"
	if trace.Discarded > 0 || result.kind == router.WrongAnswer || result.saidNotRun && result.delivery.MayHaveRun() {
		event, fields["discarded"] = "answer-mismatched", trace.Discarded
	}
	handler.forwarder.Log.WithFields(fields).Info(event)
}

func (attempt *attempt) trace() exchanger.Trace {
	var failure *exchanger.Error
	switch {
	case attempt.answer != nil:
		return attempt.answer.Trace
	case errors.As(attempt.err, &failure):
		return failure.Trace
	}
	return exchanger.Trace{}
}
