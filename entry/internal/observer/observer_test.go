package observer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"godwitramp.example/core/burner"
	"godwitramp.example/core/configurator"
	"godwitramp.example/entry/internal/forwarder"
	"godwitramp.example/entry/internal/observer"
)

func service(name string) *configurator.ServiceTargets {
	return &configurator.ServiceTargets{Service: configurator.Service{
		Path: configurator.Path("/t/services/" + name), ObjectiveLatency: time.Second}}
}

// counter counts good and bad requests.
type counter struct{ good, bad int }

// Count counts an answer.
func (counter *counter) Count(_ burner.Pair, good bool) {
	if good {
		counter.good++
	} else {
		counter.bad++
	}
}

func TestBurnReportCountsOnlyServiceFailures(t *testing.T) {
	tests := []struct {
		name        string
		observation observer.Observation
		want        counter
	}{
		{"good", observer.Observation{Status: 200, Outcome: observer.Answered, Latency: time.Second}, counter{good: 1}},
		{"answer to a wrong request", observer.Observation{Status: 404, Outcome: observer.Answered}, counter{good: 1}},
		{"slow", observer.Observation{Status: 200, Outcome: observer.Answered, Latency: 1001 * time.Millisecond}, counter{bad: 1}},
		{"failed", observer.Observation{Status: 500, Outcome: observer.Answered}, counter{bad: 1}},
		{"no answer", observer.Observation{Status: 502, Outcome: observer.Unknown}, counter{bad: 1}},
		{"broken off", observer.Observation{Status: 200, Outcome: observer.Truncated}, counter{bad: 1}},
		{"no target", observer.Observation{Status: 503, Outcome: observer.NotRun}, counter{bad: 1}},
		{"configuration unconfirmed", observer.Observation{Status: 503, Outcome: observer.NotRun, Reason: "configuration-unconfirmed"}, counter{bad: 1}},
		{"over its rate", observer.Observation{Status: 429, Outcome: observer.NotRun}, counter{}},
		{"caller disconnected", observer.Observation{Status: 200, Outcome: observer.Abandoned}, counter{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var counts counter
			observing := &observer.Observer{Set: metrics.NewSet(), Counter: &counts}
			test.observation.Service = service("s")
			observing.Observe(test.observation)
			is.New(t).Equal(counts, test.want)
		})
	}
}

func TestOutcomesOfRecords(t *testing.T) {
	tests := []struct {
		record forwarder.Record
		want   observer.Outcome
	}{
		{forwarder.Record{Status: 200, Complete: true}, observer.Answered},
		{forwarder.Record{Status: 200}, observer.Truncated},
		{forwarder.Record{Status: 200, CallerGone: true}, observer.Abandoned},
		{forwarder.Record{Outcome: forwarder.Unknown, CallerGone: true}, observer.Abandoned},
		{forwarder.Record{Status: 502, Outcome: forwarder.Unknown, Complete: true}, observer.Unknown},
		{forwarder.Record{Status: 503, Outcome: forwarder.NotRun, Complete: true}, observer.NotRun},
	}
	for _, test := range tests {
		is.New(t).Equal(observer.FromRecord(test.record, nil).Outcome, test.want)
	}
}

func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	observing := &observer.Observer{Set: set}
	for i := range 300 {
		organisation := &configurator.Organisation{Path: configurator.Path(fmt.Sprintf("/t/organisations/o%d", i))}
		observing.Observe(observer.Observation{Service: service(fmt.Sprint(i)), Organisation: organisation, Status: 200,
			Outcome: observer.Answered, Attempts: 3})
	}
	observing.Observe(observer.FromRefusal(forwarder.Job{}, forwarder.Refusal{Status: 404, Reason: "no-route"}))
	var text strings.Builder
	set.WritePrometheus(&text)
	is.Equal(strings.Count(text.String(), "godwitramp_retries_total"), 256+2)
	is.Equal(strings.Count(text.String(), "organisations"), 0)
	for _, line := range []string{
		`godwitramp_requests_total{service="/t/services/0",class="2xx",outcome="answered"} 1`,
		`godwitramp_requests_total{service="other",class="2xx",outcome="answered"} 44`,
		`godwitramp_requests_total{service="none",class="4xx",outcome="not-run"} 1`,
		`godwitramp_retries_total{service="other"} 88`,
		`godwitramp_refusals_total{reason="no-route"} 1`,
	} {
		is.True(strings.Contains(text.String(), line+"\n"))
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, services := range []int{4, 200, 2100} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			observing := &observer.Observer{Set: metrics.NewSet()}
			known := make([]*configurator.ServiceTargets, services)
			for i := range known {
				known[i] = service(fmt.Sprint(i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				observing.Observe(observer.Observation{Service: known[i%services], Status: 200, Outcome: observer.Answered, Latency: time.Millisecond})
			}
		})
	}
}

// BenchmarkNaive is a baseline: it formats the name of every metric for each request.
func BenchmarkNaive(b *testing.B) {
	for _, services := range []int{4, 200, 2100} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			set := metrics.NewSet()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := fmt.Sprintf("/t/services/%d", i%services)
				set.GetOrCreateCounter(fmt.Sprintf("requests_total{service=%q,class=\"2xx\",outcome=\"answered\"}", name)).Inc()
				set.GetOrCreateHistogram(fmt.Sprintf("duration_seconds{service=%q}", name)).Update(0.001)
			}
		})
	}
}
