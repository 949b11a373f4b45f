// Package meter counts the bytes that travel between regions, by organisation,
// service and pair of regions.
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

// Flow is what bytes are counted by.
type Flow struct {
	Organisation configurator.Path `json:"organisation"`
	Service      configurator.Path `json:"service"`
	From         string            `json:"from"`
	To           string            `json:"to"`
}

// Day counts the days since the Unix epoch.
type Day int64

// Total is what one flow carried on one day.
type Total struct {
	Flow
	Day   Day   `json:"day"`
	Bytes int64 `json:"bytes"`
}

// DefaultFlows bounds the flows of a day that a meter tells apart.
const DefaultFlows = 10_000

// Meter counts bytes. The zero value is ready. It isn't safe for concurrent
// use.
type Meter struct {
	// MaxFlows bounds the flows of a day that are told apart; DefaultFlows
	// unless set. Those beyond it are counted by pair of regions only.
	MaxFlows int

	days map[Day]map[Flow]int64
}

// Add counts bytes of a flow.
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
		limit = DefaultFlows
	}
	if _, known := flows[flow]; !known && len(flows) >= limit {
		flow = Flow{From: flow.From, To: flow.To}
	}
	flows[flow] += bytes
}

// Totals returns what has been counted, in a fixed order.
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

// Forget drops the days before the given one, once they have been written.
func (meter *Meter) Forget(before Day) {
	for day := range meter.days {
		if day < before {
			delete(meter.days, day)
		}
	}
}
