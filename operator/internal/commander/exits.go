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

// Exit codes.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitInvalid
	exitRaced
	exitNotInForce
	exitUncertain
	exitStoreAway
	exitPartial
)

// exits says what each exit code means.
var exits = []string{
	exitDone:       "done; after apply, rollback and key: in force on every VM",
	exitFailed:     "failed for another reason, which is printed",
	exitUsage:      "the command line is wrong",
	exitInvalid:    "the declarations are not valid; nothing was recorded",
	exitRaced:      "another change was recorded first; this one was not recorded",
	exitNotInForce: "recorded, but not known to be in force on every VM",
	exitUncertain:  "the answer was lost: nobody knows yet whether the last change is recorded",
	exitStoreAway:  "the platform is away or too slow; nothing was recorded",
	exitPartial:    "some teams' changes are recorded as printed, another's is not",
}

// ExitPage lists the exit codes.
func ExitPage() string {
	var page strings.Builder
	for code, meaning := range exits {
		fmt.Fprintf(&page, "%d  %s\n", code, meaning)
	}
	return page.String()
}

// usageError says what is wrong with the command line.
type usageError struct {
	Message string
}

// Error returns the message.
func (err *usageError) Error() string { return err.Message }

// problemsError carries every mistake in the declarations.
type problemsError struct {
	Problems []*scanner.Problem
}

// Error returns one line for each mistake.
func (err *problemsError) Error() string {
	joined := []error{fmt.Errorf("the declarations are not valid, problems: %d", len(err.Problems))}
	for _, problem := range err.Problems {
		joined = append(joined, problem)
	}
	return errors.Join(joined...).Error()
}

// partialError says that a team's change failed after others were recorded.
type partialError struct {
	Cause error
}

// Error gives the cause.
func (err *partialError) Error() string {
	return "some changes are recorded as printed, but then: " + err.Cause.Error()
}

// Unwrap returns the cause.
func (err *partialError) Unwrap() error { return err.Cause }

// notInForceError says that a recorded revision is not in force everywhere.
type notInForceError struct {
	Report Report
}

// Error names the revision and the VMs that have not confirmed it.
func (err *notInForceError) Error() string {
	report := err.Report
	if len(report.Missing) == 0 {
		return fmt.Sprintf("revision %d is recorded; whether it is in force is not known", report.Revision)
	}
	return fmt.Sprintf("revision %d is recorded but not in force: confirmed by %d, missing %d: %s",
		report.Revision, report.Confirmed, len(report.Missing), strings.Join(report.Missing, ", "))
}

// exitCode tells from an error how the command ends.
func exitCode(err error) int {
	var code int
	switch {
	case is[*recorder.UncertainError](err):
		code = exitUncertain
	case is[*partialError](err):
		code = exitPartial
	case is[*flags.Error](err), is[*usageError](err), errors.Is(err, reader.ErrNoSettings):
		code = exitUsage
	case is[*problemsError](err), is[*applier.InvalidError](err), is[*configurator.ForeignPathError](err):
		code = exitInvalid
	case is[*recorder.ConflictError](err), is[*recorder.HeadMovedError](err), is[*applier.BusyError](err):
		code = exitRaced
	case is[*notInForceError](err):
		code = exitNotInForce
	case is[*connector.UnavailableError](err), is[*connector.LostAnswerError](err):
		code = exitStoreAway
	default:
		code = exitFailed
	}
	return code
}

func is[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
