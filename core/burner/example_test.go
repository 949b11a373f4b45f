package burner_test

import (
	"fmt"
	"time"

	"godwitramp.example/core/burner"
)

func ExampleSummarize() {
	now := time.Date(2027, 1, 15, 8, 0, 0, 0, time.UTC)
	meter := burner.Meter{Source: burner.Source{VM: "vm-01", Incarnation: 1}}
	for i := range 1000 {
		meter.Observe(now, burner.Pair{Service: "/kundsetu/services/bookings"}, i >= 20)
	}
	var ledger burner.Ledger
	for _, record := range append(meter.Records(), meter.Records()...) {
		ledger.Merge(record) // merging a record twice has no effect
	}
	objectives := []burner.Objective{{Service: "/kundsetu/services/bookings", Share: 0.999}}
	row := burner.Summarize(&ledger, now, objectives).Rows[0]
	fmt.Printf("%s %s: burn %.0f\n", row.Level, row.Pair.Service, row.Burns[0].Rate)
	// Output: page /kundsetu/services/bookings: burn 20
}
