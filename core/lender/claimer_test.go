package lender_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/timekeeper"
)

// A part must not be claimed while its holder may still use it.
func TestClaims(t *testing.T) {
	self := lender.Owner{Name: "vm-01", Address: "127.0.0.1:1", Boot: "x", Incarnation: 5}
	before, otherBoot, after := self, self, self
	before.Incarnation = 4
	otherBoot.Incarnation, otherBoot.Boot = 4, "y"
	after.Incarnation = 6
	other := lender.Owner{Name: "vm-02", Address: "127.0.0.1:2", Boot: "x", Incarnation: 1}
	const long = lender.PartLeaseDuration + timekeeper.DriftMargin
	tests := []struct {
		name    string
		row     lender.Row
		mine    bool
		elapsed timekeeper.Reading
		claimed bool
		free    bool
	}{
		{"never held", lender.Row{}, true, timekeeper.At(0), true, true},
		{"never held, another VM's", lender.Row{}, false, timekeeper.At(0), false, false},
		{"given back while lent", lender.Row{Version: 3}, true, timekeeper.At(0), true, false},
		{"own claim, answer lost", lender.Row{Version: 3, Owner: self}, false, timekeeper.At(0), true, false},
		{"predecessor", lender.Row{Version: 3, Owner: before}, false, timekeeper.At(0), true, false},
		{"same name, but another boot", lender.Row{Version: 3, Owner: otherBoot}, true, timekeeper.At(0), false, false},
		{"successor", lender.Row{Version: 3, Owner: after}, true, timekeeper.At(0), false, false},
		{"live", lender.Row{Version: 3, Owner: other}, true, timekeeper.At(lender.PartLeaseDuration), false, false},
		{"ended", lender.Row{Version: 3, Owner: other}, true, timekeeper.At(long), true, false},
		{"only the wall clock advanced", lender.Row{Version: 3, Owner: other}, true, timekeeper.Reading{Wall: long}, false, false},
		{"renewed meanwhile", lender.Row{Version: 4, Owner: other}, true, timekeeper.At(long), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			claimer := lender.Claimer{Self: self}
			position := lender.Position{VMs: lender.Parts}
			if !test.mine {
				position.Rank = 1
			}
			now := timekeeper.At(time.Hour)
			first := test.row
			first.Version = min(3, first.Version)
			claimer.Claims(0, []lender.Row{first}, position, now)
			now.Mono += test.elapsed.Mono
			now.Wall += test.elapsed.Wall
			claims := claimer.Claims(0, []lender.Row{test.row}, position, now)
			claimed := len(claims) > 0 && claims[0].Part.Index == 0
			is.Equal(claimed, test.claimed)
			if claimed {
				is.Equal(claims[0].Free, test.free)
			}
		})
	}
}
