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
	shortKept = 30
	// pipelined is the most requests that are sent before the first is answered.
	pipelined = 3
	// shortestWait and longestWait bound how long a caller waits for an answer.
	shortestWait = time.Second
	longestWait  = 4 * time.Second
	// earliestLeave and latestLeave bound when a caller gives up before its time.
	earliestLeave = 5 * time.Millisecond
	latestLeave   = 400 * time.Millisecond
	// oldKeys and oldRoutes are how many names back callers go on using.
	oldKeys   = 2
	oldRoutes = 2
)

// caller sends requests, one connection after the other.
type caller struct {
	runner *Runner
	number int
	random *rand.Rand
	sent   int
}

func (caller *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if vm := caller.pick(); vm != nil {
			caller.connect(ctx, vm)
		}
		timer.Sleep(ctx, caller.pause())
	}
}

func (caller *caller) pause() time.Duration {
	if caller.runner.flood.on() && caller.number%2 == 0 {
		return floodPause
	}
	return time.Duration(caller.random.ExpFloat64() * float64(meanPause))
}

// pick returns a VM that counts as ready, as the balancer would.
func (caller *caller) pick() *vm {
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
func (caller *caller) connect(ctx context.Context, vm *vm) {
	connection, err := net.DialTimeout("tcp", vm.callers, dialTimeout)
	if err != nil {
		return // nothing was sent
	}
	defer func() { _ = connection.Close() }()
	_, start := vm.current()
	reader := bufio.NewReader(connection)
	requests := 1 + caller.random.IntN(shortKept)
	if caller.random.IntN(2) == 0 {
		requests = math.MaxInt
	}
	for range requests {
		calls := caller.calls(vm, start)
		if !caller.exchange(connection, reader, calls) || !timer.Sleep(ctx, caller.pause()) {
			return
		}
	}
}

// calls makes the requests that are sent together: one, or several that may run
// more than once.
func (caller *caller) calls(vm *vm, start int) []*auditor.Call {
	calls := []*auditor.Call{caller.call(vm, start)}
	for calls[0].Idempotent && len(calls) < pipelined && caller.random.IntN(8) == 0 {
		if next := caller.call(vm, start); next.Idempotent {
			calls = append(calls, next)
		}
	}
	return calls
}

func (caller *caller) call(vm *vm, start int) *auditor.Call {
	caller.sent++
	id := fmt.Sprintf("c%d-%d", caller.number, caller.sent)
	wait := shortestWait + time.Duration(caller.random.Int64N(int64(longestWait-shortestWait)))
	call := &auditor.Call{
		Request:    faker.Request{Host: host, Method: http.MethodGet, ID: id, Remaining: wait.Truncate(time.Millisecond)},
		Idempotent: true, VM: vm.name, Start: start,
	}
	key, added := caller.runner.settings.names()
	call.Key = fmt.Sprint("key-", max(0, key-max(0, caller.random.IntN(4*oldKeys)-3*oldKeys)))
	if caller.runner.flood.on() && caller.number%2 == 0 {
		call.Key = floodedKey
	}
	switch caller.random.IntN(10) {
	case 0, 1, 2, 3:
		call.Path, call.Method, call.Idempotent, call.Body = "/jobs/"+id, http.MethodPost, false, "book "+id
	case 4, 5, 6:
		call.Path = "/lists/" + id
	case 7, 8:
		call.Path = "/moves/" + id
	default:
		call.Path = "/" + addedName(max(0, added-caller.random.IntN(oldRoutes))) + "/" + id
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
	leaves := caller.random.IntN(50) == 0 || caller.runner.giveUp.on() && caller.random.IntN(3) == 0
	usable := true
	for i, call := range calls {
		call.Sent = time.Now()
		if err := call.Write(connection); err != nil {
			call.End, usable = auditor.Cut, false
			call.Behind = i > 0
		}
	}
	for _, call := range calls {
		deadline := call.Sent.Add(call.Remaining)
		if leaves {
			early := earliestLeave + time.Duration(caller.random.Int64N(int64(latestLeave-earliestLeave)))
			deadline = minTime(deadline, call.Sent.Add(early))
		}
		if !usable {
			call.Behind = call.Behind || call.End == ""
			call.End, call.Ended = auditor.Cut, time.Now()
			continue
		}
		usable = caller.read(connection, reader, call, deadline)
	}
	return usable
}

func minTime(a, b time.Time) time.Time {
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
		call.Answer, call.End, call.Ended = answer, auditor.Whole, time.Now()
		return !answer.Closes
	}
	call.End = auditor.Cut
	if !time.Now().Before(deadline) {
		call.End = auditor.Left
	}
	_ = connection.Close()
	call.Ended = time.Now()
	return false
}
