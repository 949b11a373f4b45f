package persister

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"godwitramp.example/core/burner"
	"godwitramp.example/shell/archiver"
)

// ServiceName is the name of the service in the calls between VMs.
const ServiceName = "Burn"

// Handover contains counters for an uploader.
type Handover struct {
	Records []burner.Record
}

// Receipt lists which records of a Handover are stored, with their stored totals.
type Receipt struct {
	Kept []burner.Kept
}

// Receiver answers the calls of other VMs that send counters.
type Receiver struct {
	persister *Persister
}

// Receiver returns the service to register under ServiceName.
func (persister *Persister) Receiver() *Receiver { return &Receiver{persister: persister} }

// Hand merges the counters and returns which of them are stored already.
func (receiver *Receiver) Hand(handover Handover, receipt *Receipt) error {
	*receipt = receiver.persister.merge(handover.Records)
	return nil
}

func (persister *Persister) merge(records []burner.Record) Receipt {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	var receipt Receipt
	for _, record := range records {
		stored, ok := persister.stored[recordKey{record.Source, record.Bucket}]
		if ok {
			kept := burner.Kept{Source: record.Source, Bucket: record.Bucket, Total: stored.total}
			receipt.Kept = append(receipt.Kept, kept)
		}
		if stored.total != record.Total() {
			persister.ledger.Merge(record)
		}
	}
	persister.dropOldest()
	return receipt
}

// dropOldest drops the oldest buckets, which other VMs may not have stored
// either, while the ledger exceeds maxLines.
func (persister *Persister) dropOldest() {
	for persister.ledger.Lines() > maxLines {
		oldest := persister.ledger.Buckets()[0]
		lost := persister.ledger.DropBefore(oldest + 1)
		persister.Log.WithField("answers", lost).Warn("burn-counters-dropped")
	}
}

// save stores the ledger's unstored records, hour by hour. Hours that are too
// old for the archive count as stored.
func (persister *Persister) save(ctx context.Context) error {
	persister.saveMutex.Lock()
	defer persister.saveMutex.Unlock()
	var failed error
	hours := persister.unstoredByHour()
	for _, hour := range slices.Sorted(maps.Keys(hours)) {
		err := persister.Archiver.Save(ctx, hour, hours[hour])
		if err != nil && !isTooOld(err) {
			failed = errors.Join(failed, fmt.Errorf("store hour %d: %w", hour, err))
			continue
		}
		persister.markStored(hours[hour])
	}
	if failed == nil {
		persister.pruneStored()
	}
	return failed
}

// unstoredByHour returns the records that are not stored yet, by hour.
func (persister *Persister) unstoredByHour() map[archiver.Hour][]burner.Record {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	hours := make(map[archiver.Hour][]burner.Record)
	for _, record := range persister.ledger.Records(0, burner.BucketAt(time.Now())) {
		if persister.stored[recordKey{record.Source, record.Bucket}].total != record.Total() {
			hour := archiver.HourOf(record.Bucket)
			hours[hour] = append(hours[hour], record)
		}
	}
	return hours
}

// markStored records the stored totals, and drops the VM's own stored buckets.
func (persister *Persister) markStored(records []burner.Record) {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	if persister.stored == nil {
		persister.stored = make(map[recordKey]storedTotal)
	}
	for _, record := range records {
		total := record.Total()
		persister.stored[recordKey{record.Source, record.Bucket}] = storedTotal{total: total, storedAt: time.Now()}
		persister.meter.Drop(time.Now(), burner.Kept{Source: record.Source, Bucket: record.Bucket, Total: total})
	}
}

// storedRetention is how long an uploader keeps the totals it has stored: longer
// than the VMs of its group need to receive the confirmation.
const storedRetention = time.Hour

// pruneStored drops records older than storedRetention, all of which are stored.
func (persister *Persister) pruneStored() {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	oldest := time.Now().Add(-storedRetention)
	persister.ledger.DropBefore(burner.BucketAt(oldest))
	maps.DeleteFunc(persister.stored, func(_ recordKey, stored storedTotal) bool { return stored.storedAt.Before(oldest) })
}
