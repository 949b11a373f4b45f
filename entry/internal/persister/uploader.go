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

// ServiceName is the name of the calls that take counters.
const ServiceName = "Burn"

// Handover brings counters to an uploader.
type Handover struct {
	Records []burner.Record
}

// Receipt says which of the records that came are stored.
type Receipt struct {
	Kept []burner.Kept
}

// Receiver takes the counters of other VMs.
type Receiver struct {
	persister *Persister
}

// Receiver returns what answers other VMs' calls.
func (persister *Persister) Receiver() *Receiver { return &Receiver{persister: persister} }

// Hand merges the counters and says which of them are stored already.
func (receiver *Receiver) Hand(handover Handover, receipt *Receipt) error {
	*receipt = receiver.persister.take(handover.Records)
	return nil
}

func (persister *Persister) take(records []burner.Record) Receipt {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	var receipt Receipt
	for _, record := range records {
		stored, ok := persister.stored[place{record.Source, record.Bucket}]
		if ok {
			kept := burner.Kept{Source: record.Source, Bucket: record.Bucket, Total: stored.total}
			receipt.Kept = append(receipt.Kept, kept)
		}
		if stored.total != record.Total() {
			persister.ledger.Merge(record)
		}
	}
	persister.bound()
	return receipt
}

// bound drops the oldest counters that others have not stored either.
func (persister *Persister) bound() {
	for persister.ledger.Lines() > maxLines {
		oldest := persister.ledger.Buckets()[0]
		lost := persister.ledger.DropBefore(oldest + 1)
		persister.Log.WithField("answers", lost).Warn("burn-counters-dropped")
	}
}

// save stores what the ledger holds, one hour after the other.
func (persister *Persister) save(ctx context.Context) error {
	persister.saving.Lock()
	defer persister.saving.Unlock()
	var failed error
	hours := persister.hours()
	for _, hour := range slices.Sorted(maps.Keys(hours)) {
		err := persister.Archiver.Save(ctx, hour, hours[hour])
		if err != nil && !isTooOld(err) {
			failed = errors.Join(failed, fmt.Errorf("store hour %d: %w", hour, err))
			continue
		}
		persister.note(hours[hour])
	}
	if failed == nil {
		persister.forget()
	}
	return failed
}

// hours returns the records that are not stored yet, by hour.
func (persister *Persister) hours() map[archiver.Hour][]burner.Record {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	hours := make(map[archiver.Hour][]burner.Record)
	for _, record := range persister.ledger.Records(0, burner.BucketAt(time.Now())) {
		if persister.stored[place{record.Source, record.Bucket}].total != record.Total() {
			hour := archiver.HourOf(record.Bucket)
			hours[hour] = append(hours[hour], record)
		}
	}
	return hours
}

// note remembers that records are stored, and drops the VM's own.
func (persister *Persister) note(records []burner.Record) {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	if persister.stored == nil {
		persister.stored = make(map[place]stored)
	}
	for _, record := range records {
		total := record.Total()
		persister.stored[place{record.Source, record.Bucket}] = stored{total: total, at: time.Now()}
		persister.meter.Drop(time.Now(), burner.Kept{Source: record.Source, Bucket: record.Bucket, Total: total})
	}
}

// storedMemory is how long an uploader remembers what it has stored: longer
// than the VMs of its group take to be told.
const storedMemory = time.Hour

// forget drops old records, all of which are stored.
func (persister *Persister) forget() {
	persister.mutex.Lock()
	defer persister.mutex.Unlock()
	oldest := time.Now().Add(-storedMemory)
	persister.ledger.DropBefore(burner.BucketAt(oldest))
	maps.DeleteFunc(persister.stored, func(_ place, stored stored) bool { return stored.at.Before(oldest) })
}
