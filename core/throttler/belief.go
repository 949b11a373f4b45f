package throttler

import "time"

const (
	// heardTime is the time since the last message of a VM within which it counts as heard, and
	// unheardTime the time from which it doesn't at all. Under load a VM sends many messages a second.
	heardTime   = 50 * time.Millisecond
	unheardTime = 150 * time.Millisecond
	// missedTime is the time from which messages of a VM must have been lost: heartbeats come every
	// half second, and some are late.
	missedTime = 650 * time.Millisecond
)

// Belief is what a VM has reason to believe about its group, as fractions of the group's VMs from 0 to
// 1. The VM itself always counts. It answers cuts between VMs while an organisation is at its rate: the VMs
// that are cut off from each other would all spend the same tokens until they notice.
type Belief struct {
	// Reachable is the fraction whose messages arrive. What the others hold is lost to this VM.
	Reachable float64
	// Heard is the fraction that was heard a moment ago, so that their debits are known. It is at most
	// Reachable. What the others hold is withheld until they are heard again.
	Heard float64
	// Recent is the fraction that was heard within unheardTime, each of them in whole. It is for what is spent so
	// seldom that a VM's debit is known long before the next one is due.
	Recent float64
	// Lost is the fraction whose messages arrive again, but did not for a while since the bucket was last
	// told of a belief. What these held is lost too.
	Lost float64
}

// Hearing is when a VM of the group was heard. The owner calls Heard with each message.
type Hearing struct {
	// KnownAt is when the VM became known.
	KnownAt time.Duration

	heard    bool
	at       time.Duration
	missed   bool
	missedAt time.Duration
}

// Heard records a message of the VM.
func (hearing *Hearing) Heard(now time.Duration) {
	if hearing.heard && now-hearing.at >= missedTime {
		hearing.missed, hearing.missedAt = true, now
	}
	hearing.heard, hearing.at = true, now
}

// Stale reports whether the tokens of the VM are withheld, so that a message should be asked of it.
func (hearing *Hearing) Stale(now time.Duration) bool {
	age := hearing.age(now)
	return (!hearing.heard || age > heardTime) && age < missedTime
}

// Missed reports whether messages of the VM must have been lost, or it has stopped.
func (hearing *Hearing) Missed(now time.Duration) bool { return hearing.age(now) >= missedTime }

// age returns the time since the last message, or since the VM became known if there was none.
func (hearing *Hearing) age(now time.Duration) time.Duration {
	if hearing.heard {
		return now - hearing.at
	}
	return now - hearing.KnownAt
}

// Beliefs sums up what was heard of the other VMs of a group. Its zero value is a group of one VM.
type Beliefs struct {
	// Since is the time from which lost messages count, see Bucket.Since.
	Since, Now time.Duration

	members, reachable, heard, recent, lost float64
}

// Add adds another VM of the group.
func (beliefs *Beliefs) Add(hearing *Hearing) {
	beliefs.members++
	age := hearing.age(beliefs.Now)
	if age >= missedTime {
		return
	}
	beliefs.reachable++
	if hearing.missed && hearing.missedAt > beliefs.Since {
		beliefs.lost++
	}
	if hearing.heard {
		if age < unheardTime {
			beliefs.recent++
		}
		beliefs.heard += min(1, max(0, float64(unheardTime-age)/float64(unheardTime-heardTime)))
	}
}

// Belief returns the sum.
func (beliefs *Beliefs) Belief() Belief {
	members := beliefs.members + 1
	return Belief{
		Reachable: (beliefs.reachable + 1) / members, Heard: (beliefs.heard + 1) / members, Recent: (beliefs.recent + 1) / members,
		Lost: beliefs.lost / members,
	}
}
