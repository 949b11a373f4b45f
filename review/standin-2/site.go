package main

import (
	"time"

	"godwitramp.example/core/indexer"
)

// The figures of the site kundsetu, as its site file and its sheet in SYSTEM have them.
var (
	kundsetuBounds = map[string]string{
		"ConfigPropagation": "2000ms", "StretchMax": "5000ms", "Drain": "2000ms", "Revocation": "5000ms", "GracePeriod": "6s",
		"RetryBudgetRatio": "0.2", "RetryBudgetExtra": "60", "BudgetWindow": "10s",
		"QuotaWindow": "5s", "QuotaOvershoot": "0.1", "QuotaTolerance": "20", "FloorShare": "0.7",
	}
	kundsetuZones  = [][2]string{{"rajkot-a", "saurashtra"}, {"junagadh-b", "saurashtra"}, {"bhuj-a", "kutch"}, {"anjar-b", "kutch"}}
	kundsetuLimits = indexer.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
)

const (
	kundsetuMemoryMB    = 284
	kundsetuDescriptors = 4100
	// linkRate is that of a machine's link, in bytes a second.
	linkRate = 1000e6 / 8
	host     = "hulo84.example"
	key      = "nn2ctnfzs989anu6wsjn"
)

// kundsetuMachine returns a machine of the site in a zone.
func kundsetuMachine(zone int) machine {
	return machine{
		zone: kundsetuZones[zone][0], region: kundsetuZones[zone][1],
		memoryMB: kundsetuMemoryMB, descriptors: kundsetuDescriptors, bounds: kundsetuBounds,
	}
}

// route returns a route of the sheet to one service.
func route(name, service string, idempotent bool, timeout, objective time.Duration, priority int) indexer.Route {
	return indexer.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: timeout, LatencyObjective: objective,
		Attempts: 2, Priority: priority, Shares: []indexer.Share{{Service: service, Weight: 1}},
	}
}

// The figures of the site tidewater-previews-grown.
var (
	tidewaterZones   = [][2]string{{"bne-north", "brisbane"}, {"bne-south", "brisbane"}}
	tidewaterMachine = machine{
		zone: "bne-north", region: "brisbane", memoryMB: 536, descriptors: 8192,
		bounds: map[string]string{
			"ConfigPropagation": "3000ms", "StretchMax": "5000ms", "Drain": "3000ms", "Revocation": "5000ms", "GracePeriod": "6s",
			"RetryBudgetRatio": "0.2", "RetryBudgetExtra": "206", "BudgetWindow": "10s",
			"QuotaWindow": "5s", "QuotaOvershoot": "0.1", "QuotaTolerance": "20", "FloorShare": "0.7",
		},
	}
)
