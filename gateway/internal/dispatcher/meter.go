package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/hedger"
	"godwitramp.example/core/quarantiner"
)

// countAnswer counts an answer and its duration. The labels have few values: reasons are
// constants of the program, and statuses come from the program or from targets.
func countAnswer(reason string, status int, duration time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_answers_total{status="%d",reason=%q}`, status, reason)).Inc()
	metrics.GetOrCreateHistogram("gateway_answer_seconds").Update(duration.Seconds())
}

// countAttempt counts a finished attempt and its duration.
func countAttempt(verdict assessor.Verdict, duration time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_attempts_total{reason=%q}`, verdict.Reason)).Inc()
	metrics.GetOrCreateHistogram("gateway_attempt_seconds").Update(duration.Seconds())
}

// Signals of a target in the headers of its answers, as values of the label "word".
const (
	leavingSignal  = "leaving"
	coolDownSignal = "quiet"
	limitSignal    = "limit"
)

// countSignal counts a signal in an answer.
func countSignal(signal string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_target_words_total{word=%q}`, signal)).Inc()
}

// setColdTargets sets the number of targets that count as cold.
func setColdTargets(count int) {
	metrics.GetOrCreateGauge("gateway_cold_targets", nil).Set(float64(count))
}

// countColdRequest counts an attempt at a cold target.
func countColdRequest() { metrics.GetOrCreateCounter("gateway_cold_target_attempts_total").Inc() }

// countColdRefusal counts a refusal of a request because no target had a token left and some were cold.
func countColdRefusal() { metrics.GetOrCreateCounter("gateway_cold_target_refusals_total").Inc() }

// countProbe counts a probe of a target by what it has found: warm, cold, unknown or failed.
func countProbe(finding string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_target_probes_total{finding=%q}`, finding)).Inc()
}

// countCrash counts a crash of a target under a request.
func countCrash() { metrics.GetOrCreateCounter("gateway_target_crashes_total").Inc() }

// countLook counts a look at a target that has not answered.
func countLook(finding quarantiner.Finding) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_target_looks_total{finding=%q}`, finding)).Inc()
}

// countOutstanding counts an attempt that was recorded as outstanding.
func countOutstanding() { metrics.GetOrCreateCounter("gateway_attempts_outstanding_total").Inc() }

// countBlock counts a request that has become blocked.
func countBlock() { metrics.GetOrCreateCounter("gateway_requests_blocked_total").Inc() }

// countIsolation counts a service whose targets this VM can't reach any more.
func countIsolation() { metrics.GetOrCreateCounter("gateway_isolations_total").Inc() }

// countAsks counts the groups that were asked for tokens.
func countAsks(asked int) { metrics.GetOrCreateCounter("gateway_token_asks_total").Add(asked) }

// countGroupAsk counts a request for which VMs of the group were asked for a message.
func countGroupAsk() { metrics.GetOrCreateCounter("gateway_group_asks_total").Inc() }

// countLent counts the tokens that were lent to other groups.
func countLent(tokens float64) {
	metrics.GetOrCreateFloatCounter("gateway_tokens_lent_total").Add(tokens)
}

// countHedge counts a hedge of a service with a limit.
func countHedge() { metrics.GetOrCreateCounter("gateway_hedges_total").Inc() }

// countHedgeWon counts a hedge whose answer was delivered.
func countHedgeWon() { metrics.GetOrCreateCounter("gateway_hedges_won_total").Inc() }

// countHedgeDenied counts a request whose hedge was not sent when it was due.
func countHedgeDenied(denial hedger.Denial) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_hedges_denied_total{reason=%q}`, denial)).Inc()
}

// setEvacuated sets the number of evacuated data centres and of the requests in flight at their targets.
func setEvacuated(dataCentres, inFlight int) {
	metrics.GetOrCreateGauge("gateway_evacuated_data_centres", nil).Set(float64(dataCentres))
	metrics.GetOrCreateGauge("gateway_evacuated_requests_in_flight", nil).Set(float64(inFlight))
}
