package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/receiver"
)

// copyingTargets reject the first attempt of each request and run the later ones. Before a later answer
// on a connection they send a copy of the earlier answers to the same request, as a late one does.
type copyingTargets struct {
	// full is the address of a target that rejects every request after fullTime.
	full string
	// runTime is how long a request runs.
	runTime time.Duration

	mutex    sync.Mutex
	attempts map[string]int
	ran      int
}

// fullTime is longer than a VM leaves a target alone that was full.
const fullTime = 170 * time.Millisecond

const notRun = "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"

func (copyingTargets *copyingTargets) dial(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	go copyingTargets.serve(address, far)
	return near, nil
}

func (copyingTargets *copyingTargets) serve(address string, connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	answered := make(map[string]string)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if _, err := io.WriteString(connection, answered[id]); err != nil {
			return
		}
		answer := fmt.Sprintf(notRun, id)
		if address == copyingTargets.full {
			time.Sleep(fullTime)
		} else {
			answer = copyingTargets.run(id)
		}
		answered[id] += answer
		if _, err := io.WriteString(connection, answer); err != nil {
			return
		}
	}
}

func (copyingTargets *copyingTargets) run(id string) string {
	copyingTargets.mutex.Lock()
	copyingTargets.attempts[id]++
	attempt := copyingTargets.attempts[id]
	if attempt > 1 {
		copyingTargets.ran++
	}
	copyingTargets.mutex.Unlock()
	if attempt == 1 {
		return fmt.Sprintf(notRun, id)
	}
	time.Sleep(copyingTargets.runTime)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\ndone", id)
}

// runs returns how many attempts have run.
func (copyingTargets *copyingTargets) runs() int {
	copyingTargets.mutex.Lock()
	defer copyingTargets.mutex.Unlock()
	return copyingTargets.ran
}

// A late copy of a target's answer to the first attempt must not be taken for its answer to the second
// one: a booking would run on two targets, or be refused while it runs.
func TestLateCopyOfAnswerToSameRequestIsNoAnswer(t *testing.T) {
	for name, request := range map[string]func(vm *vm) receiver.Reply{"booking": (*vm).book, "read": (*vm).read} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vm := start(t)
			unhedged := configuration(2, "key")
			unhedged.Routes[0].LatencyObjective = 0
			vm.configure(unhedged)
			vm.SetTargets([]placer.Target{
				{ID: "near", Service: "s", Address: "copying:1", DataCentre: "d", Slots: 4},
				{ID: "far", Service: "s", Address: "full:1", DataCentre: "e", Slots: 4},
			})
			targets := &copyingTargets{full: "full:1", runTime: 20 * time.Millisecond, attempts: make(map[string]int)}
			vm.Exchanger.Dial = targets.dial
			reply := request(vm)
			is.Equal(reply.Status, http.StatusOK)
			is.Equal(targets.runs(), 1)
		})
	}
}
