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

// Load reads the counters of all data centres that the report needs. Objects
// that can't be read are named as gaps.
func Load(ctx context.Context, platform connector.Platform, now time.Time) (*burner.Ledger, []Gap, error) {
	rows, err := platform.Scan(ctx, prefix, maxRows)
	if err != nil {
		return nil, nil, fmt.Errorf("list counters: %w", err)
	}
	newest := HourOf(burner.BucketAt(now))
	oldest := HourOf(burner.BucketAt(now.Add(-burner.Retention)))
	ledger := &burner.Ledger{}
	var gaps []Gap
	for _, row := range rows {
		known, err := decodeIndex(row)
		if err != nil {
			gaps = append(gaps, Gap{Object: row.Key, Cause: err})
			continue
		}
		if known.Hour < oldest || known.Hour > newest {
			continue
		}
		gaps = append(gaps, loadHour(ctx, platform, row.Key, known, ledger)...)
	}
	return ledger, gaps, nil
}

func loadHour(ctx context.Context, platform connector.Platform, key string, known index, ledger *burner.Ledger) []Gap {
	var gaps []Gap
	dataCentre := strings.Split(strings.TrimPrefix(key, prefix), "/")[0]
	for number := range known.Owners {
		name := objectName(dataCentre, known.Hour, number)
		if err := read(ctx, platform, name, known.Hour, ledger); err != nil {
			gaps = append(gaps, Gap{Object: name, Cause: err})
		}
	}
	return gaps
}
