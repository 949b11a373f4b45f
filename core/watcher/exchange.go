package watcher

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxRumors bounds the records of one message.
	maxRumors = 16
	// rumorFactor times the logarithm of the fleet's size is how often a VM
	// passes a record on.
	rumorFactor = 3
	// maxQueue bounds the records to be passed on. What falls out of the queue
	// is found by comparing groups.
	maxQueue = 64
	// maxSyncRecords bounds the records of groups that differ in one message.
	maxSyncRecords = 256
)

// Exchange is one message of the protocol, both as a call and as an answer.
type Exchange struct {
	// From is the record of the VM that sends the message.
	From Record
	// Records are news about other VMs, to be passed on.
	Records []Record
	// Synced are records of groups that differ, not to be passed on.
	Synced []Record
	// Digest is over the sender's whole table.
	Digest Digest
	// Buckets are the digests of the groups of records, sent after a neighbour
	// was found to have a different table.
	Buckets []Digest
}

// rumor is a record to be passed on some more times.
type rumor struct {
	record Record
	left   int
}

// rumors are the records to be passed on, one for each VM.
type rumors struct {
	queue []rumor
}

// add puts a record in the queue in place of an older one of the same VM.
func (rumors *rumors) add(record Record, fleet int) {
	rumors.queue = slices.DeleteFunc(rumors.queue, func(old rumor) bool {
		return old.record.Peer.Name == record.Peer.Name
	})
	rumors.queue = append(rumors.queue, rumor{record: record, left: rumorFactor * (1 + bits.Len(uint(fleet)))})
	if len(rumors.queue) > maxQueue {
		rumors.dropMostSent()
	}
}

func (rumors *rumors) dropMostSent() {
	most := 0
	for i, rumor := range rumors.queue {
		if rumor.left < rumors.queue[most].left {
			most = i
		}
	}
	rumors.queue = slices.Delete(rumors.queue, most, most+1)
}

// take returns the records of the next message, least often sent first.
func (rumors *rumors) take() []Record {
	slices.SortStableFunc(rumors.queue, func(a, b rumor) int { return b.left - a.left })
	var records []Record
	for i := range min(maxRumors, len(rumors.queue)) {
		records = append(records, rumors.queue[i].record)
		rumors.queue[i].left--
	}
	rumors.queue = slices.DeleteFunc(rumors.queue, func(sent rumor) bool { return sent.left <= 0 })
	return records
}

// Message returns the next message to the peer.
func (watcher *Watcher) Message(peer Peer) Exchange {
	message := Exchange{From: watcher.self, Records: watcher.rumors.take(), Digest: watcher.digest}
	message.Synced = watcher.owed[peer.Name]
	delete(watcher.owed, peer.Name)
	if known := watcher.members[peer.Name]; known != nil && known.record.Status != Alive {
		message.Synced = append(message.Synced, known.record) // the peer contradicts it in its answer
	}
	if watcher.differs[peer.Name] {
		message.Buckets = slices.Clone(watcher.buckets[:])
	}
	return message
}

// Receive takes in a call and returns the answer.
func (watcher *Watcher) Receive(message Exchange, now time.Duration) Exchange {
	watcher.takeIn(message, now)
	if known := watcher.members[message.From.Peer.Name]; known != nil {
		known.heard = now
	}
	answer := Exchange{From: watcher.self, Records: watcher.rumors.take(), Digest: watcher.digest}
	if len(message.Buckets) == bucketCount {
		answer.Synced = watcher.differing(message.Buckets)
		answer.Buckets = slices.Clone(watcher.buckets[:])
	}
	if known, ok := watcher.Record(message.From.Peer.Name); ok && known.compare(message.From) > 0 {
		answer.Records = append(answer.Records, known) // the sender contradicts it
	}
	return answer
}

// Answered takes in the answer to a call.
func (watcher *Watcher) Answered(peer Peer, answer Exchange, now time.Duration) {
	watcher.takeIn(answer, now)
	if known := watcher.members[peer.Name]; known != nil && known.failures > 0 {
		known.failures = 0
		watcher.stale = true
	}
	// Records on their way make tables differ for a moment; only a difference
	// that they don't explain is worth comparing groups.
	delete(watcher.differs, peer.Name)
	if answer.Digest != watcher.digest && len(watcher.rumors.queue) == 0 {
		watcher.differs[peer.Name] = true
	}
	if len(answer.Buckets) == bucketCount {
		watcher.owed[peer.Name] = watcher.differing(answer.Buckets)
	}
}

func (watcher *Watcher) takeIn(message Exchange, now time.Duration) {
	watcher.learn(message.From, now, true)
	for _, record := range message.Records {
		watcher.learn(record, now, true)
	}
	for _, record := range message.Synced {
		watcher.learn(record, now, false)
	}
}

// differing returns records of the groups whose digests differ.
func (watcher *Watcher) differing(buckets []Digest) []Record {
	var records []Record
	add := func(record Record) {
		bucket := bucketOf(record.Peer.Name)
		if watcher.buckets[bucket] != buckets[bucket] && len(records) < maxSyncRecords {
			records = append(records, record)
		}
	}
	add(watcher.self)
	for _, name := range slices.Sorted(maps.Keys(watcher.members)) {
		add(watcher.members[name].record)
	}
	return records
}
