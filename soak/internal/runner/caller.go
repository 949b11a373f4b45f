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
)

const (
	// meanPause is the mean time between two requests of a caller.
	meanPause = 80 * time.Millisecond
	// floodPause is that of callers that flood.
	floodPause  = 5 * time.Millisecond
	dialTimeout = time.Second
	// shortKept is the most requests that a caller sends on a connection which it
	// closes itself. Half of the connections are kept until the VM ends them.
	maxRequestsPerConnection = 30
	// pipelined is the most requests that are sent before the first is answered.
	maxPipelined = 3
	// shortestWait and longestWait bound how long a caller waits for an answer.
	minWait = time.Second
	maxWait = 4 * time.Second
	// earliestLeave and latestLeave bound when a caller gives up before its time.
	minLeaveDelay = 5 * time.Millisecond
	maxLeaveDelay = 400 * time.Millisecond
	// oldKeys and oldRoutes are how many names back callers go on using.
	recentKeys   = 2
	recentRoutes = 2
)

// caller sends requests, one connection after the other.
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

// pick returns a VM that counts as ready, as the balancer would.
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

// connect sends requests on one connection until it ends.
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
		calls := caller.newCalls(vm, start)
		if !caller.exchange(connection, reader, calls) || !timer.Sleep(ctx, caller.pause()) {
			return
		}
	}
}

// calls makes the requests that are sent together: one, or several that may run
// more than once.
func (caller *caller) newCalls(vm *vm, start int) []*auditor.Call {
	calls := []*auditor.Call{caller.newCall(vm, start)}
	for calls[0].Idempotent && len(calls) < maxPipelined && caller.random.IntN(8) == 0 {
		if next := caller.newCall(vm, start); next.Idempotent {
			calls = append(calls, next)
		}
	}
	return calls
}

func (caller *caller) newCall(vm *vm, start int) *auditor.Call {
	caller.sent++
	id := fmt.Sprintf("c%d-%d", caller.index, caller.sent)
	wait := minWait + time.Duration(caller.random.Int64N(int64(maxWait-minWait)))
	call := &auditor.Call{
		Ask:        faker.Ask{Host: host, Method: http.MethodGet, ID: id, Remaining: wait.Truncate(time.Millisecond)},
		Idempotent: true, VM: vm.name, Start: start,
	}
	key, added := caller.runner.settings.newest()
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

// exchange sends requests and reads their answers. It reports false if the
// connection is not to be used any more.
func (caller *caller) exchange(connection net.Conn, reader *bufio.Reader, calls []*auditor.Call) bool {
	defer func() {
		for _, call := range calls {
			caller.runner.addCall(*call)
		}
	}()
	abandons := caller.random.IntN(50) == 0 || caller.runner.giveUp.on() && caller.random.IntN(3) == 0
	usable := true
	for i, call := range calls {
		call.Sent = time.Now()
		if err := call.Write(connection); err != nil {
			call.Outcome, usable = auditor.Incomplete, false
			call.AfterClose = i > 0
		}
	}
	for _, call := range calls {
		deadline := call.Sent.Add(call.Remaining)
		if abandons {
			leaveDelay := minLeaveDelay + time.Duration(caller.random.Int64N(int64(maxLeaveDelay-minLeaveDelay)))
			deadline = earlier(deadline, call.Sent.Add(leaveDelay))
		}
		if !usable {
			call.AfterClose = call.AfterClose || call.Outcome == ""
			call.Outcome, call.Ended = auditor.Incomplete, time.Now()
			continue
		}
		usable = caller.read(connection, reader, call, deadline)
	}
	return usable
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// read reads the answer to a request and reports whether another may follow.
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
