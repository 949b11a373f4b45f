package forwarder_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/router"
	"godwitramp.example/entry/internal/forwarder"
)

func TestClosing503WithoutRetryAfterIsLeaving(t *testing.T) {
	for first, kind := range map[fault]router.ResultKind{
		closing503: router.Leaving, closing503RetryAfter: router.Shed, unavailable: router.Shed, internalError: router.Failed,
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet := &fleet{faults: []fault{first}}
			fleet.forward(t, fleet.forwarder(), httptest.NewRequest("POST", "/x", nil))
			is.Equal(fleet.results[0].Kind, kind)
		})
	}
}

// A slow attempt is reported to the picker while it is in flight, and only once.
func TestSlowAttemptIsReportedOnce(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet := &fleet{faults: []fault{slow}}
			sender := fleet.forwarder()
			for range 2 { // the second request reuses the connection of the first
				sender.Forward(httptest.NewRecorder(), httptest.NewRequest(method, "/x", nil), forwarder.Job{Service: fleet.service()})
			}
			sender.Exchanger.Close()
			is.Equal(fleet.slowReports, []time.Duration{100 * time.Millisecond, 100 * time.Millisecond})
			is.True(fleet.results[0].ReportedSlow)
			is.True(!fleet.results[1].ReportedSlow)
		})
	}
}

// withRouter returns a forwarder whose picker is a real router.
func (fleet *fleet) withRouter() (*forwarder.Forwarder, *router.Router, forwarder.Job) {
	forwarder.ResetClock()
	picker, sender := &router.Router{}, fleet.forwarder()
	sender.Picker = picker
	return sender, picker, forwarder.Job{Service: fleet.service()}
}

func TestRequestWaitsForTarget(t *testing.T) {
	tests := []struct {
		name                             string
		ejectedFor, cancelAfter, minTime time.Duration
		status                           int
		retryAfter                       string
	}{
		{"opens soon", 300 * time.Millisecond, time.Hour, 300 * time.Millisecond, 200, ""},
		{"opens too late", 2500 * time.Millisecond, time.Hour, 0, 503, "3"},
		{"the caller has given up", 300 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond, 0, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := &fleet{faults: []fault{healthy}}
				sender, picker, job := fleet.withRouter()
				now := forwarder.Now()
				picker.SetEjections(job.Service, []router.Ejection{{Target: job.Service.Targets[0].Path, Until: now + test.ejectedFor}}, now)
				var record forwarder.Record
				sender.Report = func(reported forwarder.Record) { record = reported }
				ctx, cancel := context.WithTimeoutCause(t.Context(), time.Hour, nil)
				defer cancel()
				time.AfterFunc(test.cancelAfter, cancel)
				recorder, start := httptest.NewRecorder(), time.Now()
				sender.Forward(recorder, httptest.NewRequestWithContext(ctx, "POST", "/x", nil), job)
				took := time.Since(start)
				sender.Exchanger.Close()
				is.True(took >= test.minTime && took < test.minTime+200*time.Millisecond)
				is.Equal(record.Status, test.status)
				is.Equal(recorder.Header().Get("Retry-After"), test.retryAfter)
				is.Equal(record.CallerGone, test.status == 0)
				is.Equal(fleet.runs == 1, test.status == 200)
			})
		})
	}
}

// A target with no free slot asks for a Retry-After of at least one second. A request
// that can't wait that long still gets the next free slot.
func TestRequestGetsFreedSlotBeforeRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{shedsTwiceAfterWarmUp}}
		sender, _, job := fleet.withRouter()
		defer sender.Exchanger.Close()
		for range warmUp + 1 {
			recorder, start := httptest.NewRecorder(), time.Now()
			sender.Forward(recorder, httptest.NewRequest("POST", "/x", nil), job)
			is.Equal(recorder.Code, 200)
			is.True(time.Since(start) < time.Second/2)
		}
	})
}

func TestRetryBudgetLimitsAttemptsWhenTargetIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests = 500
		fleet := &fleet{faults: []fault{fullAfterWarmUp}}
		sender, _, job := fleet.withRouter()
		for range warmUp + requests {
			sender.Forward(httptest.NewRecorder(), httptest.NewRequest("GET", "/x", nil), job)
			time.Sleep(20 * time.Millisecond)
		}
		sender.Exchanger.Close()
		attempts := fleet.received - warmUp
		t.Logf("%d attempts for %d requests", attempts, requests)
		is.True(attempts < requests*12/10)
	})
}
