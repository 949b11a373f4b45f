package indexer

import (
	"fmt"
	"slices"
)

// HomeRegions returns the regions in which a request of the organisation, nil if it has none, may be served
// on the route: those that both permit. It returns nil if there is no restriction, and an empty slice if no
// region is permitted by both.
func HomeRegions(route *Route, organisation *Organisation) []string {
	switch {
	case organisation == nil || len(organisation.HomeRegions) == 0:
		return unlessEmpty(route.HomeRegions)
	case len(route.HomeRegions) == 0:
		return organisation.HomeRegions
	}
	both := make([]string, 0, len(route.HomeRegions))
	for _, region := range route.HomeRegions {
		if slices.Contains(organisation.HomeRegions, region) {
			both = append(both, region)
		}
	}
	return both
}

// unlessEmpty returns nil for an empty list.
func unlessEmpty(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}

// Permits reports whether the region is among those that HomeRegions has returned.
func Permits(homes []string, region string) bool {
	return homes == nil || slices.Contains(homes, region)
}

// CheckHomeRegions returns an error that describes the first home region that isn't among the known regions. A
// misspelt one would leave requests without a target.
func (index *Index) CheckHomeRegions(known []string) error {
	for i := range index.Routes {
		if err := checkHomeRegions("route", index.Routes[i].Name, index.Routes[i].HomeRegions, known); err != nil {
			return err
		}
	}
	for i := range index.Organisations {
		if err := checkHomeRegions("organisation", index.Organisations[i].Name, index.Organisations[i].HomeRegions, known); err != nil {
			return err
		}
	}
	return nil
}

func checkHomeRegions(kind, name string, homes, known []string) error {
	for _, region := range homes {
		if !slices.Contains(known, region) {
			return fmt.Errorf("%s %q has the unknown home region %q, must be one of %q", kind, name, region, known)
		}
	}
	return nil
}
