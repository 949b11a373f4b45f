package assessor_test

import (
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/assessor"
)

// What another VM answers counts as "not run" only if it is a refusal, and the VM states it or has sent the
// request to no target.
func TestWordOfAnotherVMIsTakenForAPromise(t *testing.T) {
	for _, test := range []struct {
		answer     assessor.Forwarded
		mayHaveRun bool
		deliver    assessor.Delivery
	}{
		{assessor.Forwarded{Status: 503, NotRun: true, Targets: 2}, false, assessor.Never},
		{assessor.Forwarded{Status: 429, NotRun: true}, false, assessor.Never},
		{assessor.Forwarded{Status: 503}, false, assessor.Never},
		{assessor.Forwarded{Status: 404}, false, assessor.Never},
		{assessor.Forwarded{Status: 503, Targets: 1}, true, assessor.Never},
		{assessor.Forwarded{Status: 0}, true, assessor.Never},
		{assessor.Forwarded{Status: 200}, true, assessor.Never},
		{assessor.Forwarded{Status: 502}, true, assessor.Never},
		{assessor.Forwarded{Status: 503, Abort: true}, true, assessor.Never},
		{assessor.Forwarded{Status: 503, FromTarget: true}, true, assessor.Never},
		{assessor.Forwarded{Status: 429, FromTarget: true}, true, assessor.Never},
		{assessor.Forwarded{Status: 404, FromTarget: true}, true, assessor.Always},
		{assessor.Forwarded{Status: 200, FromTarget: true}, true, assessor.Always},
		{assessor.Forwarded{Status: 500, FromTarget: true}, true, assessor.IfLast},
		{assessor.Forwarded{Status: 599, FromTarget: true}, true, assessor.IfLast},
		{assessor.Forwarded{Status: 600, FromTarget: true}, true, assessor.Never},
		{assessor.Forwarded{Status: 99, FromTarget: true, NotRun: true}, true, assessor.Never},
		{assessor.Forwarded{Status: 200, FromTarget: true, Malformed: true}, true, assessor.Never},
		{assessor.Forwarded{Status: 503, FromTarget: true, Malformed: true, NotRun: true}, true, assessor.Never},
	} {
		is := is.New(t)
		verdict := assessor.ClassifyForwarded(test.answer)
		is.Equal(verdict.MayHaveRun, test.mayHaveRun)
		is.Equal(verdict.Deliver, test.deliver)
	}
}
