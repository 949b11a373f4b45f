package dispatcher_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/messenger"
)

// recordingMessenger records the events that a VM sends to the fleet.
type recordingMessenger struct {
	discardMessenger
	mutex sync.Mutex
	sent  []messenger.Event
}

// SendToFleet records the events.
func (recordingMessenger *recordingMessenger) SendToFleet(events ...messenger.Event) {
	recordingMessenger.mutex.Lock()
	defer recordingMessenger.mutex.Unlock()
	recordingMessenger.sent = append(recordingMessenger.sent, events...)
}

// A target that announces in an answer that it is leaving gets no more requests, even if
// the store still lists it as serving. The fleet is notified once, and the header is not
// forwarded to callers.
func TestTargetThatAnnouncesLeavingIsNotPicked(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	leaving := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("server-leaving", "1")
		if cut.Load() {
			writer.Header().Set("Content-Length", "99") // truncates the answer
		}
		answerWith(http.StatusOK, "served")(writer, request)
	})
	for _, cuts := range []bool{false, true} {
		cut.Store(cuts)
		vm := start(t, leaving)
		recorder := &recordingMessenger{}
		vm.Messenger = recorder
		arrivals := len(leaving.arrivals())
		reply := vm.read()
		is.Equal(reply.Status == http.StatusOK, !cuts)
		is.Equal(reply.Header["Server-Leaving"], nil)
		vm.read()
		is.Equal(len(leaving.arrivals()), arrivals+1)
		left := slices.DeleteFunc(recorder.sent, func(event messenger.Event) bool { return event.Kind != messenger.TargetLeaving })
		is.Equal(left, []messenger.Event{{Kind: messenger.TargetLeaving, Name: "t0"}})
		other := start(t, leaving)
		other.HandleEvent(left[0], false)
		is.Equal(other.read().Status, http.StatusServiceUnavailable)
	}
}

// An answer to another request must not mark the target as leaving.
func TestLeavingInMismatchedAnswerIsIgnored(t *testing.T) {
	is := is.New(t)
	target := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Attempt-Id", "other")
		writer.Header().Set("Server-Leaving", "1")
		answerWith(http.StatusOK, "served")(writer, request)
	})
	vm := start(t, target)
	vm.read()
	vm.read()
	is.True(len(target.arrivals()) >= 2)
}

// A target that requests a cool-down gets nothing from this VM until it ends. If no other
// target is left, callers get the wait as Retry-After.
func TestCoolDownIsHonoured(t *testing.T) {
	is := is.New(t)
	coolingDown := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Retry-After", "30")
		full(writer, request)
	})
	vm := start(t, coolingDown)
	recorder := &recordingMessenger{}
	vm.Messenger = recorder
	for range 5 {
		reply := vm.book()
		is.Equal(reply.Status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 29 && seconds < 46)
	}
	is.Equal(len(coolingDown.arrivals()), 1)
	is.Equal(len(recorder.sent), 0) // a cool-down requested from one VM doesn't make the target unhealthy
	other := start(t, coolingDown, serve(t, answerWith(http.StatusOK, "served")))
	for range 5 {
		is.Equal(other.book().Status, http.StatusOK)
	}
	is.True(len(coolingDown.arrivals()) <= 2)
}

// Header names of targets are matched without regard to case.
func TestTargetHeadersAreCaseInsensitive(t *testing.T) {
	is := is.New(t)
	vm := start(t, &targetServer{address: "target:1"})
	var arrivals atomic.Int64
	vm.Exchanger.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			arrivals.Add(1)
			_, _ = io.WriteString(far, "HTTP/1.1 503 X\r\nx-not-executed: 1\r\nSERVER-LEAVING: 1\r\nretry-after: 9\r\ncontent-length: 0\r\n\r\n")
		}()
		return near, nil
	}
	is.Equal(vm.book().Status, http.StatusServiceUnavailable)
	is.Equal(vm.book().Status, http.StatusServiceUnavailable)
	is.Equal(arrivals.Load(), int64(1))
	var page strings.Builder
	metrics.WritePrometheus(&page, false)
	is.True(strings.Contains(page.String(), `gateway_target_words_total{word="leaving"}`))
	is.True(strings.Contains(page.String(), `gateway_target_words_total{word="quiet"}`))
}

// An answer whose body never ends must neither exhaust the memory nor starve other answers.
func TestEndlessAnswersLeaveMemoryForOthers(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	vm := start(t, &targetServer{address: "endless:1"})
	vm.MaxAnswerBytes = limit
	vm.Open()
	vm.SetShare(messenger.Share{Group: 1, Reachable: 1, VMs: 1})
	vm.Configure(vm.tracker.Index())
	var written atomic.Int64
	vm.Exchanger.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			reader := bufio.NewReader(far)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
				if address == "proper:1" {
					_, _ = io.WriteString(far, head+"Content-Length: 6\r\n\r\nserved")
					continue
				}
				_, err := io.WriteString(far, head+"\r\n")
				for piece := make([]byte, 8<<10); err == nil; {
					var n int
					n, err = far.Write(piece)
					written.Add(int64(n))
				}
				return
			}
		}()
		return near, nil
	}
	target := func(id, address string) placer.Target {
		return placer.Target{ID: id, Service: "s", Address: address, DataCentre: "d", Slots: 100}
	}
	vm.SetTargets([]placer.Target{target("endless", "endless:1")})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			if status := vm.book().Status; status < http.StatusInternalServerError {
				t.Errorf("answer without end was forwarded with status %d", status)
			}
		})
	}
	group.Wait()
	is.True(written.Load() < 8*limit) // 256 MB without the bound
	vm.SetTargets([]placer.Target{target("proper", "proper:1")})
	is.Equal(vm.book().Status, http.StatusOK)
}

// The fleet must hear of a booking that failed at once, as a failure of another group: a
// relay passes it on to its own group, where it must not count as one of that group.
func TestFailedBookingIsToldToTheFleet(t *testing.T) {
	is := is.New(t)
	vm := start(t, serve(t, answerWith(http.StatusInternalServerError, "")))
	fleet := &recordingMessenger{}
	vm.Messenger = fleet
	is.Equal(vm.book().Status, http.StatusInternalServerError)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	is.Equal(len(fleet.sent), 2)
	is.Equal(fleet.sent[0].Kind, messenger.AttemptOutcome)
	is.Equal(fleet.sent[1].Kind, messenger.FleetFailure)
	is.Equal(fleet.sent[1].Service, "s")
}

// The fleet must hear of every lost booking, also of one that says little of its target.
func TestBookingThatTimedOutAtItsTargetIsToldToTheFleet(t *testing.T) {
	is := is.New(t)
	vm := start(t, serve(t, answerWith(http.StatusGatewayTimeout, "")))
	fleet := &recordingMessenger{}
	vm.Messenger = fleet
	is.Equal(vm.book().Status, http.StatusGatewayTimeout)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	is.Equal(len(fleet.sent), 1) // nothing before
	is.Equal(fleet.sent[0].Kind, messenger.FleetFailure)
}
