// Package archiver keeps the counters of the burn report in the platform's
// object store.
//
// A data centre has one row of the table service for each hour, which says
// which VMs have stored counters of that hour, and one object for each of
// them. Only one VM ever writes an object of an hour. Rows and objects of an
// hour are used again once the hour has left the report, so that their number
// is bounded.
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
	prefix = "burn/"
	// slots is the number of hours that are kept, two above the retention.
	slots          = int64(burner.Retention/time.Hour) + 2
	bucketsPerHour = int64(time.Hour / burner.BucketLength)
	claimAttempts  = 5
	// maxOwners bounds the VMs that store counters of one hour.
	maxOwners   = 256
	maxRows     = 100_000
	maxObjectMB = 256
)

// Hour is the number of an hour since the Unix epoch.
type Hour int64

// HourOf returns the hour of a bucket.
func HourOf(bucket burner.Bucket) Hour { return Hour(int64(bucket) / bucketsPerHour) }

// LastBucket returns the newest bucket of the hour.
func (hour Hour) LastBucket() burner.Bucket {
	return burner.Bucket((int64(hour)+1)*bucketsPerHour - 1)
}

func (hour Hour) slot() int64 { return int64(hour) % slots }

// index is the row of an hour.
type index struct {
	Hour   Hour            `json:"hour"`
	Owners []burner.Source `json:"owners"`
}

// file is the object of one owner.
type file struct {
	Hour    Hour            `json:"hour"`
	Records []burner.Record `json:"records"`
}

// TooOldError says that an hour's place has been given to a newer one.
type TooOldError struct {
	Hour Hour
}

// Error names the hour.
func (err *TooOldError) Error() string {
	return fmt.Sprintf("hour %d has left the report; its place holds a newer one", err.Hour)
}

// CrowdedError says that too many VMs have stored counters of an hour.
type CrowdedError struct {
	Hour Hour
}

// Error names the hour and the bound.
func (err *CrowdedError) Error() string {
	return fmt.Sprintf("hour %d has counters of %d VMs already", err.Hour, maxOwners)
}

// Archiver stores counters for one VM. It isn't safe for concurrent use.
type Archiver struct {
	Platform   connector.Platform
	DataCentre string
	// Owner is the VM that stores.
	Owner burner.Source
}

// Save merges records of one hour into those that the owner has stored. It
// may be repeated after any error.
func (archiver *Archiver) Save(ctx context.Context, hour Hour, records []burner.Record) error {
	number, err := archiver.claim(ctx, hour)
	if err != nil {
		return err
	}
	name := objectName(archiver.DataCentre, hour, number)
	var ledger burner.Ledger
	if err := read(ctx, archiver.Platform, name, hour, &ledger); err != nil {
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

// claim returns the number of the owner's object for the hour.
func (archiver *Archiver) claim(ctx context.Context, hour Hour) (int, error) {
	key := rowKey(archiver.DataCentre, hour)
	for range claimAttempts {
		row, err := archiver.Platform.Row(ctx, key)
		if err != nil {
			return 0, fmt.Errorf("read row %q: %w", key, err)
		}
		known, err := decodeIndex(row)
		if err != nil {
			return 0, err
		}
		if known.Hour > hour {
			return 0, &TooOldError{Hour: hour}
		}
		if known.Hour < hour {
			known = index{Hour: hour}
		}
		if number := slices.Index(known.Owners, archiver.Owner); number >= 0 {
			return number, nil
		}
		if len(known.Owners) >= maxOwners {
			return 0, &CrowdedError{Hour: hour}
		}
		known.Owners = append(known.Owners, archiver.Owner)
		claimed, err := archiver.write(ctx, row, known)
		if err != nil || claimed {
			return len(known.Owners) - 1, err
		}
	}
	return 0, fmt.Errorf("row %q changed %d times meanwhile", key, claimAttempts)
}

func (archiver *Archiver) write(ctx context.Context, row connector.Row, known index) (bool, error) {
	value, err := json.Marshal(known)
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
	return fmt.Sprintf("%s%s/%03d", prefix, dataCentre, hour.slot())
}

func objectName(dataCentre string, hour Hour, number int) string {
	return fmt.Sprintf("%s/%d", rowKey(dataCentre, hour), number)
}

func decodeIndex(row connector.Row) (index, error) {
	var known index
	if row.Version == 0 {
		return known, nil
	}
	if err := json.Unmarshal(row.Value, &known); err != nil {
		return known, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return known, nil
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

// read merges an object into the ledger. An object that does not exist, or
// holds an hour that had the same place before, adds nothing.
func read(ctx context.Context, platform connector.Platform, name string, hour Hour, ledger *burner.Ledger) error {
	data, err := platform.Object(ctx, name)
	var absent *connector.NotFoundError
	if errors.As(err, &absent) {
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
	if err := json.NewDecoder(io.LimitReader(reader, maxObjectMB<<20)).Decode(&decoded); err != nil {
		return decoded, fmt.Errorf("decode counters: %w", err)
	}
	return decoded, nil
}
