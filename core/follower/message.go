package follower

import (
	"godwitramp.example/core/configurator"
	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/guard"
	"godwitramp.example/core/timekeeper"
)

// Token is an instant on the clocks of the VM that issued it. A VM that gets
// its own token back knows that what came with it is not older than that.
type Token struct {
	Incarnation uint64
	Issued      timekeeper.Reading
}

// Message is what a VM sends to another one.
type Message struct {
	Revision uint64
	Digest   configurator.Digest
	// Changes lead on from the revision that the receiver last answered with.
	Changes []configurator.Change
	// Echo is the token of the receiver's last answer.
	Echo          Token
	Evidence      guard.Evidence
	Confirmations []confirmer.Confirmation
}

// Answer is what the receiver of a message sends back.
type Answer struct {
	Revision uint64
	Digest   configurator.Digest
	// Changes lead on from the revision in the message. They are missing when
	// the answering VM no longer holds the one that comes next.
	Changes  []configurator.Change
	Token    Token
	Evidence guard.Evidence
}

// News says what a VM has to do after an exchange.
type News struct {
	// PeerBehind is true when the peer lacks changes that this VM holds.
	PeerBehind bool
	// PeerStale is true when this VM knows more of the store than the peer.
	PeerStale bool
	// Load is true when only a snapshot leads on.
	Load bool
}

const (
	// maxRecent and maxRecentEntries bound the changes that a VM holds for
	// others.
	maxRecent        = 512
	maxRecentEntries = 50_000
	// maxAnswerEntries bounds the changes of one answer, unless the first one
	// alone is larger.
	maxAnswerEntries = 1_000
)

// recent holds the newest changes in order.
type recent struct {
	changes []configurator.Change
	entries int
}

func size(change configurator.Change) int { return len(change.Puts) + len(change.Deletes) }

func (recent *recent) add(change configurator.Change) {
	recent.changes = append(recent.changes, change)
	recent.entries += size(change)
	for len(recent.changes) > maxRecent || recent.entries > maxRecentEntries && len(recent.changes) > 1 {
		recent.entries -= size(recent.changes[0])
		recent.changes = recent.changes[1:]
	}
}

// after returns changes that lead on from the revision, or none if the next
// one is no longer held.
func (recent *recent) after(revision uint64) []configurator.Change {
	if len(recent.changes) == 0 || revision+1 < recent.changes[0].Revision {
		return nil
	}
	first := revision + 1 - recent.changes[0].Revision
	if first >= uint64(len(recent.changes)) {
		return nil
	}
	left, entries := recent.changes[first:], 0
	for i, change := range left {
		entries += size(change)
		if i > 0 && entries > maxAnswerEntries {
			return left[:i:i]
		}
	}
	return left[:len(left):len(left)]
}
