package retrier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/retrier"
)

func TestAttemptsStayWithinBudgetWhenAllShed(t *testing.T) {
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
				again := tries < retrier.MaxAttempts && request.MayRetry(retrier.Attempt{Written: true, SaidNotRun: true})
				if !again || budgeted && !budget.WithdrawShed() {
					break
				}
			}
		}
		t.Logf("budgeted=%v attempts=%d requests=%d", budgeted, attempts, requests)
		is.Equal(attempts < requests*12/10, budgeted)
	}
}

func TestMayRetry(t *testing.T) {
	is := is.New(t)
	for bits := range 16 {
		request := retrier.Request{Idempotent: bits&1 != 0, Replayable: bits&2 != 0}
		attempt := retrier.Attempt{Written: bits&4 != 0, SaidNotRun: bits&8 != 0}
		again := request.MayRetry(attempt)
		if again && !request.Idempotent {
			is.True(!attempt.Written || attempt.SaidNotRun) // or it could run twice
		}
		if again && !request.Replayable {
			is.True(!attempt.Written) // the body is gone
		}
		if !attempt.Written {
			is.True(again)
		}
	}
}

func ExampleEstimator() {
	var estimator retrier.Estimator
	for range 100 {
		estimator.Observe(10 * time.Millisecond)
		estimator.Observe(30 * time.Millisecond)
	}
	fmt.Println(estimator.Delay(time.Second).Round(10 * time.Millisecond))
	// Output: 60ms
}
