package dispatcher_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
)

// foreignSuccess is the answer to the request a0.
const foreignSuccess = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: a0\r\nContent-Length: 0\r\n\r\n"

const unidentifiedRefusal = "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// A refusal that names no request is no promise on a new connection either, once that has carried an answer to
// another request.
func TestUnidentifiedRefusalAfterAForeignAnswerIsNoPromise(t *testing.T) {
	is := is.New(t)
	vm := start(t)
	vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: "target:1", DataCentre: "d", Slots: 4}})
	vm.dialTo(answerInTurn(foreignSuccess + unidentifiedRefusal))
	is.Equal(vm.book().Status, http.StatusBadGateway)
}

const (
	identifiedSuccess   = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\ndone"
	unidentifiedSuccess = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nother"
)

// An answer that names no request may be a late copy of one to an earlier request of the connection: it must
// neither be delivered nor hide the answer that follows.
func TestUnidentifiedAnswerTakesThePlaceOfTheTrueOne(t *testing.T) {
	for name, stray := range map[string]string{"success": unidentifiedSuccess, "refusal": unidentifiedRefusal} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vm := start(t)
			vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: "target:1", DataCentre: "d", Slots: 4}})
			vm.dialTo(answerInTurn(foreignSuccess, stray+identifiedSuccess))
			is.Equal(vm.bookAs("a0").Status, http.StatusOK)
			reply := vm.book()
			is.Equal(reply.Status, http.StatusOK)
			is.Equal(string(reply.Body), "done")
		})
	}
}

// A request without an ID can't be told from others, so that nothing on a kept connection can be known to be its
// answer.
func TestRequestWithoutIDGetsNoAnswerOverAKeptConnection(t *testing.T) {
	is := is.New(t)
	vm := start(t)
	vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: "target:1", DataCentre: "d", Slots: 4}})
	vm.dialTo(answerInTurn(unidentifiedSuccess, unidentifiedSuccess))
	is.Equal(vm.book().Status, http.StatusOK)
	request := call(http.MethodPost, "/book/1", "key")
	delete(request.Request.Header, "X-Attempt-Id")
	is.Equal(vm.Serve(context.Background(), request).Status, http.StatusOK)
}
