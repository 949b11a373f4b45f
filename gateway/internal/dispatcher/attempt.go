package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform"
	"godwitramp.example/shell/bufferer"
	"godwitramp.example/shell/detector"
	"godwitramp.example/shell/exchanger"
)

const (
	// maxReuseIdle is the idle time up to which a connection is reused for a request
	// that isn't idempotent, as a request on a dead connection can't be sent again.
	maxReuseIdle = time.Second
	// maxAnswerBytes limits one answer. Answers are buffered completely before they
	// are forwarded.
	maxAnswerBytes = 32 << 20
)

var errWithheld = errors.New("attempt withheld: key withdrawn, configuration too old, or target or VM no longer usable")

// attempt is one attempt of a request at one target.
type attempt struct {
	dispatcher *Dispatcher
	job        *job
	// scope is what the attempt was allowed when it started.
	scope scope
	// target is that of the attempt, unless it is passed on to the VM with the address peer.
	target placer.Target
	peer   string
	// targets is the number of targets to which that VM may send the request.
	targets int
	number  int
	// first is true for the first attempt of the request at the target.
	first bool
	// charged is true if the target was cold when it was picked, so that the attempt took a token of its warm-up.
	charged bool
	// repeated is true if the request was sent to the target's address before. It is only logged.
	repeated bool
	// forwarded is the answer of that VM.
	forwarded receiver.Reply

	response *http.Response
	body     []byte
	trace    exchanger.Trace
	// clean is true while the connection can't have carried an answer to another request.
	clean bool
	// unidentified is true if the answer bears no ID of a request.
	unidentified bool
	verdict      assessor.Verdict
	dialed       atomic.Bool
	started      time.Time
	// launched is when the handler started the attempt, and hedge is true for a hedge of a service with a limit.
	launched time.Time
	hedge    bool
	watch    watch
	// written is true if the request may have been written, silent if the target can't be reached that
	// has not answered it, and outstanding once it is recorded that it lasts longer than its objective.
	written, silent, outstanding atomic.Bool
	// lost is true if the connection ended after the request was written and before an answer, cut if it ended in the
	// middle of the answer, and crashed if the target couldn't be reached right after that.
	lost, cut, crashed bool
	// follows is true if it is a retry after the crash of another target.
	follows bool
	// suspicionBefore and suspicionAfter are the target's suspicion right before and
	// right after the outcome was recorded.
	suspicionBefore, suspicionAfter float64
}

// send sends the request, classifies the result and records it.
func (attempt *attempt) send(ctx context.Context) {
	attempt.started = time.Now()
	attempt.startWatch()
	answer, err := attempt.dispatcher.Exchanger.Do(ctx, attempt.call())
	attempt.stopOutstanding()
	if err != nil {
		attempt.verdict = assessor.ClassifyFailure(attempt.failureOf(ctx, err))
	} else {
		err = attempt.read(ctx, answer)
	}
	attempt.endWatch(err)
	latency := time.Since(attempt.started)
	attempt.detectCrash(ctx)
	if attempt.lost || attempt.crashed {
		attempt.dispatcher.state.connectionLost(attempt.target, attempt.dispatcher.Clock())
	}
	if attempt.silent.Load() && err != nil {
		attempt.crashed, attempt.verdict.Outcome = true, placer.Unreachable
	} else if attempt.verdict.Outcome == placer.Unreachable {
		attempt.dispatcher.recordUnreachable(attempt.scope, attempt.target)
	}
	attempt.recordOutcome(latency)
}

// abandon ends an attempt whose code has panicked. The request may have run.
func (attempt *attempt) abandon() {
	attempt.response = nil
	attempt.verdict = assessor.Verdict{Outcome: placer.Unknown, MayHaveRun: true, Reason: "panicked"}
	if attempt.peer == "" {
		attempt.recordOutcome(time.Since(attempt.started))
	}
}

func (attempt *attempt) call() exchanger.Call {
	request := attempt.request()
	call := exchanger.Call{
		Address: attempt.target.Address, Request: request,
		// Any late answer would match if the caller gave no ID.
		Tag: attempt.job.metadata.ID, FreshOnly: attempt.job.metadata.ID == "",
		Connected: func(fresh bool) {
			attempt.dialed.Store(true)
			attempt.clean = fresh
			if fresh {
				attempt.dispatcher.recordConnected(attempt.scope, attempt.target)
			}
		},
		Matches: func(response *http.Response) bool { return attempt.matches(response) },
		BeforeWrite: func() error {
			if !attempt.mayWrite() {
				return errWithheld
			}
			platform.WriteAttempt(request.Header, attempt.instructions())
			attempt.written.Store(true)
			return nil
		},
	}
	if !attempt.job.route.Idempotent {
		call.MaxIdleTime = maxReuseIdle
	}
	return call
}

// mayWrite reports whether the request may be written to the target by the configuration and the targets known
// now, as it may have waited for a connection.
func (attempt *attempt) mayWrite() bool {
	dispatcher := attempt.dispatcher
	now := dispatcher.Clock()
	return dispatcher.maySend(attempt.job) && dispatcher.knowsEvacuations() && dispatcher.permits(attempt.job, attempt.target) && dispatcher.state.usable(attempt.target, now) &&
		(attempt.charged || !dispatcher.state.cold(attempt.target.ID, now))
}

// matches reports whether the answer belongs to this attempt. One without a request ID does only if nothing
// else can have come over the connection.
func (attempt *attempt) matches(response *http.Response) bool {
	reply := platform.ReadReply(response)
	if reply.ID == attempt.job.metadata.ID && reply.ID != "" || reply.ID == "" && attempt.clean {
		return true
	}
	attempt.clean = false
	attempt.dispatcher.Log.WithFields(logrus.Fields{
		"request": attempt.job.metadata.ID, "target": attempt.target.ID, "of-request": reply.ID,
	}).Info("answer-mismatched")
	return false
}

func (attempt *attempt) instructions() platform.Attempt {
	instructions := platform.Attempt{TargetID: attempt.target.ID, Remaining: time.Until(attempt.job.deadline)}
	if attempt.job.organisation != nil {
		instructions.Organisation = attempt.job.organisation.Name
	}
	return instructions
}

// request returns the request for the target. Path and query are forwarded exactly as
// received.
func (attempt *attempt) request() *http.Request {
	call := attempt.job.call
	header := call.Request.Header.Clone()
	exchanger.RemoveHopByHop(header)
	platform.CleanRequest(header)
	delete(header, "Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	target := &url.URL{Opaque: call.Target}
	if strings.HasPrefix(call.Target, "//") {
		target = call.Request.URL
	}
	request := &http.Request{
		Method: call.Request.Method, URL: target, Host: call.Request.Host, Header: header, ContentLength: int64(len(call.Body)),
	}
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return request
}

func (attempt *attempt) failureOf(ctx context.Context, err error) assessor.Failure {
	failure := assessor.Failure{
		Written: true, Dialed: attempt.dialed.Load(),
		Cancelled: errors.Is(ctx.Err(), context.Canceled), TimedOut: errors.Is(ctx.Err(), context.DeadlineExceeded),
		Withheld: errors.Is(err, errWithheld), AmpleTime: attempt.ampleTime(), Unacked: errors.Is(err, syscall.ETIMEDOUT),
		Malformed: errors.Is(err, detector.ErrMalformed),
	}
	var exchange *exchanger.Error
	if errors.As(err, &exchange) {
		attempt.trace = exchange.Trace
		failure.Written, failure.Fresh = exchange.Written, exchange.FreshConnection
		// A connection that this VM's side has ended, as nothing was acknowledged, says nothing about a
		// crash.
		attempt.lost = exchange.Written && !exchange.Answered && ctx.Err() == nil && !failure.Unacked
		attempt.cut = exchange.Answered && !exchange.Malformed && ctx.Err() == nil
	}
	return failure
}

// read reads the whole answer and classifies it. It returns the error of reading the body.
func (attempt *attempt) read(ctx context.Context, answer *exchanger.Answer) error {
	response := answer.Response
	reply := platform.ReadReply(response)
	attempt.trace, attempt.unidentified = answer.Trace, reply.ID == ""
	attempt.handleSignals(reply)
	body, err := attempt.readBody(io.LimitReader(response.Body, maxAnswerBytes+1))
	answer.Close()
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		attempt.verdict = assessor.ClassifyFailure(attempt.failureOf(ctx, err))
		return err
	}
	attempt.response, attempt.body = response, body
	attempt.verdict = assessor.ClassifyAnswer(assessor.Answer{
		Status: response.StatusCode, Signed: reply.Signed, NotRun: reply.NotRun, OtherTarget: reply.OtherTarget,
		Encoded: len(response.Header["Content-Encoding"]) > 0, Complete: err == nil && len(body) <= maxAnswerBytes,
		Malformed: errors.Is(err, detector.ErrMalformed), AmpleTime: attempt.ampleTime(),
		Quick: attempt.dispatcher.latency.isQuick(attempt.job.service, time.Since(attempt.started)),
	})
	attempt.cut = attempt.verdict.MayHaveRun && err != nil && exchanger.IsConnectionError(err)
	return err
}

// handleSignals applies what the headers of an answer announce about the target: that
// it is leaving, that it requests a cool-down, or names a limit. It is called before the body is read,
// so that truncated answers count too.
func (attempt *attempt) handleSignals(reply platform.Reply) {
	dispatcher, target := attempt.dispatcher, attempt.target
	log := dispatcher.Log.WithFields(logrus.Fields{"request": attempt.job.metadata.ID, "target": target.ID, "service": target.Service})
	if len(reply.Malformed) > 0 {
		log.WithField("headers", reply.Malformed).Warn("answer-header-malformed")
	}
	if reply.RetryAfter > 0 {
		countSignal(coolDownSignal)
		duration := dispatcher.state.coolDown(target, reply.RetryAfter, dispatcher.Clock())
		log.WithFields(logrus.Fields{"requested": reply.RetryAfter, "cool-down": duration}).Info("target-cooling-down")
	}
	attempt.handleLimit(log, reply)
	if reply.Leaving && dispatcher.state.markLeaving(target) {
		countSignal(leavingSignal)
		log.WithField("incarnation", target.Incarnation).Info("target-leaving")
		event := messenger.Event{Kind: messenger.TargetLeaving, Name: target.ID, Incarnation: target.Incarnation}
		dispatcher.Messenger.SendToGroup(event)
		dispatcher.Messenger.SendToFleet(event)
	}
}

// handleLimit applies the limit that an answer names, or the end of one.
func (attempt *attempt) handleLimit(log *logrus.Entry, reply platform.Reply) {
	dispatcher := attempt.dispatcher
	now := dispatcher.Clock()
	event, changed := dispatcher.state.limit(attempt.target, reply, now-time.Since(attempt.started), now)
	if changed {
		countSignal(limitSignal)
		fields := logrus.Fields{"incarnation": attempt.target.Incarnation}
		name := "target-limit-ended"
		if reply.Limited {
			fields["limit"], name = reply.Limit, "target-limited"
		}
		log.WithFields(fields).Info(name)
	}
	if event != nil {
		dispatcher.Messenger.SendToGroup(*event)
		dispatcher.Messenger.SendToFleet(*event)
	}
}

// readBody reads the body. It fails if all answers in transfer exceed the memory limit and this one
// exceeds its share.
func (attempt *attempt) readBody(body io.Reader) ([]byte, error) {
	received, release, err := attempt.dispatcher.answers.ReadAll(body)
	defer release()
	if errors.Is(err, bufferer.ErrTooLarge) {
		attempt.dispatcher.Log.WithFields(logrus.Fields{
			"request": attempt.job.metadata.ID, "target": attempt.target.ID, "bytes": len(received),
		}).Warn("answer-too-long")
	}
	return received, err
}

// ampleTime reports whether the attempt has lasted at least the hedge delay: far longer
// than the service's answers usually take, or the latency objective while that is unknown.
func (attempt *attempt) ampleTime() bool {
	hedgeDelay := attempt.dispatcher.latency.hedgeDelay(attempt.job.service, attempt.job.route.LatencyObjective)
	return time.Since(attempt.started) >= hedgeDelay
}

// recordOutcome records the outcome in this VM and sends it to the others.
func (attempt *attempt) recordOutcome(latency time.Duration) {
	dispatcher, verdict := attempt.dispatcher, attempt.verdict
	countAttempt(verdict, latency)
	now := dispatcher.Clock()
	attempt.suspicionBefore, attempt.suspicionAfter = dispatcher.state.done(attempt.target, attempt.outcome(), now)
	dispatcher.reportDrained()
	event := messenger.Event{Kind: messenger.AttemptDone, Name: attempt.target.ID, Service: attempt.job.service, Outcome: attempt.outcome()}
	attempt.observe(&event, latency)
	dispatcher.Messenger.SendToGroup(event)
	switch verdict.Outcome {
	case placer.Good:
		dispatcher.latency.observe(attempt.job.service, latency)
		attempt.job.answered.Store(true)
		dispatcher.recordAnswer(attempt.job)
	case placer.Failed:
		if attempt.job.route.Idempotent { // for others the end of the request follows
			dispatcher.report(attempt.failure(), attempt.target.ID)
		}
	}
	if attempt.number == 1 && verdict.Outcome == placer.Good {
		return // the event request-answered has the same fields
	}
	fields := logrus.Fields{
		"request": attempt.job.metadata.ID, "attempt": attempt.number, "target": attempt.target.ID, "reason": verdict.Reason,
		"duration": latency.Round(time.Millisecond), "may-have-run": verdict.MayHaveRun,
		"suspicion-before": attempt.suspicionBefore, "suspicion-after": attempt.suspicionAfter,
	}
	if attempt.repeated {
		fields["repeated"] = true
	}
	attempt.logTrace(fields)
	if attempt.lost || attempt.cut || attempt.crashed {
		if fingerprint, ok := dispatcher.fingerprint(attempt.job); ok {
			fields["fingerprint"] = fingerprint
		}
		fields["target-crashed"] = attempt.crashed
	}
	dispatcher.Log.WithFields(fields).Info("attempt-ended")
}

// logTrace adds what tells the answer to this attempt from one to an earlier request of the connection, or to
// an earlier attempt.
func (attempt *attempt) logTrace(fields logrus.Fields) {
	trace := attempt.trace
	if trace.Connection == 0 {
		return
	}
	fields["target-connection"], fields["carried"] = trace.Connection, trace.Earlier
	if trace.FirstByte > 0 {
		fields["first-byte"] = trace.FirstByte.Round(time.Microsecond)
	}
	if trace.Discarded > 0 {
		fields["discarded"] = trace.Discarded
	}
	if attempt.response != nil {
		fields["target-status"], fields["identified"] = attempt.response.StatusCode, !attempt.unidentified
	}
}

func (attempt *attempt) failure() placer.Failure {
	return placer.Failure{Service: attempt.job.service, Outcome: attempt.verdict.Outcome, Suspicion: attempt.suspicionBefore}
}

// report tells the VMs outside the group of a failure, if it is news to them. The target is
// empty if none is to blame.
func (dispatcher *Dispatcher) report(failure placer.Failure, target string) {
	report := dispatcher.state.report(failure, dispatcher.Clock())
	var events []messenger.Event
	if report.Target && target != "" {
		events = append(events, messenger.Event{Kind: messenger.AttemptOutcome, Name: target, Outcome: failure.Outcome})
	}
	if report.Request {
		events = append(events, messenger.Event{Kind: messenger.FleetFailure, Service: failure.Service, Load: report.Load})
	}
	if len(events) > 0 {
		dispatcher.Messenger.SendToFleet(events...)
	}
}

// reply returns the target's answer without hop-by-hop headers and those of the platform.
func (attempt *attempt) reply() receiver.Reply {
	if attempt.peer != "" {
		return attempt.forwarded
	}
	header := attempt.response.Header
	exchanger.RemoveHopByHop(header)
	platform.CleanReply(header)
	return receiver.Reply{Status: attempt.response.StatusCode, Header: header, Body: attempt.body, FromTarget: true}
}
