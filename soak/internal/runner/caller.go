package runner

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"godwitramp.example/platform/faker"
	"godwitramp.example/shell/timer"
	"godwitramp.example/soak/internal/auditor"
	"godwitramp.example/soak/internal/planner"
)

const (
	// meanPause is the mean time between two requests of a caller.
	meanPause = 80 * time.Millisecond
	// floodPause is the pause of callers that exceed their rate.
	floodPause  = 5 * time.Millisecond
	dialTimeout = time.Second
	// maxRequestsPerConnection is the maximum for connections that the caller closes
	// itself. Half of the connections stay open until the VM closes them.
	maxRequestsPerConnection = 30
	// maxPipelined is the maximum number of requests sent before the first answer.
	maxPipelined = 3
	// Callers wait between minWait and maxWait for an answer.
	minWait = time.Second
	maxWait = 4 * time.Second
	// One in longShare pipelines consists of requests at which a target works between
	// minWork and maxWork, which are sent up to maxLongGap after each other. Those of half
	// of the others are sent up to maxGap after each other.
	longShare  = 120
	minWork    = 200 * time.Millisecond
	maxWork    = 2500 * time.Millisecond
	maxLongGap = time.Second
	maxGap     = 40 * time.Millisecond
	// Callers that abandon a request do so between minLeaveDelay and maxLeaveDelay
	// after they sent it.
	minLeaveDelay = 5 * time.Millisecond
	maxLeaveDelay = 400 * time.Millisecond
	// Callers use one of the recentKeys newest keys and one of the recentRoutes newest
	// added routes, so that some of them are already withdrawn or removed.
	recentKeys   = 2
	recentRoutes = 2
)

// caller sends requests on one connection after another.
type caller struct {
	runner *Runner
	index  int
	random *rand.Rand
	sent   int
}

func (caller *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if vm := caller.pickVM(); vm != nil {
			caller.useConnection(ctx, vm)
		}
		timer.Sleep(ctx, caller.pause())
	}
}

func (caller *caller) pause() time.Duration {
	if caller.runner.flood.on() && caller.index%2 == 0 {
		return floodPause
	}
	return time.Duration(caller.random.ExpFloat64() * float64(meanPause))
}

const (
	// crashingCallers is the index of the first caller whose request crashes targets.
	crashingCallers = 1000000
	// maxCrashingPause is the longest pause between two of its requests.
	maxCrashingPause = 600 * time.Millisecond
)

// sendCrashing sends the same request again and again, to any VM, for the duration of the fault. It
// crashes each target that runs it.
func (caller *caller) sendCrashing(ctx context.Context, fault planner.Fault) {
	end := time.Now().Add(fault.Duration)
	for time.Now().Before(end) {
		if vm := caller.pickVM(); vm != nil {
			caller.sendOnce(vm, caller.runner.crashingRequest(fault.Subject))
		}
		if !timer.Sleep(ctx, time.Duration(caller.random.Int64N(int64(maxCrashingPause)))) {
			return
		}
	}
}

// crashingRequest returns the request with a number that crashes targets: a read, or every other one a booking
// where targets fall silent.
func (runner *Runner) crashingRequest(number int) auditor.Call {
	call := auditor.Call{Idempotent: true}
	call.Method, call.Path = http.MethodGet, fmt.Sprintf("/lists%s%d", faker.CrashPath, number)
	if runner.Plan.Silences() && number%2 == 1 {
		call.Idempotent, call.Method, call.Body = false, http.MethodPost, "book"
		call.Path = fmt.Sprintf("/jobs%s%d", faker.CrashPath, number)
	}
	return call
}

// sendOnce sends one request on a connection of its own.
func (caller *caller) sendOnce(vm *vm, request auditor.Call) {
	connection, err := net.DialTimeout("tcp", vm.callersAddress, dialTimeout)
	if err != nil {
		return // nothing was sent
	}
	defer func() { _ = connection.Close() }()
	_, start := vm.current()
	call := caller.newCall(vm, start)
	call.Method, call.Idempotent, call.Body, call.Path = request.Method, request.Idempotent, request.Body, request.Path
	key, _ := caller.runner.configuration.newest()
	call.Key = fmt.Sprint("key-", key) // always the same organisation
	caller.exchange(connection, bufio.NewReader(connection), []*auditor.Call{call}, 0)
}

// pickVM returns a random VM that the simulated balancer considers ready, or nil.
func (caller *caller) pickVM() *vm {
	vms := caller.runner.vms
	first := caller.random.IntN(len(vms))
	for i := range vms {
		if vm := vms[(first+i)%len(vms)]; vm.ready.Load() {
			return vm
		}
	}
	return nil
}

// useConnection opens a connection and sends requests on it until it ends.
func (caller *caller) useConnection(ctx context.Context, vm *vm) {
	connection, err := net.DialTimeout("tcp", vm.callersAddress, dialTimeout)
	if err != nil {
		return // nothing was sent
	}
	defer func() { _ = connection.Close() }()
	_, start := vm.current()
	reader := bufio.NewReader(connection)
	requests := 1 + caller.random.IntN(maxRequestsPerConnection)
	if caller.random.IntN(2) == 0 {
		requests = math.MaxInt
	}
	for range requests {
		calls, maxGap := caller.newCalls(vm, start)
		if !caller.exchange(connection, reader, calls, maxGap) || !timer.Sleep(ctx, caller.pause()) {
			return
		}
	}
}

// newCalls returns the requests to pipeline and the longest time between two of them: one
// request, or up to maxPipelined if all are idempotent.
func (caller *caller) newCalls(vm *vm, start int) ([]*auditor.Call, time.Duration) {
	if caller.random.IntN(longShare) == 0 {
		var calls []*auditor.Call
		for range 1 + caller.random.IntN(maxPipelined) {
			calls = append(calls, caller.newLongCall(vm, start))
		}
		return calls, maxLongGap
	}
	calls := []*auditor.Call{caller.newCall(vm, start)}
	for calls[0].Idempotent && len(calls) < maxPipelined && caller.random.IntN(8) == 0 {
		if next := caller.newCall(vm, start); next.Idempotent {
			calls = append(calls, next)
		}
	}
	return calls, time.Duration(caller.random.IntN(2)) * maxGap
}

// newLongCall returns a request that lasts long, possibly longer than the VM.
func (caller *caller) newLongCall(vm *vm, start int) *auditor.Call {
	call := caller.newCall(vm, start)
	call.Method, call.Idempotent, call.Body = http.MethodGet, true, ""
	call.Remaining += maxWork
	work := minWork + time.Duration(caller.random.Int64N(int64(maxWork-minWork)))
	call.Path = fmt.Sprintf("/long/%s?work=%s", call.ID, work.Truncate(time.Millisecond))
	return call
}

// newCall returns a random request.
func (caller *caller) newCall(vm *vm, start int) *auditor.Call {
	caller.sent++
	id := fmt.Sprintf("c%d-%d", caller.index, caller.sent)
	wait := minWait + time.Duration(caller.random.Int64N(int64(maxWait-minWait)))
	call := &auditor.Call{
		Request:    faker.Request{Host: host, Method: http.MethodGet, ID: id, Remaining: wait.Truncate(time.Millisecond)},
		Idempotent: true, VM: vm.name, Start: start,
	}
	key, added := caller.runner.configuration.newest()
	call.Key = fmt.Sprint("key-", max(0, key-max(0, caller.random.IntN(4*recentKeys)-3*recentKeys)))
	if caller.runner.flood.on() && caller.index%2 == 0 {
		call.Key = rateLimitedKey
	}
	switch caller.random.IntN(10) {
	case 0, 1, 2, 3:
		call.Path, call.Method, call.Idempotent, call.Body = "/jobs/"+id, http.MethodPost, false, "book "+id
	case 4, 5, 6:
		call.Path = "/lists/" + id
	case 7, 8:
		call.Path = "/moves/" + id
	default:
		call.Path = "/" + addedRouteName(max(0, added-caller.random.IntN(recentRoutes))) + "/" + id
	}
	return call
}

// exchange sends the requests, up to maxGap after each other, and reads their answers. It
// reports false if the connection must not be used again.
func (caller *caller) exchange(connection net.Conn, reader *bufio.Reader, calls []*auditor.Call, maxGap time.Duration) bool {
	defer func() {
		caller.runner.update(func(record *auditor.Record) {
			for _, call := range calls {
				record.Calls = append(record.Calls, *call)
			}
		})
	}()
	abandons := caller.random.IntN(50) == 0 || caller.runner.giveUp.on() && caller.random.IntN(3) == 0
	gaps := make([]time.Duration, len(calls))
	for i := 1; i < len(calls) && maxGap > 0; i++ {
		gaps[i] = time.Duration(caller.random.Int64N(int64(maxGap)))
	}
	sent := make(chan *auditor.Call, len(calls))
	go func() {
		defer close(sent)
		for i, call := range calls {
			time.Sleep(gaps[i])
			call.Sent = time.Now()
			if call.Write(connection) != nil {
				call.Outcome = auditor.Incomplete
			}
			sent <- call
		}
	}()
	var last *auditor.Call // at which the connection ended
	for call := range sent {
		switch {
		case last != nil:
			endBehind(call, last)
		case call.Outcome == auditor.Incomplete:
			call.Ended, last = time.Now(), call
		default:
			deadline := call.Sent.Add(call.Remaining)
			if abandons {
				leaveDelay := minLeaveDelay + time.Duration(caller.random.Int64N(int64(maxLeaveDelay-minLeaveDelay)))
				deadline = call.Sent.Add(min(call.Remaining, leaveDelay))
			}
			if !caller.read(connection, reader, call, deadline) {
				last = call
			}
		}
	}
	return last == nil
}

// endBehind ends a call that was sent behind the one at which the connection ended.
func endBehind(call, last *auditor.Call) {
	call.Behind, call.Outcome, call.Ended = last.ID, auditor.Incomplete, time.Now()
	if last.Outcome == auditor.CallerLeft {
		call.Outcome = auditor.CallerLeft
		if call.Sent.Before(last.Ended) {
			call.Ended = last.Ended
		}
	}
}

// read reads the answer to a request. It reports false if the connection must not be
// used again.
func (caller *caller) read(connection net.Conn, reader *bufio.Reader, call *auditor.Call, deadline time.Time) bool {
	_ = connection.SetReadDeadline(deadline)
	answer, err := faker.ReadAnswer(reader)
	if err == nil {
		call.Answer, call.Outcome, call.Ended = answer, auditor.Complete, time.Now()
		return !answer.Closes
	}
	call.Outcome = auditor.Incomplete
	if !time.Now().Before(deadline) {
		call.Outcome = auditor.CallerLeft
	}
	_ = connection.Close()
	call.Ended = time.Now()
	return false
}
