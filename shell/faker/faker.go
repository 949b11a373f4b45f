// Package faker is a platform in memory, with faults that can be switched on
// while it runs. Tests use it directly; the stand-in program serves it over
// HTTP.
//
// # Usage
//
//	platform := faker.New()
//	platform.SetFaults(faker.Faults{LoseAnswers: true})
//	_, err := platform.Transact(ctx, transaction) // takes effect, err is an *UnknownError
package faker

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"godwitramp.example/shell/connector"
)

// Faults says what goes wrong at the platform.
type Faults struct {
	// Outage refuses every call to the table service and the object store.
	Outage bool
	// Hang leaves every call without an answer until its context ends.
	Hang bool
	// LoseAnswers makes writes take effect but loses their answers.
	LoseAnswers bool
	// Delay slows every answer.
	Delay time.Duration
	// ListLag is how old the list of VMs is.
	ListLag time.Duration
	// ListOutage refuses calls for the list of VMs.
	ListOutage bool
}

// Counts are the calls that a platform has answered or refused.
type Counts struct {
	Reads, Writes, Refused int64
}

// Platform is the platform in memory. Make one with New.
type Platform struct {
	mutex   sync.Mutex
	rows    map[string]connector.Row
	objects map[string][]byte
	lists   []datedList
	faults  Faults
	counts  Counts
}

var _ connector.Platform = (*Platform)(nil)

// datedList is the list of VMs since a time.
type datedList struct {
	since time.Time
	vms   []connector.VM
}

// New returns an empty platform without faults.
func New() *Platform {
	return &Platform{rows: make(map[string]connector.Row), objects: make(map[string][]byte)}
}

// SetFaults replaces the faults.
func (platform *Platform) SetFaults(faults Faults) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.faults = faults
}

// Faults returns the faults in force.
func (platform *Platform) Faults() Faults {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.faults
}

// Counts returns the calls so far.
func (platform *Platform) Counts() Counts {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.counts
}

// SetVMs replaces the list of VMs.
func (platform *Platform) SetVMs(vms []connector.VM) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.lists = append(platform.lists, datedList{since: time.Now(), vms: slices.Clone(vms)})
}

var errLost = errors.New("fault switched on")

// begin applies the faults that come before a call takes effect. It returns
// with the mutex held if there is no error.
func (platform *Platform) begin(ctx context.Context, refused func(Faults) bool) error {
	faults := platform.Faults()
	if faults.Hang {
		<-ctx.Done()
		return &connector.LostAnswerError{Cause: ctx.Err()}
	}
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			return &connector.LostAnswerError{Cause: ctx.Err()}
		case <-time.After(faults.Delay):
		}
	}
	platform.mutex.Lock()
	if refused(platform.faults) {
		platform.counts.Refused++
		platform.mutex.Unlock()
		return &connector.UnavailableError{Reason: errLost.Error()}
	}
	return nil
}

func storeRefuses(faults Faults) bool { return faults.Outage }

func listRefuses(faults Faults) bool { return faults.ListOutage }

// Transact writes rows if all conditions hold.
func (platform *Platform) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	if err := platform.begin(ctx, storeRefuses); err != nil {
		return connector.Outcome{}, err
	}
	defer platform.mutex.Unlock()
	platform.counts.Writes++
	outcome := connector.Outcome{Committed: true}
	for _, condition := range transaction.Conditions {
		row := platform.row(condition.Key)
		if row.Version != condition.Version {
			outcome.Committed = false
			outcome.Conflicts = append(outcome.Conflicts, row)
		}
	}
	if outcome.Committed {
		platform.write(transaction)
	}
	if platform.faults.LoseAnswers {
		return connector.Outcome{}, &connector.LostAnswerError{Cause: errLost}
	}
	return outcome, nil
}

func (platform *Platform) row(key string) connector.Row {
	if row, ok := platform.rows[key]; ok {
		return row
	}
	return connector.Row{Key: key}
}

func (platform *Platform) write(transaction connector.Transaction) {
	for _, put := range transaction.Puts {
		version := platform.rows[put.Key].Version + 1
		platform.rows[put.Key] = connector.Row{Key: put.Key, Version: version, Value: slices.Clone(put.Value)}
	}
	for _, key := range transaction.Deletes {
		delete(platform.rows, key)
	}
}

// Row returns a row.
func (platform *Platform) Row(ctx context.Context, key string) (connector.Row, error) {
	if err := platform.begin(ctx, storeRefuses); err != nil {
		return connector.Row{}, err
	}
	defer platform.mutex.Unlock()
	platform.counts.Reads++
	return platform.row(key), nil
}

// Scan returns the rows whose keys begin with prefix.
func (platform *Platform) Scan(ctx context.Context, prefix string, limit int) ([]connector.Row, error) {
	if err := platform.begin(ctx, storeRefuses); err != nil {
		return nil, err
	}
	defer platform.mutex.Unlock()
	platform.counts.Reads++
	rows := []connector.Row{}
	for key, row := range platform.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b connector.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

// PutObject stores an object.
func (platform *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	if err := platform.begin(ctx, storeRefuses); err != nil {
		return err
	}
	defer platform.mutex.Unlock()
	platform.counts.Writes++
	platform.objects[name] = slices.Clone(data)
	if platform.faults.LoseAnswers {
		return &connector.LostAnswerError{Cause: errLost}
	}
	return nil
}

// Object returns an object.
func (platform *Platform) Object(ctx context.Context, name string) ([]byte, error) {
	if err := platform.begin(ctx, storeRefuses); err != nil {
		return nil, err
	}
	defer platform.mutex.Unlock()
	platform.counts.Reads++
	data, ok := platform.objects[name]
	if !ok {
		return nil, &connector.NotFoundError{Name: name}
	}
	return data, nil
}

// VMs returns the list as it was ListLag ago.
func (platform *Platform) VMs(ctx context.Context) ([]connector.VM, error) {
	if err := platform.begin(ctx, listRefuses); err != nil {
		return nil, err
	}
	defer platform.mutex.Unlock()
	platform.counts.Reads++
	seen := time.Now().Add(-platform.faults.ListLag)
	vms := []connector.VM{}
	for _, list := range platform.lists {
		if !list.since.After(seen) {
			vms = list.vms
		}
	}
	return vms, nil
}
