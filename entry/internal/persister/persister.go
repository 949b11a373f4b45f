// Package persister brings a VM's counters for the burn report to durable
// storage.
//
// A VM sends its counters to the uploader of its group, a VM of the same data
// centre, which merges and stores them. It drops a bucket only after the uploader
// has confirmed that the bucket is stored with the same total; until then it
// sends the bucket again with each flush. While the store is unavailable,
// counters stay in memory, up to a limit; at a planned stop they go to a peer.
//
// # Usage
//
//	persister := &persister.Persister{Members: members, Caller: caller, Archiver: archiver, Log: log}
//	err := services.RegisterName(persister.ServiceName, persister.Receiver())
//	go persister.Run(ctx)
//	persister.Count(pair, good) // for each answer
//	persister.Stop(ctx)         // at a planned stop
package persister

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/burner"
	"godwitramp.example/core/watcher"
	"godwitramp.example/shell/archiver"
)

const (
	flushPeriod = 2 * time.Minute
	callTimeout = 5 * time.Second
	// maxUploadersTried is the number of VMs to which a flush tries to send.
	maxUploadersTried = 3
	// maxLines limits the counters that an uploader keeps in memory.
	maxLines = 400_000
)

// Caller calls other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Persister counts answers and brings the counters to storage. It is safe for
// concurrent use. Its exported fields are set before the first call.
type Persister struct {
	Members  watcher.Members
	Caller   Caller
	Archiver *archiver.Archiver
	Log      *logrus.Entry

	mutex     sync.Mutex
	meter     burner.Meter
	ledger    burner.Ledger
	stored    map[recordKey]storedTotal
	saveMutex sync.Mutex
}

// recordKey identifies the record of one source for one bucket.
type recordKey struct {
	source burner.Source
	bucket burner.Bucket
}

// storedTotal is the number of answers of a record that are stored.
type storedTotal struct {
	total    uint64
	storedAt time.Time
}

// Count counts one answer.
func (persister *Persister) Count(pair burner.Pair, good bool) {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	persister.meter.Source = persister.Archiver.Owner
	persister.meter.Observe(time.Now(), pair, good)
}

// Run flushes counters every flushPeriod until the context ends.
func (persister *Persister) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := persister.Flush(ctx); err != nil && ctx.Err() == nil {
			persister.Log.WithError(err).Warn("burn-counters-not-stored")
		}
	}
}

// Flush sends the VM's counters to its uploader and stores those that other VMs
// have sent to this VM.
func (persister *Persister) Flush(ctx context.Context) error {
	handOverErr := persister.handOver(ctx)
	return errors.Join(handOverErr, persister.save(ctx))
}

// Stop brings all counters to the store or, if that fails, to another VM. The
// error gives the number of answers whose counters are lost.
func (persister *Persister) Stop(ctx context.Context) error {
	if err := persister.Flush(ctx); err == nil {
		return nil
	}
	records := persister.unstored()
	if len(records) == 0 {
		return nil
	}
	self := persister.Members.Self()
	for _, name := range persister.uploaders() {
		if name == self.Name {
			continue
		}
		if _, err := persister.call(ctx, name, records); err == nil {
			return nil
		}
	}
	var lost uint64
	for _, record := range records {
		lost += record.Total()
	}
	return fmt.Errorf("counters of %d answers lost: neither the store nor a peer accepted them", lost)
}

// uploaders returns the names of the VMs to send counters to, by rank: at most
// maxUploadersTried VMs of this VM's data centre.
func (persister *Persister) uploaders() []string {
	self := persister.Members.Self()
	names := []string{self.Name}
	for _, peer := range persister.Members.Live() {
		if peer.DataCentre == self.DataCentre {
			names = append(names, peer.Name)
		}
	}
	ranked := burner.Uploaders(self.Name, names)
	return ranked[:min(maxUploadersTried, len(ranked))]
}

// handOver sends the VM's own counters to the first uploader that accepts them.
func (persister *Persister) handOver(ctx context.Context) error {
	persister.mutex.Lock()
	records := persister.meter.Records()
	persister.mutex.Unlock()
	if len(records) == 0 {
		return nil
	}
	var failed error
	for _, name := range persister.uploaders() {
		if name == persister.Members.Self().Name {
			persister.merge(records)
			return nil
		}
		receipt, err := persister.call(ctx, name, records)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		persister.dropStored(receipt.Kept)
		return nil
	}
	return failed
}

func (persister *Persister) call(ctx context.Context, name string, records []burner.Record) (Receipt, error) {
	var receipt Receipt
	for _, peer := range persister.Members.Live() {
		if peer.Name != name {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := persister.Caller.Call(ctx, peer.Address, ServiceName+".Hand", Handover{Records: records}, &receipt)
		if err != nil {
			return receipt, fmt.Errorf("send counters to %s: %w", name, err)
		}
		return receipt, nil
	}
	return receipt, fmt.Errorf("send counters to %s: VM is no longer live", name)
}

// dropStored drops the VM's own buckets whose totals are stored.
func (persister *Persister) dropStored(kept []burner.Kept) {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	for _, record := range kept {
		persister.meter.Drop(time.Now(), record)
	}
}

// unstored returns all records that are not known to be stored.
func (persister *Persister) unstored() []burner.Record {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	var all burner.Ledger
	for _, record := range persister.meter.Records() {
		all.Merge(record)
	}
	for _, record := range persister.ledger.Records(0, burner.BucketAt(time.Now())) {
		if persister.stored[recordKey{record.Source, record.Bucket}].total != record.Total() {
			all.Merge(record)
		}
	}
	return all.Records(0, burner.BucketAt(time.Now()))
}

// isTooOld reports whether the archive no longer accepts an hour.
func isTooOld(err error) bool {
	var tooOld *archiver.TooOldError
	return errors.As(err, &tooOld)
}
