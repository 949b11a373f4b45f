// Package meter counts the bytes transferred between regions per day,
// organisation, service and pair of regions, as the basis for billing.
//
// # Usage
//
//	meter.Add(meter.Flow{Organisation: o, Service: s, From: "kutch", To: "charotar"}, bytes, day)
//	for _, total := range meter.Totals() {
//		// Write total to the table service.
//	}
package meter

import (
	"cmp"
	"slices"

	"godwitramp.example/core/configurator"
)

// Flow identifies a counter. Organisation and Service are empty for flows that
// are counted by pair of regions only.
type Flow struct {
	Organisation configurator.Path `json:"organisation"`
	Service      configurator.Path `json:"service"`
	From         string            `json:"from"`
	To           string            `json:"to"`
}

// Day is the number of days since the Unix epoch.
type Day int64

// Total has the bytes of one flow on one day.
type Total struct {
	Flow
	Day   Day   `json:"day"`
	Bytes int64 `json:"bytes"`
}

// DefaultMaxFlows is the default of Meter.MaxFlows.
const DefaultMaxFlows = 10_000

// Meter counts bytes. The zero value is ready. It isn't safe for concurrent
// use.
type Meter struct {
	// MaxFlows limits the distinct flows per day; DefaultMaxFlows if 0. Bytes of
	// further flows are counted by pair of regions only.
	MaxFlows int

	days map[Day]map[Flow]int64
}

// Add counts bytes of a flow. It ignores numbers below 1.
func (meter *Meter) Add(flow Flow, bytes int64, day Day) {
	if bytes <= 0 {
		return
	}
	if meter.days == nil {
		meter.days = make(map[Day]map[Flow]int64)
	}
	flows := meter.days[day]
	if flows == nil {
		flows = make(map[Flow]int64)
		meter.days[day] = flows
	}
	limit := meter.MaxFlows
	if limit == 0 {
		limit = DefaultMaxFlows
	}
	if _, known := flows[flow]; !known && len(flows) >= limit {
		flow = Flow{From: flow.From, To: flow.To}
	}
	flows[flow] += bytes
}

// Totals returns all counters, sorted by day, organisation, service and regions.
func (meter *Meter) Totals() []Total {
	var totals []Total
	for day, flows := range meter.days {
		for flow, bytes := range flows {
			totals = append(totals, Total{Flow: flow, Day: day, Bytes: bytes})
		}
	}
	slices.SortFunc(totals, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Day, b.Day), cmp.Compare(a.Organisation, b.Organisation),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return totals
}

// DropBefore removes the days before first. Call it once they have been written.
func (meter *Meter) DropBefore(first Day) {
	for day := range meter.days {
		if day < first {
			delete(meter.days, day)
		}
	}
}
