package forwarder_test

import (
	"bytes"
	"net/http/httptest"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/shell/logger"
)

// A refused request that has run is looked up by its ID: the lines must tell how.
func TestLineOfAnAttemptDoesNotSayWhoseAnswerItWas(t *testing.T) {
	plain := func(answer string) func(delivery) string { return func(delivery) string { return answer } }
	identified := func(answer string) func(delivery) string {
		return func(delivery delivery) string { return withID(answer, delivery.id()) }
	}
	behind := func(delivery delivery) string {
		return withID(unnamed("other\n"), "other-1") + withID(unnamed("whole\n"), delivery.id())
	}
	for name, test := range map[string]struct {
		before, answer func(delivery) string
		line           string
	}{
		"rejected":                     {identified(unnamed("")), identified(rejection), `event=attempt-ended attempt=id-1 carried=1 carried-unidentified=0 .*first-byte=10ms identified=true may-have-run=false .*reason=not-run request=id target=/a/services/s/targets/0 target-connection=1 target-status=503`},
		"rejected on a new connection": {nil, plain(rejection), `event=attempt-ended .*carried=0 carried-unidentified=0 .*identified=false may-have-run=false .*reason=not-run `},
		"rejected without proof":       {plain(unnamed("")), plain(rejection), `event=answer-mismatched .*carried=1 carried-unidentified=1 discarded=0 .*identified=false may-have-run=true .*reason=not-run `},
		"behind another's answer":      {identified(unnamed("")), behind, `event=answer-mismatched .*carried=1 .*discarded=1 .*identified=true may-have-run=true`},
		"another's answer":             {nil, plain(withID(unnamed("other\n"), "other-1")), `event=answer-mismatched .*carried=0 .*discarded=0 .*identified=false may-have-run=true .*reason=wrong-answer `},
		"cut":                          {plain(unnamed("")), plain(""), `event=attempt-ended .*carried=1 .*may-have-run=true .*reason=connection-lost .*target-connection=1`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := &fleet{faults: []fault{healthy}}
				sender := fleet.play(t, func(delivery delivery) {
					time.Sleep(10 * time.Millisecond)
					answer := test.answer
					if test.before != nil && delivery.number == 1 {
						answer = test.before
					}
					delivery.write(answer(delivery))
					if answer(delivery) == "" {
						_ = delivery.Close()
					}
				})
				var lines bytes.Buffer
				sender.Log = logger.New(&lines, "entry", "vm")
				if test.before != nil {
					sender.Forward(httptest.NewRecorder(), httptest.NewRequest("POST", "/x", nil), forwarder.Job{Service: fleet.service(), RequestID: "before"})
					is.Equal(lines.String(), "")
				}
				request := httptest.NewRequest("POST", "/x", nil)
				request.Header.Set(forwarder.DeadlineHeader, "100") // less than a backoff may take
				fleet.forward(t, sender, request)
				t.Log(lines.String())
				is.True(regexp.MustCompile(test.line).Match(lines.Bytes()))
			})
		})
	}
}
