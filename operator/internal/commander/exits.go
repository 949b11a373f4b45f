package commander

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/scanner"
	"godwitramp.example/operator/internal/applier"
	"godwitramp.example/operator/internal/reader"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/recorder"
)

// Exit codes. Scripts depend on the numbers.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitInvalid
	exitConflict
	exitNotInForce
	exitUncertain
	exitUnavailable
	exitPartial
)

// exitMeanings has the meaning of each exit code.
var exitMeanings = []string{
	exitDone:        "done; after apply, rollback and key: in force on every VM",
	exitFailed:      "failed for another reason, which is printed",
	exitUsage:       "the command line is wrong",
	exitInvalid:     "the declarations are not valid; nothing was recorded",
	exitConflict:    "another change was recorded first; this one was not recorded",
	exitNotInForce:  "recorded, but not known to be in force on every VM",
	exitUncertain:   "the answer was lost: nobody knows yet whether the last change is recorded",
	exitUnavailable: "the platform is away or too slow; nothing was recorded",
	exitPartial:     "some teams' changes are recorded as printed, another's is not",
}

// ExitCodeList returns the exit codes and their meanings, one per line.
func ExitCodeList() string {
	var page strings.Builder
	for code, meaning := range exitMeanings {
		fmt.Fprintf(&page, "%d  %s\n", code, meaning)
	}
	return page.String()
}

// usageError is returned for a wrong command line.
type usageError struct {
	Message string
}

// Error returns the message.
func (err *usageError) Error() string { return err.Message }

// problemsError lists all mistakes in the declarations.
type problemsError struct {
	Problems []*scanner.Problem
}

// Error returns the number of mistakes and one line for each.
func (err *problemsError) Error() string {
	joined := []error{fmt.Errorf("the declarations are not valid, problems: %d", len(err.Problems))}
	for _, problem := range err.Problems {
		joined = append(joined, problem)
	}
	return errors.Join(joined...).Error()
}

// partialError is returned if a team's change failed after changes of other
// teams were recorded.
type partialError struct {
	Cause error
}

// Error returns a message with the cause.
func (err *partialError) Error() string {
	return "some changes are recorded as printed, but then: " + err.Cause.Error()
}

// Unwrap returns the cause.
func (err *partialError) Unwrap() error { return err.Cause }

// notInForceError is returned if a recorded revision is not known to be in force
// on every VM.
type notInForceError struct {
	Report Report
}

// Error returns a message with the revision and the VMs that have not confirmed
// it.
func (err *notInForceError) Error() string {
	report := err.Report
	if len(report.Missing) == 0 {
		return fmt.Sprintf("revision %d is recorded; whether it is in force is not known", report.Revision)
	}
	return fmt.Sprintf("revision %d is recorded but not in force: confirmed by %d, missing %d: %s",
		report.Revision, report.Confirmed, len(report.Missing), strings.Join(report.Missing, ", "))
}

// exitCode returns the exit code for an error. An uncertain outcome takes
// precedence over a partial one, and both over their causes.
func exitCode(err error) int {
	var code int
	switch {
	case hasType[*recorder.UncertainError](err):
		code = exitUncertain
	case hasType[*partialError](err):
		code = exitPartial
	case hasType[*flags.Error](err), hasType[*usageError](err), errors.Is(err, reader.ErrNoSettings):
		code = exitUsage
	case hasType[*problemsError](err), hasType[*applier.InvalidError](err), hasType[*configurator.ForeignPathError](err):
		code = exitInvalid
	case hasType[*recorder.ConflictError](err), hasType[*recorder.HeadMovedError](err), hasType[*applier.BusyError](err):
		code = exitConflict
	case hasType[*notInForceError](err):
		code = exitNotInForce
	case hasType[*connector.UnavailableError](err), hasType[*connector.LostAnswerError](err):
		code = exitUnavailable
	default:
		code = exitFailed
	}
	return code
}

// hasType reports whether an error in the chain has the type E.
func hasType[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

// checkLimit returns a *usageError if the number of rows to show is negative.
func checkLimit(limit int) error {
	if limit < 0 {
		return &usageError{Message: fmt.Sprintf("--limit is %d; allowed: 0 or more", limit)}
	}
	return nil
}
