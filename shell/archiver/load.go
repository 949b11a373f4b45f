package archiver

import (
	"context"
	"fmt"
	"strings"
	"time"

	"godwitramp.example/core/burner"
	"godwitramp.example/shell/connector"
)

// Gap is an object that could not be read.
type Gap struct {
	Object string
	Cause  error
}

// Load reads the counters of all data centres for the period of the report.
// Objects that can't be read are returned as gaps.
func Load(ctx context.Context, platform connector.Platform, now time.Time) (*burner.Ledger, []Gap, error) {
	rows, err := platform.Scan(ctx, keyPrefix, maxRows)
	if err != nil {
		return nil, nil, fmt.Errorf("list counters: %w", err)
	}
	newest := HourOf(burner.BucketAt(now))
	oldest := HourOf(burner.BucketAt(now.Add(-burner.Retention)))
	ledger := &burner.Ledger{}
	var gaps []Gap
	for _, row := range rows {
		current, err := decodeIndex(row)
		if err != nil {
			gaps = append(gaps, Gap{Object: row.Key, Cause: err})
			continue
		}
		if current.Hour < oldest || current.Hour > newest {
			continue
		}
		gaps = append(gaps, loadHour(ctx, platform, row.Key, current, ledger)...)
	}
	return ledger, gaps, nil
}

func loadHour(ctx context.Context, platform connector.Platform, key string, current index, ledger *burner.Ledger) []Gap {
	var gaps []Gap
	dataCentre := strings.Split(strings.TrimPrefix(key, keyPrefix), "/")[0]
	for owner := range current.Owners {
		name := objectName(dataCentre, current.Hour, owner)
		if err := mergeObject(ctx, platform, name, current.Hour, ledger); err != nil {
			gaps = append(gaps, Gap{Object: name, Cause: err})
		}
	}
	return gaps
}
