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

// notes are what a VM tells the fleet.
type notes struct {
	silence
	mutex sync.Mutex
	told  []messenger.Note
}

// TellFleet keeps the notes.
func (notes *notes) TellFleet(told ...messenger.Note) {
	notes.mutex.Lock()
	defer notes.mutex.Unlock()
	notes.told = append(notes.told, told...)
}

// A target that says in an answer that it leaves gets nothing more, whatever the store
// says; the fleet is told once, and callers don't see the word.
func TestLeavingInAnAnswerIsHeeded(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	leaving := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("server-leaving", "1")
		if cut.Load() {
			writer.Header().Set("Content-Length", "99") // more than comes
		}
		answer(http.StatusOK, "served")(writer, request)
	})
	for _, cuts := range []bool{false, true} {
		cut.Store(cuts)
		vm := start(t, leaving)
		told := &notes{}
		vm.Messenger = told
		arrivals := len(leaving.arrivals())
		reply := vm.read()
		is.Equal(reply.Status == http.StatusOK, !cuts)
		is.Equal(reply.Header["Server-Leaving"], nil)
		vm.read()
		is.Equal(len(leaving.arrivals()), arrivals+1)
		left := slices.DeleteFunc(told.told, func(note messenger.Note) bool { return note.Kind != messenger.Left })
		is.Equal(left, []messenger.Note{{Kind: messenger.Left, Name: "t0"}})
		other := start(t, leaving)
		other.HandleEvent(left[0], false)
		is.Equal(other.read().Status, http.StatusServiceUnavailable)
	}
}

// What belongs to another request says nothing of this one's target.
func TestLeavingInAnotherRequestsAnswerIsNotHeeded(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Attempt-Id", "other")
		writer.Header().Set("Server-Leaving", "1")
		answer(http.StatusOK, "served")(writer, request)
	})
	vm := start(t, upstream)
	vm.read()
	vm.read()
	is.True(len(upstream.arrivals()) >= 2)
}

// A target that wants quiet gets nothing from this VM until the time is over, and callers
// are told when to come back if no target is left.
func TestQuietIsKept(t *testing.T) {
	is := is.New(t)
	quiet := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Retry-After", "30")
		full(writer, request)
	})
	vm := start(t, quiet)
	told := &notes{}
	vm.Messenger = told
	for range 5 {
		reply := vm.book()
		is.Equal(reply.Status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 29 && seconds < 46)
	}
	is.Equal(len(quiet.arrivals()), 1)
	is.Equal(len(told.told), 0) // a wish to one VM is no illness
	other := start(t, quiet, serve(t, answer(http.StatusOK, "served")))
	for range 5 {
		is.Equal(other.book().Status, http.StatusOK)
	}
	is.True(len(quiet.arrivals()) <= 2)
}

// Headers of a target in another case are the same headers.
func TestWordsInAnotherCaseAreHeeded(t *testing.T) {
	is := is.New(t)
	vm := start(t, &upstream{address: "target:1"})
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

// Bytes without end, after a proper head, must neither fill the memory nor take the room
// of proper answers.
func TestAnswersWithoutEndLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	vm := start(t, &upstream{address: "endless:1"})
	vm.MaxAnswerBytes = limit
	vm.Open()
	vm.SetShare(messenger.Share{Group: 1, Heard: 1, VMs: 1})
	vm.Configure(vm.knowledge.Index())
	var poured atomic.Int64
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
					poured.Add(int64(n))
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
				t.Errorf("an answer without end became %d", status)
			}
		})
	}
	group.Wait()
	is.True(poured.Load() < 8*limit) // 256 MB without the bound
	vm.SetTargets([]placer.Target{target("proper", "proper:1")})
	is.Equal(vm.book().Status, http.StatusOK)
}
