package starter

import "godwitramp.example/gateway/internal/messenger"

// Share returns the state of the VM's group.
func (starter *Starter) Share() messenger.Share { return starter.messages.share() }
