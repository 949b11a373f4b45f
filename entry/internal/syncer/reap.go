package syncer

import (
	"context"
	"fmt"
	"time"

	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/follower"
	"godwitramp.example/core/timekeeper"
)

const (
	reapPeriod = time.Minute
	// reapAfter is for how many periods in a row a VM must be missing from the
	// platform's list, which lags.
	reapAfter = 10
	// checkPeriod is how often a VM looks whether it is still registered.
	checkPeriod = 5 * time.Minute
)

// reapLoop takes back the registrations of VMs that have ended without doing
// so, on one VM of each data centre beside the store.
func (syncer *Syncer) reapLoop(ctx context.Context) {
	missing := make(map[confirmer.Registration]int)
	syncer.every(ctx, reapPeriod, syncer.random(6), func() {
		if !syncer.place.Load().First || !syncer.Members.Self().BesideStore {
			clear(missing)
			return
		}
		if err := syncer.reap(ctx, missing); err != nil && ctx.Err() == nil {
			syncer.Log.WithError(err).Warn("reaping-failed")
		}
	})
}

// reap counts how often each registered VM has been missing from the
// platform's list, and takes back the registrations of those that have ended.
func (syncer *Syncer) reap(ctx context.Context, missing map[confirmer.Registration]int) error {
	vms, err := syncer.Recorder.Platform.VMs(ctx)
	if err != nil {
		return fmt.Errorf("read list of VMs: %w", err)
	}
	registrations, err := syncer.Recorder.Registrations(ctx)
	if err != nil {
		return err
	}
	listed := make(map[string]bool)
	for _, vm := range vms {
		listed[vm.Name] = true
	}
	registered := make(map[confirmer.Registration]bool)
	for _, registration := range registrations {
		registered[registration] = true
		// An empty list says nothing about single VMs.
		if listed[registration.VM] || len(listed) == 0 {
			delete(missing, registration)
			continue
		}
		missing[registration]++
		if missing[registration] < reapAfter {
			continue
		}
		if err := syncer.Recorder.Deregister(ctx, registration); err != nil {
			return err
		}
		syncer.Log.WithField("vm", registration.VM).Info("registration-reaped")
	}
	for registration := range missing {
		if !registered[registration] {
			delete(missing, registration)
		}
	}
	return nil
}

// checkLoop registers the VM anew if its registration has been taken back
// though it lives.
func (syncer *Syncer) checkLoop(ctx context.Context) {
	syncer.every(ctx, checkPeriod, syncer.random(7), func() {
		there, err := syncer.Recorder.Registered(ctx, syncer.registration())
		if err != nil || there || syncer.left.Load() {
			return
		}
		syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { follower.Unregistered() })
		syncer.registerLoop(ctx)
	})
}
