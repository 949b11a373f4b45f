package dispatcher_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// panicHook makes the code fail at a line of the log.
type panicHook struct{ event string }

func (panicHook) Levels() []logrus.Level { return logrus.AllLevels }

func (hook panicHook) Fire(entry *logrus.Entry) error {
	if entry.Message == hook.event {
		panic(hook.event)
	}
	return nil
}

// Code that fails also while the outcome of the failed attempt is recorded must end one request, not the VM.
func TestPanicThatRepeatsEndsTheVM(t *testing.T) {
	is := is.New(t)
	vm := startOne(t)
	vm.dialTo(answerInTurn(unidentifiedRefusal))
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(panicHook{event: "attempt-ended"})
	vm.Log = logrus.NewEntry(log)
	is.Equal(vm.book().Status, http.StatusBadGateway)
}
