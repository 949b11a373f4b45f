package waiter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/confirmer"
	"godwitramp.example/shell/faker"
	"godwitramp.example/shell/recorder"
	"godwitramp.example/shell/waiter"
)

func registration(vm, dataCentre string, besideStore bool) confirmer.Registration {
	return confirmer.Registration{VM: vm, Incarnation: 1, DataCentre: dataCentre, BesideStore: besideStore}
}

// A revision must not be reported in force while VMs that lack it may still
// serve requests.
func TestInForceNeedsEveryVMThatCouldServe(t *testing.T) {
	all := []confirmer.Registration{
		registration("a1", "a", true), registration("a2", "a", true), registration("b1", "b", true), registration("c1", "c", false),
	}
	for _, test := range []struct {
		name      string
		confirmed []confirmer.Confirmation
		want      waiter.Report
	}{
		{"all", confirmations("a1", "a2", "b1", "c1"), waiter.Report{Revision: 7, InForce: true, Confirmed: 4}},
		{"cut off", confirmations("a1", "a2", "b1"), waiter.Report{Revision: 7, InForce: true, Refusing: true, Confirmed: 3, Missing: []string{"c1"}}},
		{"one data centre", confirmations("b1", "c1"), waiter.Report{Revision: 7, InForce: true, Refusing: true, Confirmed: 2, Missing: []string{"a1", "a2"}}},
		{"two data centres", confirmations("a2", "c1"), waiter.Report{Revision: 7, Confirmed: 2, Missing: []string{"a1", "b1"}}},
		{"older process", []confirmer.Confirmation{{VM: "a1", Revision: 9}, {VM: "b1", Revision: 9}},
			waiter.Report{Revision: 7, Missing: []string{"a1", "a2", "b1", "c1"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				platform := faker.New()
				records := recorder.Recorder{Platform: platform}
				for _, vm := range all {
					is.NoErr(records.Register(t.Context(), vm))
				}
				is.NoErr(records.Confirm(t.Context(), "a1", test.confirmed))
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				report, err := (&waiter.Waiter{Platform: platform}).Wait(ctx, 7, nil)
				is.NoErr(err)
				is.Equal(report, test.want)
			})
		})
	}
}

func confirmations(vms ...string) []confirmer.Confirmation {
	var batch []confirmer.Confirmation
	for _, vm := range vms {
		batch = append(batch, confirmer.Confirmation{VM: vm, Incarnation: 1, Revision: 7})
	}
	return batch
}
