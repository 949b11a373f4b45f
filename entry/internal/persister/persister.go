// Package persister brings a VM's counters for the burn report to where they
// last.
//
// A VM hands its counters to the uploader of its group, a VM of the same data
// centre, which merges and stores them. It forgets a bucket only when it is
// told that the bucket is stored as it counted it; until then it hands the
// bucket over again. While the store is away counters wait in memory, within
// bounds; at a planned stop they go to a peer.
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
	// uploadersTried is how many VMs are asked before the next flush.
	uploadersTried = 3
	// maxLines bounds the counters that an uploader keeps for others.
	maxLines = 400_000
)

// Caller calls other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Persister keeps and hands over counters. Its exported fields are set before
// Run.
type Persister struct {
	Members  watcher.Members
	Caller   Caller
	Archiver *archiver.Archiver
	Log      *logrus.Entry

	mutex  sync.Mutex
	meter  burner.Meter
	ledger burner.Ledger
	stored map[place]stored
	saving sync.Mutex
}

// place names what one source counted in one bucket.
type place struct {
	source burner.Source
	bucket burner.Bucket
}

// stored is how many answers of a place are stored.
type stored struct {
	total uint64
	at    time.Time
}

// Count counts one answer.
func (persister *Persister) Count(pair burner.Pair, good bool) {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	persister.meter.Source = persister.Archiver.Owner
	persister.meter.Observe(time.Now(), pair, good)
}

// Run hands counters over until the context ends.
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
			persister.Log.WithError(err).Warn("burn-counters-wait")
		}
	}
}

// Flush hands the VM's counters to its uploader and stores those that others
// have handed to this VM.
func (persister *Persister) Flush(ctx context.Context) error {
	handed := persister.hand(ctx)
	return errors.Join(handed, persister.save(ctx))
}

// Stop brings all counters to the store, or else to another VM.
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
	return fmt.Errorf("counters of %d answers found neither the store nor a peer", lost)
}

// uploaders returns the VMs to hand counters to, the first few of those in
// this VM's data centre.
func (persister *Persister) uploaders() []string {
	self := persister.Members.Self()
	names := []string{self.Name}
	for _, peer := range persister.Members.Live() {
		if peer.DataCentre == self.DataCentre {
			names = append(names, peer.Name)
		}
	}
	ranked := burner.Uploaders(self.Name, names)
	return ranked[:min(uploadersTried, len(ranked))]
}

// hand gives the VM's own counters to the first uploader that takes them.
func (persister *Persister) hand(ctx context.Context) error {
	persister.mutex.Lock()
	records := persister.meter.Records()
	persister.mutex.Unlock()
	if len(records) == 0 {
		return nil
	}
	var failed error
	for _, name := range persister.uploaders() {
		if name == persister.Members.Self().Name {
			persister.take(records)
			return nil
		}
		receipt, err := persister.call(ctx, name, records)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		persister.drop(receipt.Kept)
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
			return receipt, fmt.Errorf("hand counters to %s: %w", name, err)
		}
		return receipt, nil
	}
	return receipt, fmt.Errorf("hand counters to %s: no longer live", name)
}

// drop forgets own buckets that are wholly stored.
func (persister *Persister) drop(kept []burner.Kept) {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	for _, one := range kept {
		persister.meter.Drop(time.Now(), one)
	}
}

// unstored returns all records that the store does not have yet.
func (persister *Persister) unstored() []burner.Record {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	var all burner.Ledger
	for _, record := range persister.meter.Records() {
		all.Merge(record)
	}
	for _, record := range persister.ledger.Records(0, burner.BucketAt(time.Now())) {
		if persister.stored[place{record.Source, record.Bucket}].total != record.Total() {
			all.Merge(record)
		}
	}
	return all.Records(0, burner.BucketAt(time.Now()))
}

// isTooOld reports whether the store has no place for an hour any more.
func isTooOld(err error) bool {
	var tooOld *archiver.TooOldError
	return errors.As(err, &tooOld)
}
