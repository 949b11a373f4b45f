// Package archiver stores the counters of the burn report in the platform's
// object store, and loads them for the operators' command.
//
// For each hour, a data centre has a row of the table service and one object for
// each VM that has stored counters of the hour. The row lists these VMs, and
// only the VM that owns an object writes it. Hours share a fixed number of slots:
// rows and objects are overwritten once their hour is older than the report, so
// their number is bounded.
//
// # Usage
//
//	archiver := &archiver.Archiver{Platform: platform, DataCentre: "kutch-1", Owner: source}
//	err := archiver.Save(ctx, archiver.HourOf(bucket), records)
//
//	ledger, gaps, err := archiver.Load(ctx, platform, now) // in the operators' command
package archiver

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"godwitramp.example/core/burner"
	"godwitramp.example/shell/connector"
)

const (
	keyPrefix = "burn/"
	// slotCount is the number of hours that are stored, two more than the
	// report covers.
	slotCount        = int64(burner.Retention/time.Hour) + 2
	bucketsPerHour   = int64(time.Hour / burner.BucketLength)
	maxClaimAttempts = 5
	// maxOwners is the maximum number of VMs that store counters of one hour.
	maxOwners    = 256
	maxRows      = 100_000
	maxObjectMiB = 256
)

// Hour is the number of hours since the Unix epoch.
type Hour int64

// HourOf returns the hour of a bucket.
func HourOf(bucket burner.Bucket) Hour { return Hour(int64(bucket) / bucketsPerHour) }

// LastBucket returns the newest bucket of the hour.
func (hour Hour) LastBucket() burner.Bucket {
	return burner.Bucket((int64(hour)+1)*bucketsPerHour - 1)
}

func (hour Hour) slot() int64 { return int64(hour) % slotCount }

// index is the row of an hour. The position of an owner in it is part of the
// name of the owner's object.
type index struct {
	Hour   Hour            `json:"hour"`
	Owners []burner.Source `json:"owners"`
}

// file is the object of one owner.
type file struct {
	Hour    Hour            `json:"hour"`
	Records []burner.Record `json:"records"`
}

// TooOldError says that the slot of an hour holds a newer hour.
type TooOldError struct {
	Hour Hour
}

// Error names the hour.
func (err *TooOldError) Error() string {
	return fmt.Sprintf("hour %d is too old to store: its slot holds a newer hour", err.Hour)
}

// TooManyOwnersError says that the maximum number of VMs have stored counters
// of an hour.
type TooManyOwnersError struct {
	Hour Hour
}

// Error names the hour and the maximum.
func (err *TooManyOwnersError) Error() string {
	return fmt.Sprintf("hour %d already has counters of %d VMs, which is the maximum", err.Hour, maxOwners)
}

// Archiver stores counters for one VM. It isn't safe for concurrent use.
type Archiver struct {
	Platform   connector.Platform
	DataCentre string
	// Owner is the VM that stores counters.
	Owner burner.Source
}

// Save merges records of one hour into those that the owner has stored. It may
// be repeated after any error.
func (archiver *Archiver) Save(ctx context.Context, hour Hour, records []burner.Record) error {
	owner, err := archiver.claim(ctx, hour)
	if err != nil {
		return err
	}
	name := objectName(archiver.DataCentre, hour, owner)
	var ledger burner.Ledger
	if err := mergeObject(ctx, archiver.Platform, name, hour, &ledger); err != nil {
		return err
	}
	for _, record := range records {
		ledger.Merge(record)
	}
	data, err := encode(file{Hour: hour, Records: ledger.Records(0, hour.LastBucket())})
	if err != nil {
		return err
	}
	if err := archiver.Platform.PutObject(ctx, name, data); err != nil {
		return fmt.Errorf("store object %q: %w", name, err)
	}
	return nil
}

// claim adds the owner to the row of the hour, unless it is there already, and
// returns its position in the row.
func (archiver *Archiver) claim(ctx context.Context, hour Hour) (int, error) {
	key := rowKey(archiver.DataCentre, hour)
	for range maxClaimAttempts {
		row, err := archiver.Platform.Row(ctx, key)
		if err != nil {
			return 0, fmt.Errorf("read row %q: %w", key, err)
		}
		current, err := decodeIndex(row)
		if err != nil {
			return 0, err
		}
		if current.Hour > hour {
			return 0, &TooOldError{Hour: hour}
		}
		if current.Hour < hour {
			current = index{Hour: hour}
		}
		if owner := slices.Index(current.Owners, archiver.Owner); owner >= 0 {
			return owner, nil
		}
		if len(current.Owners) >= maxOwners {
			return 0, &TooManyOwnersError{Hour: hour}
		}
		current.Owners = append(current.Owners, archiver.Owner)
		claimed, err := archiver.writeIndex(ctx, row, current)
		if err != nil || claimed {
			return len(current.Owners) - 1, err
		}
	}
	return 0, fmt.Errorf("row %q was changed concurrently in %d attempts", key, maxClaimAttempts)
}

// writeIndex replaces the row and reports whether it still had the given
// version.
func (archiver *Archiver) writeIndex(ctx context.Context, row connector.Row, next index) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, fmt.Errorf("encode row %q: %w", row.Key, err)
	}
	outcome, err := archiver.Platform.Transact(ctx, connector.Transaction{
		Conditions: []connector.Condition{{Key: row.Key, Version: row.Version}},
		Puts:       []connector.Put{{Key: row.Key, Value: value}},
	})
	if err != nil {
		return false, fmt.Errorf("write row %q: %w", row.Key, err)
	}
	return outcome.Committed, nil
}

func rowKey(dataCentre string, hour Hour) string {
	return fmt.Sprintf("%s%s/%03d", keyPrefix, dataCentre, hour.slot())
}

func objectName(dataCentre string, hour Hour, owner int) string {
	return fmt.Sprintf("%s/%d", rowKey(dataCentre, hour), owner)
}

func decodeIndex(row connector.Row) (index, error) {
	var decoded index
	if row.Version == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return decoded, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return decoded, nil
}

func encode(file file) ([]byte, error) {
	var data bytes.Buffer
	writer := gzip.NewWriter(&data)
	if err := json.NewEncoder(writer).Encode(file); err != nil {
		return nil, fmt.Errorf("encode counters: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress counters: %w", err)
	}
	return data.Bytes(), nil
}

// mergeObject merges an object into the ledger. It does nothing if the object
// doesn't exist or holds another hour of the same slot.
func mergeObject(ctx context.Context, platform connector.Platform, name string, hour Hour, ledger *burner.Ledger) error {
	data, err := platform.Object(ctx, name)
	var notFound *connector.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read object %q: %w", name, err)
	}
	decoded, err := decode(data)
	if err != nil {
		return fmt.Errorf("object %q: %w", name, err)
	}
	if decoded.Hour != hour {
		return nil
	}
	for _, record := range decoded.Records {
		ledger.Merge(record)
	}
	return nil
}

func decode(data []byte) (file, error) {
	var decoded file
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return decoded, fmt.Errorf("decompress counters: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxObjectMiB<<20)).Decode(&decoded); err != nil {
		return decoded, fmt.Errorf("decode counters: %w", err)
	}
	return decoded, nil
}
