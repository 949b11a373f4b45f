// Package syncer keeps a VM's configuration at the newest revision.
//
// # Usage
//
//	syncer := &syncer.Syncer{Recorder: recorder, Log: log}
//	go syncer.Run(ctx)
//	table := syncer.Table()
package syncer

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/configurator"
	"godwitramp.example/shell/recorder"
)

const (
	pollPeriod     = 250 * time.Millisecond
	changesPerPoll = 256
)

// Syncer follows the recorded configuration.
type Syncer struct {
	Recorder *recorder.Recorder
	Log      *logrus.Entry

	state    *configurator.State
	table    atomic.Pointer[configurator.Table]
	revision atomic.Uint64
}

// Table returns the configuration in force on this VM, or nil before the
// first one.
func (syncer *Syncer) Table() *configurator.Table { return syncer.table.Load() }

// Revision returns the revision in force on this VM.
func (syncer *Syncer) Revision() uint64 { return syncer.revision.Load() }

// Run polls the store until the context ends.
func (syncer *Syncer) Run(ctx context.Context) error {
	syncer.state = configurator.NewState()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		if err := syncer.poll(ctx); err != nil && ctx.Err() == nil {
			syncer.Log.WithError(err).Warn("store-poll-failed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (syncer *Syncer) poll(ctx context.Context) error {
	head, err := syncer.Recorder.Head(ctx)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	if head.Revision == syncer.state.Revision {
		return nil
	}
	changes, err := syncer.Recorder.Changes(ctx, syncer.state.Revision, head.Revision, changesPerPoll)
	if err != nil {
		return fmt.Errorf("read changes: %w", err)
	}
	for _, change := range changes {
		if err := syncer.state.Apply(change); err != nil {
			return fmt.Errorf("apply change %s: %w", change.ID, err)
		}
	}
	syncer.publish()
	return nil
}

func (syncer *Syncer) publish() {
	table, problems := configurator.Compile(syncer.state.All())
	for _, problem := range problems {
		syncer.Log.WithError(problem).Error("entry-left-out")
	}
	syncer.table.Store(table)
	syncer.revision.Store(syncer.state.Revision)
	syncer.Log.WithFields(logrus.Fields{
		"revision": syncer.state.Revision, "digest": syncer.state.Digest,
	}).Info("configuration-in-force")
}
