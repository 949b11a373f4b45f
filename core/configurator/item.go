package configurator

import (
	"net/netip"
	"time"
)

// KeyHash is the SHA-256 of a caller's key. The key itself is never kept.
type KeyHash [32]byte

// CutOffPolicy is what a VM does with an organisation's keys while it can't
// know whether they have been withdrawn.
type CutOffPolicy int

// The policies of a VM that is cut off.
const (
	RefuseWhenCutOff CutOffPolicy = iota
	ServeWhenCutOff
)

// RetryPolicy says which requests of a route may be sent more than once.
type RetryPolicy int

// The policies for sending a request again.
const (
	RetryIdempotentMethods RetryPolicy = iota
	RetryNever
	RetryAlways
)

// Organisation is a customer.
type Organisation struct {
	Path Path
	// Rate is in requests a second over the whole fleet.
	Rate float64
	// Burst is in requests over the whole fleet.
	Burst      float64
	WhenCutOff CutOffPolicy
}

// Key is what a caller proves its organisation with.
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

// Withdrawal says that a key is never valid again.
type Withdrawal struct {
	Path Path
	Hash KeyHash
}

// Service is a set of targets that can serve the same requests.
type Service struct {
	Path Path
	// Floor is the share of a region's targets that ejection leaves in use,
	// from 0 to 1.
	Floor   float64
	Timeout time.Duration
	// Objective is the share of requests to be answered well, from 0 to 1.
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
	// Slots is the number of requests that the target works on at a time.
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
	// Organisations that may use the route; all of the team's when empty.
	Organisations []Path
	Retry         RetryPolicy
	// Timeout overrides that of the service unless zero.
	Timeout time.Duration
}

// Budget bounds a team's paid traffic from one region to another.
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
