package syncer

import (
	"godwitramp.example/core/follower"
	"godwitramp.example/core/timekeeper"
)

// Service answers the calls of other VMs.
type Service struct {
	syncer *Syncer
}

// Exchange applies a message and answers it.
func (service *Service) Exchange(message follower.Message, answer *follower.Answer) error {
	service.syncer.update(func(follower *follower.Follower, now timekeeper.Reading) {
		*answer = follower.HandleMessage(now, message)
	})
	return nil
}

// Snapshot returns a chunk of the snapshot of the configuration in force.
func (service *Service) Snapshot(request SnapshotRequest, part *SnapshotPart) error {
	syncer := service.syncer
	found, err := syncer.snapshotCache.part(request, syncer.Revision(), syncer.state)
	*part = found
	return err
}
