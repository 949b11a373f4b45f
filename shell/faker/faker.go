// Package faker is an in-memory fake of the platform with injectable faults. Tests
// use it directly, and the stand-in program serves it over HTTP.
//
// # Usage
//
//	platform := faker.New()
//	platform.SetFaults(faker.Faults{LoseAnswers: true})
//	_, err := platform.Transact(ctx, transaction) // takes effect, err is a *connector.LostAnswerError
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

// Faults are the faults to inject.
type Faults struct {
	// Outage makes the table service and the object store refuse every call.
	Outage bool
	// Hang blocks every call until its context ends.
	Hang bool
	// LoseAnswers executes writes but loses their answers.
	LoseAnswers bool
	// Delay is added to every call.
	Delay time.Duration
	// ListLag is the age of the list of VMs that is returned.
	ListLag time.Duration
	// ListOutage makes the list of VMs refuse every call.
	ListOutage bool
}

// Counts has the numbers of executed reads, executed writes and refused calls.
type Counts struct {
	Reads, Writes, Refused int64
}

// Platform is a connector.Platform in memory. It is safe for concurrent use.
// Use New.
type Platform struct {
	mutex   sync.Mutex
	rows    map[string]connector.Row
	objects map[string][]byte
	vmLists []vmList
	faults  Faults
	counts  Counts
}

var _ connector.Platform = (*Platform)(nil)

// vmList is a list of VMs and the time since which it holds.
type vmList struct {
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

// Faults returns the injected faults.
func (platform *Platform) Faults() Faults {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.faults
}

// Counts returns the numbers of calls so far.
func (platform *Platform) Counts() Counts {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.counts
}

// SetVMs replaces the list of VMs.
func (platform *Platform) SetVMs(vms []connector.VM) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vmLists = append(platform.vmLists, vmList{since: time.Now(), vms: slices.Clone(vms)})
}

var errInjected = errors.New("injected fault")

// beginCall applies the faults that precede the execution of a call. If it
// returns no error, the mutex is held.
func (platform *Platform) beginCall(ctx context.Context, isRefused func(Faults) bool) error {
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
	if isRefused(platform.faults) {
		platform.counts.Refused++
		platform.mutex.Unlock()
		return &connector.UnavailableError{Reason: errInjected.Error()}
	}
	return nil
}

func storeOutage(faults Faults) bool { return faults.Outage }

func listOutage(faults Faults) bool { return faults.ListOutage }

// Transact commits a transaction if all its conditions hold.
func (platform *Platform) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	if err := platform.beginCall(ctx, storeOutage); err != nil {
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
		return connector.Outcome{}, &connector.LostAnswerError{Cause: errInjected}
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

// Row returns a row. Its version is 0 if it does not exist.
func (platform *Platform) Row(ctx context.Context, key string) (connector.Row, error) {
	if err := platform.beginCall(ctx, storeOutage); err != nil {
		return connector.Row{}, err
	}
	defer platform.mutex.Unlock()
	platform.counts.Reads++
	return platform.row(key), nil
}

// Scan returns up to limit rows whose keys begin with prefix, sorted by key.
func (platform *Platform) Scan(ctx context.Context, prefix string, limit int) ([]connector.Row, error) {
	if err := platform.beginCall(ctx, storeOutage); err != nil {
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

// PutObject stores an object, replacing one of the same name.
func (platform *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	if err := platform.beginCall(ctx, storeOutage); err != nil {
		return err
	}
	defer platform.mutex.Unlock()
	platform.counts.Writes++
	platform.objects[name] = slices.Clone(data)
	if platform.faults.LoseAnswers {
		return &connector.LostAnswerError{Cause: errInjected}
	}
	return nil
}

// Object returns an object, or a *connector.NotFoundError.
func (platform *Platform) Object(ctx context.Context, name string) ([]byte, error) {
	if err := platform.beginCall(ctx, storeOutage); err != nil {
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

// VMs returns the list of VMs as it was ListLag ago.
func (platform *Platform) VMs(ctx context.Context) ([]connector.VM, error) {
	if err := platform.beginCall(ctx, listOutage); err != nil {
		return nil, err
	}
	defer platform.mutex.Unlock()
	platform.counts.Reads++
	asOf := time.Now().Add(-platform.faults.ListLag)
	vms := []connector.VM{}
	for _, list := range platform.vmLists {
		if !list.since.After(asOf) {
			vms = list.vms
		}
	}
	return vms, nil
}
