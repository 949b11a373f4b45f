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
	// reapAfterMisses is the number of consecutive periods for which a VM must be
	// missing from the platform's list, which lags.
	reapAfterMisses = 10
	// registrationCheckPeriod is how often a VM checks that it is registered.
	registrationCheckPeriod = 5 * time.Minute
)

// reapLoop deletes the registrations of VMs that ended without deregistering.
// It acts only on one VM of each data centre beside the store.
func (syncer *Syncer) reapLoop(ctx context.Context) {
	missing := make(map[confirmer.Registration]int)
	syncer.runEvery(ctx, reapPeriod, syncer.newRandom(6), func() {
		if !syncer.position.Load().First || !syncer.Members.Self().BesideStore {
			clear(missing)
			return
		}
		if err := syncer.reap(ctx, missing); err != nil && ctx.Err() == nil {
			syncer.Log.WithError(err).Warn("reaping-failed")
		}
	})
}

// reap counts for how many periods each registered VM has been missing from
// the platform's list, and deletes the registrations at the limit.
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
		// An empty list is no evidence that a particular VM has ended.
		if listed[registration.VM] || len(listed) == 0 {
			delete(missing, registration)
			continue
		}
		missing[registration]++
		if missing[registration] < reapAfterMisses {
			continue
		}
		if err := syncer.Recorder.Deregister(ctx, registration); err != nil {
			return err
		}
		syncer.Log.WithField("vm", registration.VM).Info("registration-deleted")
	}
	for registration := range missing {
		if !registered[registration] {
			delete(missing, registration)
		}
	}
	return nil
}

// registrationCheckLoop registers the VM again if another VM has deleted its
// registration although it is running.
func (syncer *Syncer) registrationCheckLoop(ctx context.Context) {
	syncer.runEvery(ctx, registrationCheckPeriod, syncer.newRandom(7), func() {
		registered, err := syncer.Recorder.Registered(ctx, syncer.registration())
		if err != nil || registered || syncer.leaving.Load() {
			return
		}
		syncer.update(func(follower *follower.Follower, _ timekeeper.Reading) { follower.Unregistered() })
		syncer.registerLoop(ctx)
	})
}
