package configurator

import (
	"net/netip"
	"time"
)

// KeyHash is the SHA-256 of a caller's key. The key itself is never stored.
type KeyHash [32]byte

// CutOffPolicy says whether a VM accepts an organisation's keys while it can't
// tell whether they have been withdrawn.
type CutOffPolicy int

// The policies of a VM that is cut off.
const (
	RefuseWhenCutOff CutOffPolicy = iota
	ServeWhenCutOff
)

// RetryPolicy says which requests of a route may be retried.
type RetryPolicy int

// The policies for retries.
const (
	RetryIdempotentMethods RetryPolicy = iota
	RetryNever
	RetryAlways
)

// Organisation is an organisation whose callers send requests, with its rate
// limit.
type Organisation struct {
	Path Path
	// Rate is in requests a second over the whole fleet.
	Rate float64
	// Burst is in requests, over the whole fleet.
	Burst      float64
	WhenCutOff CutOffPolicy
}

// Key is a credential of an organisation's callers.
type Key struct {
	Path         Path
	Organisation Path
	Hash         KeyHash
	Source       KeySource
}

// KeySource says who owns a key.
type KeySource int

// The owners of keys.
const (
	FromDeclarations KeySource = iota
	FromCommand
)

// Withdrawal revokes a key of the same team for good.
type Withdrawal struct {
	Path Path
	Hash KeyHash
}

// Service is a set of targets that can serve the same requests.
type Service struct {
	Path Path
	// Floor is the share of a region's targets, from 0 to 1, that ejection must
	// leave in use.
	Floor   float64
	Timeout time.Duration
	// Objective is the share of requests, from 0 to 1, that should be answered
	// without failure and within ObjectiveLatency.
	Objective        float64
	ObjectiveLatency time.Duration
}

// Target is one upstream address of a service.
type Target struct {
	Path       Path
	Service    Path
	Address    netip.AddrPort
	Region     string
	DataCentre string
	// Slots is the number of requests that the target handles concurrently.
	Slots   int
	Leaving bool
}

// Route sends the requests below a path prefix to a service.
type Route struct {
	Path    Path
	Prefix  string
	Service Path
	// Open routes need no key.
	Open bool
	// Organisations may use the route; if empty, all of the team's may.
	Organisations []Path
	Retry         RetryPolicy
	// Timeout overrides the service's timeout unless it is zero.
	Timeout time.Duration
}

// Budget limits a team's paid traffic from one region to another.
type Budget struct {
	Path Path
	From string
	To   string
	// Rate is in bytes a second.
	Rate float64
	// Burst is in bytes.
	Burst float64
	// Price is per gigabyte.
	Price float64
}

// Items is the decoded form of a set of entries.
type Items struct {
	Organisations []Organisation
	Keys          []Key
	Withdrawals   []Withdrawal
	Services      []Service
	Targets       []Target
	Routes        []Route
	Budgets       []Budget
}
