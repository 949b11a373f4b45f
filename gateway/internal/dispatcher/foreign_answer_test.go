package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
)

const signedFor = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\n%s"

// A caller that is refused and sends its request again under the same ID, or another caller with that ID, goes
// over the connection that carried the first one: a late copy of the first rejection must be no promise.
func TestCopyOfRejectionReachesTheNextRequestWithItsID(t *testing.T) {
	is := is.New(t)
	vm := start(t)
	vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: "target:1", DataCentre: "d", Slots: 4}})
	var ran atomic.Int64
	vm.dialTo(func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		rejection := fmt.Sprintf(notRun, "a1")
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(connection, rejection)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		ran.Add(1)
		_, _ = io.WriteString(connection, rejection) // the copy
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(connection, signedFor, "a1", "done")
	})
	is.Equal(vm.book().Status, http.StatusServiceUnavailable)
	time.Sleep(200 * time.Millisecond) // the target is left alone after a rejection
	status := vm.book().Status
	if ran.Load() > 0 {
		is.True(status != http.StatusServiceUnavailable)
	}
}

// The same with answers of two callers: one must not get the body of the other.
func TestCopyOfAnswerReachesAnotherCallerWithItsID(t *testing.T) {
	is := is.New(t)
	vm := start(t)
	vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: "target:1", DataCentre: "d", Slots: 4}})
	var requests atomic.Int64
	vm.dialTo(func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		for earlier := ""; ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			answer := fmt.Sprintf(signedFor, "a1", fmt.Sprintf("no %d", requests.Add(1)))
			_, _ = io.WriteString(connection, earlier+answer)
			earlier = answer
		}
	})
	is.Equal(string(vm.book().Body), "no 1")
	is.Equal(string(vm.read().Body), "no 2")
}

// listen makes the VM's connections go to a socket, whose connections are handled by a function.
func (vm *vm) listen(handle func(connection net.Conn)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		vm.t.Fatal(err)
	}
	vm.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				handle(connection)
			}()
		}
	}()
	vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: listener.Addr().String(), DataCentre: "d", Slots: 4}})
	vm.Exchanger.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		time.Sleep(20 * time.Millisecond) // what the target sends at once has come
		return connection, err
	}
}

// An answer that has come before the request was written can't be about it.
func TestRefusalBeforeTheRequestIsNoPromise(t *testing.T) {
	is := is.New(t)
	vm := start(t)
	var ran atomic.Int64
	vm.listen(func(connection net.Conn) {
		_, _ = io.WriteString(connection, unidentifiedRefusal)
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
			ran.Add(1)
			_, _ = fmt.Fprintf(connection, signedFor, "a1", "done")
			time.Sleep(50 * time.Millisecond)
		}
	})
	status := vm.book().Status
	time.Sleep(20 * time.Millisecond)
	is.True(ran.Load() == 0 || status != http.StatusServiceUnavailable)
}

// The line must tell an answer that began before the request from one that followed it.
func TestLineOfAnAnswerBeforeTheRequestLooksLikeAnyOther(t *testing.T) {
	is := is.New(t)
	vm := start(t)
	vm.listen(func(connection net.Conn) {
		_, _ = io.WriteString(connection, unidentifiedRefusal)
		_, _ = http.ReadRequest(bufio.NewReader(connection))
		time.Sleep(50 * time.Millisecond)
	})
	lines := vm.lines()
	vm.book()
	is.True(!regexp.MustCompile(`attempt-ended.*first-byte=`).Match(lines.Bytes()))
}

// An answer that names two requests is not known to be this one's.
func TestAnswerThatNamesTwoRequestsIsNoPromise(t *testing.T) {
	for _, ids := range [][2]string{{"a1", "a0"}, {"a0", "a1"}} {
		t.Run(ids[0], func(t *testing.T) {
			is := is.New(t)
			vm := start(t)
			vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: "target:1", DataCentre: "d", Slots: 4}})
			vm.dialTo(answerInTurn(foreignSuccess,
				"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "+ids[0]+"\r\nX-Attempt-Id: "+ids[1]+"\r\nContent-Length: 0\r\n\r\n"))
			is.Equal(vm.bookAs("a0").Status, http.StatusOK)
			is.True(vm.book().Status != http.StatusServiceUnavailable)
		})
	}
}

// The answer to another request is discarded by the framing of the present one: after HEAD, the body of a late
// answer is read as the next answer, and may name this request.
func TestBodyOfALateAnswerAnswersHEAD(t *testing.T) {
	is := is.New(t)
	vm := start(t)
	vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: "target:1", DataCentre: "d", Slots: 4}})
	body := "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: h1\r\n\r\n"
	late := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: a1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	vm.dialTo(answerInTurn(fmt.Sprintf(signedFor, "a1", "done"), late+"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: h1\r\nContent-Length: 4\r\n\r\n"))
	is.Equal(vm.book().Status, http.StatusOK)
	request := call(http.MethodHead, "/book/1", "key")
	request.Request.Header["X-Attempt-Id"] = []string{"h1"}
	reply := vm.Serve(context.Background(), request)
	is.True(reply.Status != http.StatusServiceUnavailable) // of the body of another answer
}
