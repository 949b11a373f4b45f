package starter

import (
	"fmt"

	"godwitramp.example/entry/internal/syncer"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/recorder"
)

// startConfiguration starts the syncer, which keeps the configuration at the
// newest revision.
func (starter *Starter) startConfiguration(environment *environment) error {
	starter.syncer = &syncer.Syncer{
		Recorder: starter.recorder(environment.platform), Members: starter.gossiper, Calls: environment.calls, Log: starter.Log,
	}
	if err := starter.syncer.Register(environment.services); err != nil {
		return fmt.Errorf("register configuration service: %w", err)
	}
	environment.run(starter.syncer.Run)
	return nil
}

func (starter *Starter) recorder(platform connector.Platform) *recorder.Recorder {
	return &recorder.Recorder{Platform: platform, OnSnapshotError: func(revision uint64, cause error) {
		starter.Log.WithError(cause).WithField("revision", revision).Error("snapshot-damaged")
	}}
}
