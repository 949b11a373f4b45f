package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"godwitramp.example/core/assessor"
)

// countAnswer counts an answer. Its labels have few values: reasons are those of the
// program, and statuses those of targets.
func countAnswer(reason string, status int, duration time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_answers_total{status="%d",reason=%q}`, status, reason)).Inc()
	metrics.GetOrCreateHistogram("gateway_answer_seconds").Update(duration.Seconds())
}

// countAttempt counts the end of an attempt.
func countAttempt(verdict assessor.Verdict, duration time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_attempts_total{reason=%q}`, verdict.Reason)).Inc()
	metrics.GetOrCreateHistogram("gateway_attempt_seconds").Update(duration.Seconds())
}

// Words of a target in its answers.
const (
	leavingSignal  = "leaving"
	coolDownSignal = "quiet"
)

// countSignal counts what a target says of itself.
func countSignal(signal string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gateway_target_words_total{word=%q}`, signal)).Inc()
}
