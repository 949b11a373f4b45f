package router_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/router"
)

func TestPickPrefersNearTargets(t *testing.T) {
	is := is.New(t)
	service := &configurator.ServiceTargets{Targets: []configurator.Target{
		{Path: "/a/services/s/targets/far", Region: "r2", DataCentre: "r2-1"},
		{Path: "/a/services/s/targets/region", Region: "r1", DataCentre: "r1-2"},
		{Path: "/a/services/s/targets/near", Region: "r1", DataCentre: "r1-1"},
		{Path: "/a/services/s/targets/leaving", Region: "r1", DataCentre: "r1-1", Leaving: true},
	}}
	picker := router.New(router.Place{Region: "r1", DataCentre: "r1-1"})
	random := rand.New(rand.NewPCG(1, 1))
	var tried []configurator.Path
	for _, want := range []string{"near", "region", "far"} {
		target, ok := picker.Pick(router.Ask{Service: service, Tried: tried}, random)
		is.True(ok)
		is.Equal(target.Path.Name(), want)
		tried = append(tried, target.Path)
	}
	_, ok := picker.Pick(router.Ask{Service: service, Tried: tried}, random)
	is.True(!ok)
}
