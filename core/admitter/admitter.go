// Package admitter decides whether a request is admitted: it finds the route of the
// path, authenticates the organisation by its key, and checks that the organisation is
// authorised to use the route.
//
// # Usage
//
//	admission, refusal := admitter.Admit(table, admitter.Request{Path: path, Key: key, KeysKnown: true})
package admitter

import (
	"crypto/sha256"

	"godwitramp.example/core/configurator"
)

// Reason is the reason of a refusal, or Admitted.
type Reason string

// The reasons for which a request is refused before it reaches an upstream.
const (
	Admitted       Reason = ""
	NoRoute        Reason = "no-route"
	KeyMissing     Reason = "key-missing"
	KeyUnknown     Reason = "key-unknown"
	RouteForbidden Reason = "route-forbidden"
	Unconfirmed    Reason = "configuration-unconfirmed"
	OverRate       Reason = "over-rate"
)

// Request holds what the decision depends on.
type Request struct {
	// Path is the path of the URL, without dot segments.
	Path string
	// Key is the key that the caller sent, empty if none.
	Key string
	// KeysKnown is false while the VM's configuration may be out of date, so that
	// withdrawn keys may still be in it.
	KeysKnown bool
}

// Admission is the route, the organisation and the service of a request.
type Admission struct {
	Route *configurator.Route
	// Organisation is nil on an open route without a valid key.
	Organisation *configurator.Organisation
	Service      *configurator.ServiceTargets
}

// Admit decides on a request. On a refusal the admission holds what was determined
// before the refusal.
func Admit(table *configurator.Table, request Request) (Admission, Reason) {
	route := table.Route(request.Path)
	if route == nil {
		return Admission{}, NoRoute
	}
	admission := Admission{Route: route, Service: table.Service(route.Service)}
	if admission.Service == nil {
		return admission, NoRoute
	}
	if route.Open {
		return admission, admitOpen(request)
	}
	if request.Key == "" {
		return admission, KeyMissing
	}
	key := table.Key(sha256.Sum256([]byte(request.Key)))
	if key == nil {
		return admission, KeyUnknown
	}
	organisation := table.Organisation(key.Organisation)
	if organisation == nil {
		return admission, KeyUnknown
	}
	admission.Organisation = organisation
	if !request.KeysKnown && organisation.WhenCutOff == configurator.RefuseWhenCutOff {
		return admission, Unconfirmed
	}
	if !route.MayUse(organisation.Path) {
		return admission, RouteForbidden
	}
	return admission, Admitted
}

// admitOpen decides on a request for an open route. It refuses while the configuration
// may be out of date, since a newer one may have changed the route.
func admitOpen(request Request) Reason {
	if !request.KeysKnown {
		return Unconfirmed
	}
	return Admitted
}
