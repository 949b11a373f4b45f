package follower

import (
	"godwitramp.example/core/configurator"
	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/guard"
	"godwitramp.example/core/timekeeper"
)

// Token is a time on the clocks of the VM that issued it. A message that echoes
// a VM's own token was created after that time.
type Token struct {
	Incarnation uint64
	Issued      timekeeper.Reading
}

// Message is the request of an exchange between two VMs.
type Message struct {
	Revision uint64
	Digest   configurator.Digest
	// Changes follow the revision in the receiver's last answer.
	Changes []configurator.Change
	// Echo is the token of the receiver's last answer.
	Echo          Token
	Evidence      guard.Evidence
	Confirmations []confirmer.Confirmation
}

// Answer is the response to a Message.
type Answer struct {
	Revision uint64
	Digest   configurator.Digest
	// Changes follow the revision in the message. There are none if the
	// answering VM no longer holds the change that comes next.
	Changes  []configurator.Change
	Token    Token
	Evidence guard.Evidence
}

// FollowUp says what a VM has to do after an exchange.
type FollowUp struct {
	// PeerBehind is true if the peer lacks changes that this VM holds.
	PeerBehind bool
	// PeerEvidenceStale is true if this VM has newer evidence about the store
	// than the peer.
	PeerEvidenceStale bool
	// LoadSnapshot is true if the peer is ahead but no longer holds the next
	// change, so that this VM has to load a snapshot.
	LoadSnapshot bool
}

const (
	// maxRecentChanges and maxRecentEntries limit the changes that a VM holds
	// for its peers.
	maxRecentChanges = 512
	maxRecentEntries = 50_000
	// maxAnswerEntries limits the entries of the changes in one answer; a
	// single larger change is still sent.
	maxAnswerEntries = 1_000
)

// recent holds the newest changes, in the order of their revisions.
type recent struct {
	changes []configurator.Change
	entries int
}

func entryCount(change configurator.Change) int { return len(change.Puts) + len(change.Deletes) }

func (recent *recent) add(change configurator.Change) {
	recent.changes = append(recent.changes, change)
	recent.entries += entryCount(change)
	for len(recent.changes) > maxRecentChanges || recent.entries > maxRecentEntries && len(recent.changes) > 1 {
		recent.entries -= entryCount(recent.changes[0])
		recent.changes = recent.changes[1:]
	}
}

// after returns changes that follow the revision, or none if the next one is
// no longer held.
func (recent *recent) after(revision uint64) []configurator.Change {
	if len(recent.changes) == 0 || revision+1 < recent.changes[0].Revision {
		return nil
	}
	first := revision + 1 - recent.changes[0].Revision
	if first >= uint64(len(recent.changes)) {
		return nil
	}
	remaining, entries := recent.changes[first:], 0
	for i, change := range remaining {
		entries += entryCount(change)
		if i > 0 && entries > maxAnswerEntries {
			return remaining[:i:i]
		}
	}
	return remaining[:len(remaining):len(remaining)]
}
