package starter

import (
	"fmt"

	"godwitramp.example/entry/internal/syncer"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/recorder"
)

// startConfiguration runs what keeps the configuration at its newest revision.
func (starter *Starter) startConfiguration(parts *parts) error {
	starter.syncer = &syncer.Syncer{
		Recorder: starter.recorder(parts.platform), Members: starter.gossiper, Calls: parts.calls, Log: starter.Log,
	}
	if err := starter.syncer.Register(parts.services); err != nil {
		return fmt.Errorf("register service of the configuration: %w", err)
	}
	parts.run(starter.syncer.Run)
	return nil
}

func (starter *Starter) recorder(platform connector.Platform) *recorder.Recorder {
	return &recorder.Recorder{Platform: platform, OnSnapshotError: func(revision uint64, cause error) {
		starter.Log.WithError(cause).WithField("revision", revision).Error("snapshot-damaged")
	}}
}
