package retrier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/retrier"
)

// When the upstreams shed everything, the budget must keep the attempts below 1.2 per
// request; without a budget they exceed that.
func TestRetriesStayWithinBudgetWhenAllAreShed(t *testing.T) {
	is := is.New(t)
	const requests = 1000
	for _, budgeted := range []bool{false, true} {
		budget := retrier.NewBudget()
		request := retrier.Request{Idempotent: true, Replayable: true}
		attempts := 0
		for range requests {
			budget.Deposit()
			for tries := 1; ; tries++ {
				attempts++
				retry := tries < retrier.MaxAttempts && request.MayRetry(retrier.Attempt{Written: true, SaidNotRun: true})
				if !retry || budgeted && !budget.WithdrawShed() {
					break
				}
			}
		}
		t.Logf("budgeted=%v attempts=%d requests=%d", budgeted, attempts, requests)
		is.Equal(attempts < requests*12/10, budgeted)
	}
}

func TestNoRetryMayRunTwiceOrSendAPartOfTheBody(t *testing.T) {
	is := is.New(t)
	for bits := range 16 {
		request := retrier.Request{Idempotent: bits&1 != 0, Replayable: bits&2 != 0}
		attempt := retrier.Attempt{Written: bits&4 != 0, SaidNotRun: bits&8 != 0}
		retry := request.MayRetry(attempt)
		if retry && !request.Idempotent {
			is.True(!attempt.Written || attempt.SaidNotRun) // or it could run twice
		}
		if retry && !request.Replayable {
			is.True(!attempt.Written) // the body can't be sent again
		}
		if !attempt.Written {
			is.True(retry)
		}
	}
}

func ExampleEstimator() {
	var estimator retrier.Estimator
	for range 100 {
		estimator.Observe(10 * time.Millisecond)
		estimator.Observe(30 * time.Millisecond)
	}
	fmt.Println(estimator.HedgeDelay(time.Second).Round(10 * time.Millisecond))
	// Output: 60ms
}
