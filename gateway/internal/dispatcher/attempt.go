package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/platform"
	"godwitramp.example/shell/exchanger"
)

const (
	// provenWithin is how lately a connection must have been used to carry a
	// request that can't be sent again.
	provenWithin = time.Second
	// maxAnswerBytes bounds an answer, which is held whole before it is passed
	// on.
	maxAnswerBytes = 32 << 20
)

// newsBelow is the suspicion from which another failure is no news to the fleet.
const newsBelow = 0.6

var errWithheld = errors.New("the attempt must not be sent any more")

// attempt is one attempt of a request at one target.
type attempt struct {
	dispatcher *Dispatcher
	job        *job
	target     placer.Target
	number     int

	response *http.Response
	body     []byte
	verdict  assessor.Verdict
	dialed   atomic.Bool
	started  time.Time
	// before and after are the suspicions of the target at the end.
	before, after float64
}

// send does the exchange and judges it.
func (attempt *attempt) send(ctx context.Context) {
	attempt.started = time.Now()
	answer, err := attempt.dispatcher.Exchanger.Do(ctx, attempt.call())
	if err != nil {
		attempt.verdict = assessor.ClassifyFailure(attempt.failureOf(ctx, err))
	} else {
		attempt.read(ctx, answer)
	}
	attempt.settle(time.Since(attempt.started))
}

func (attempt *attempt) call() exchanger.Call {
	request := attempt.request()
	call := exchanger.Call{
		Address: attempt.target.Address, Request: request,
		Connected: func(bool) { attempt.dialed.Store(true) },
		Belongs:   func(response *http.Response) bool { return attempt.belongs(response) },
		BeforeWrite: func() error {
			if !attempt.dispatcher.mayRun(attempt.job) || !attempt.dispatcher.state.usable(attempt.target, attempt.dispatcher.Clock()) {
				return errWithheld
			}
			platform.WriteAttempt(request.Header, attempt.instructions())
			return nil
		},
	}
	if !attempt.job.route.Idempotent {
		call.ReuseWithin = provenWithin
	}
	return call
}

// belongs reports whether an answer may be to this attempt. Targets that don't
// run a request need not say which.
func (attempt *attempt) belongs(response *http.Response) bool {
	reply := platform.ReadReply(response)
	belongs := reply.ID == "" || reply.ID == attempt.job.ask.ID
	if !belongs {
		attempt.dispatcher.Log.WithFields(logrus.Fields{
			"request": attempt.job.ask.ID, "target": attempt.target.ID, "of-request": reply.ID,
		}).Info("answer-dropped")
	}
	return belongs
}

func (attempt *attempt) instructions() platform.Attempt {
	told := platform.Attempt{TargetID: attempt.target.ID, Remaining: time.Until(attempt.job.deadline)}
	if attempt.job.organisation != nil {
		told.Organisation = attempt.job.organisation.Name
	}
	return told
}

// request makes the request for the target, with the path and query as the
// caller wrote them.
func (attempt *attempt) request() *http.Request {
	call := attempt.job.call
	header := call.Request.Header.Clone()
	exchanger.RemoveHopByHop(header)
	platform.CleanRequest(header)
	delete(header, "Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
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
		Withheld: errors.Is(err, errWithheld), AmpleTime: attempt.patient(),
	}
	var exchange *exchanger.Error
	if errors.As(err, &exchange) {
		failure.Written, failure.Fresh = exchange.Written, exchange.FreshConnection
	}
	return failure
}

// read holds the whole answer.
func (attempt *attempt) read(ctx context.Context, answer *exchanger.Answer) {
	response := answer.Response
	reply := platform.ReadReply(response)
	attempt.heed(reply)
	body, err := attempt.hold(io.LimitReader(response.Body, maxAnswerBytes+1))
	answer.Close()
	if err != nil && ctx.Err() != nil {
		attempt.verdict = assessor.ClassifyFailure(attempt.failureOf(ctx, err))
		return
	}
	attempt.response, attempt.body = response, body
	attempt.verdict = assessor.ClassifyAnswer(assessor.Answer{
		Status: response.StatusCode, Signed: reply.Signed, NotRun: reply.NotRun, OtherTarget: reply.OtherTarget,
		Encoded: len(response.Header["Content-Encoding"]) > 0, Whole: err == nil && len(body) <= maxAnswerBytes,
		AmpleTime: attempt.patient(),
		Quick:     attempt.dispatcher.latency.quick(attempt.job.service, time.Since(attempt.started)),
	})
}

// heed takes in what the head of an answer says of the target, also if the rest of the
// answer is cut.
func (attempt *attempt) heed(reply platform.Reply) {
	dispatcher, target := attempt.dispatcher, attempt.target
	log := dispatcher.Log.WithFields(logrus.Fields{"request": attempt.job.ask.ID, "target": target.ID, "service": target.Service})
	if len(reply.Malformed) > 0 {
		log.WithField("headers", reply.Malformed).Warn("answer-header-unread")
	}
	if reply.RetryAfter > 0 {
		meterWord(quietWord)
		lasts := dispatcher.state.quiet(target, reply.RetryAfter, dispatcher.Clock())
		log.WithFields(logrus.Fields{"asked": reply.RetryAfter, "lasts": lasts}).Info("target-quiet")
	}
	if reply.Leaving && dispatcher.state.left(target) {
		meterWord(leavingWord)
		log.WithField("incarnation", target.Incarnation).Info("target-leaving")
		note := messenger.Note{Kind: messenger.Left, Name: target.ID, Incarnation: target.Incarnation}
		dispatcher.Messenger.Tell(note)
		dispatcher.Messenger.TellFleet(note)
	}
}

var errNoRoom = errors.New("the answer takes more memory than is left for it")

// hold reads a body while the transfers of all attempts stay within their bound.
func (attempt *attempt) hold(body io.Reader) ([]byte, error) {
	state := &attempt.dispatcher.state
	state.beginTransfer()
	transfer := &transfer{state: state, body: body}
	defer func() { state.endTransfer(transfer.held) }()
	held, err := io.ReadAll(transfer)
	if errors.Is(err, errNoRoom) {
		attempt.dispatcher.Log.WithFields(logrus.Fields{
			"request": attempt.job.ask.ID, "target": attempt.target.ID, "bytes": transfer.held,
		}).Warn("answer-too-long")
	}
	return held, err
}

// transfer is a body that is being read.
type transfer struct {
	state *state
	body  io.Reader
	held  int64
}

// Read reads the next piece, unless the transfer holds too much.
func (transfer *transfer) Read(buffer []byte) (int, error) {
	n, err := transfer.body.Read(buffer)
	if !transfer.state.growTransfer(transfer.held, int64(n)) {
		err = errNoRoom
	}
	transfer.held += int64(n)
	return n, err
}

// patient reports whether the attempt has lasted far longer than is usual.
func (attempt *attempt) patient() bool {
	usual := attempt.dispatcher.latency.delay(attempt.job.service, attempt.job.route.LatencyObjective)
	return time.Since(attempt.started) >= usual
}

// settle tells the outcome to this VM and the others.
func (attempt *attempt) settle(latency time.Duration) {
	dispatcher, verdict := attempt.dispatcher, attempt.verdict
	meterAttempt(verdict, latency)
	now := dispatcher.Clock()
	attempt.before, attempt.after = dispatcher.state.done(attempt.target, verdict.Outcome, now)
	dispatcher.Messenger.Tell(messenger.Note{
		Kind: messenger.Ended, Name: attempt.target.ID, Service: attempt.job.service, Outcome: verdict.Outcome,
	})
	switch verdict.Outcome {
	case placer.Good:
		dispatcher.latency.observe(attempt.job.service, latency)
	case placer.Failed:
		if attempt.before < newsBelow {
			dispatcher.Messenger.TellFleet(messenger.Note{Kind: messenger.Told, Name: attempt.target.ID, Outcome: placer.Failed})
		}
	}
	if attempt.number == 1 && verdict.Outcome == placer.Good {
		return // the line of the request says the same
	}
	fields := logrus.Fields{
		"request": attempt.job.ask.ID, "attempt": attempt.number, "target": attempt.target.ID, "reason": verdict.Reason,
		"duration": latency.Round(time.Millisecond), "may-have-run": verdict.MayHaveRun,
		"suspicion-before": attempt.before, "suspicion-after": attempt.after,
	}
	dispatcher.Log.WithFields(fields).Info("attempt-ended")
}

// reply passes the target's answer on.
func (attempt *attempt) reply() receiver.Reply {
	header := attempt.response.Header
	exchanger.RemoveHopByHop(header)
	platform.CleanReply(header)
	return receiver.Reply{Status: attempt.response.StatusCode, Header: header, Body: attempt.body}
}
