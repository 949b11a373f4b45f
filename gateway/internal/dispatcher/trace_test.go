package dispatcher_test

import (
	"bytes"
	"net/http"
	"regexp"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/placer"
)

// lines makes the VM write its lines to a buffer.
func (vm *vm) lines() *bytes.Buffer {
	var buffer bytes.Buffer
	log := logrus.New()
	log.SetOutput(&buffer)
	vm.Log = logrus.NewEntry(log)
	return &buffer
}

// The line of an attempt must tell an answer to it from one to an earlier request of its connection.
func TestLineOfAnAttemptDoesNotSayWhoseAnswerItWas(t *testing.T) {
	for name, test := range map[string]struct {
		answer, line string
	}{
		"rejected":     {"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n", `carried=1 .*first-byte="?[0-9.]+[µm]?s"? identified=true .*reason=not-run .*target-connection=1 target-status=503`},
		"unidentified": {unidentifiedRefusal, `carried=1 discarded=1 .*target-connection=1`},
		"discarded":    {"HTTP/1.1 503 X\r\nX-Attempt-Id: a0\r\nContent-Length: 0\r\n\r\n" + "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n", `carried=1 discarded=1 `},
		"cut":          {"", `carried=1 .*reason=kept-connection-lost .*target-connection=1`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vm := start(t)
			vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: "target:1", DataCentre: "d", Slots: 4}})
			lines := vm.lines()
			vm.dialTo(answerInTurn(foreignSuccess, test.answer))
			is.Equal(vm.bookAs("a0").Status, http.StatusOK)
			vm.book()
			is.True(regexp.MustCompile(`attempt-ended.*` + test.line).Match(lines.Bytes()))
		})
	}
	t.Run("unidentified on a new connection", func(t *testing.T) {
		is := is.New(t)
		vm := start(t)
		vm.SetTargets([]placer.Target{{ID: "t0", Service: "s", Address: "target:1", DataCentre: "d", Slots: 4}})
		lines := vm.lines()
		vm.dialTo(answerInTurn(unidentifiedRefusal))
		is.Equal(vm.book().Status, http.StatusServiceUnavailable)
		is.True(regexp.MustCompile(`attempt-ended.* carried=0 .*identified=false .*reason=not-run .*target-connection=1 target-status=503`).Match(lines.Bytes()))
	})
}
