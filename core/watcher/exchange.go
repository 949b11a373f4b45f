package watcher

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxRecordsPerMessage limits the gossiped records in one message.
	maxRecordsPerMessage = 16
	// retransmitFactor times about the binary logarithm of the fleet's size is
	// the number of messages that carry a record.
	retransmitFactor = 3
	// maxQueuedRumors limits the rumor queue. Comparing buckets repairs what is
	// dropped from the queue.
	maxQueuedRumors = 64
	// maxSyncRecords limits the records from differing buckets in one message.
	maxSyncRecords = 256
)

// Exchange is one message of the protocol, either a call or an answer.
type Exchange struct {
	// From is the sender's own record.
	From Record
	// Records are rumors about any VMs, which the receiver gossips further if
	// they are new to it.
	Records []Record
	// Synced are records that repair a difference between two tables. The
	// receiver does not gossip them further.
	Synced []Record
	// Digest covers the usable records of the sender's table.
	Digest Digest
	// Buckets are the digests of the sender's buckets of records. A caller sends
	// them once the called VM's table turned out to differ; the answer to such a
	// call has them too.
	Buckets []Digest
}

// rumor is a record that the next messages carry.
type rumor struct {
	record        Record
	transmitsLeft int
}

// rumorQueue holds the records to gossip, at most one per VM.
type rumorQueue struct {
	rumors []rumor
}

// add queues a record and removes the older one of the same VM. Fleet is the
// number of known VMs.
func (rumorQueue *rumorQueue) add(record Record, fleet int) {
	rumorQueue.rumors = slices.DeleteFunc(rumorQueue.rumors, func(old rumor) bool {
		return old.record.Peer.Name == record.Peer.Name
	})
	rumorQueue.rumors = append(rumorQueue.rumors, rumor{record: record, transmitsLeft: retransmitFactor * (1 + bits.Len(uint(fleet)))})
	if len(rumorQueue.rumors) > maxQueuedRumors {
		rumorQueue.dropMostSent()
	}
}

func (rumorQueue *rumorQueue) dropMostSent() {
	most := 0
	for i, rumor := range rumorQueue.rumors {
		if rumor.transmitsLeft < rumorQueue.rumors[most].transmitsLeft {
			most = i
		}
	}
	rumorQueue.rumors = slices.Delete(rumorQueue.rumors, most, most+1)
}

// take returns the records for the next message, those with the most
// transmissions left first.
func (rumorQueue *rumorQueue) take() []Record {
	slices.SortStableFunc(rumorQueue.rumors, func(a, b rumor) int { return b.transmitsLeft - a.transmitsLeft })
	var records []Record
	for i := range min(maxRecordsPerMessage, len(rumorQueue.rumors)) {
		records = append(records, rumorQueue.rumors[i].record)
		rumorQueue.rumors[i].transmitsLeft--
	}
	rumorQueue.rumors = slices.DeleteFunc(rumorQueue.rumors, func(sent rumor) bool { return sent.transmitsLeft <= 0 })
	return records
}

// Message returns the next call to the peer. It consumes transmissions of the
// queued rumors, so it must be called once per call.
func (watcher *Watcher) Message(peer Peer) Exchange {
	message := Exchange{From: watcher.self, Records: watcher.queue.take(), Digest: watcher.digest}
	message.Synced = watcher.pendingSync[peer.Name]
	delete(watcher.pendingSync, peer.Name)
	if known := watcher.members[peer.Name]; known != nil && known.record.Status != Alive {
		message.Synced = append(message.Synced, known.record) // lets the peer refute it in its answer
	}
	if watcher.diverged[peer.Name] {
		message.Buckets = slices.Clone(watcher.buckets[:])
	}
	return message
}

// HandleCall merges the records of a call and returns the answer.
func (watcher *Watcher) HandleCall(message Exchange, now time.Duration) Exchange {
	watcher.mergeMessage(message, now)
	if known := watcher.members[message.From.Peer.Name]; known != nil {
		known.lastCall = now
	}
	answer := Exchange{From: watcher.self, Records: watcher.queue.take(), Digest: watcher.digest}
	if len(message.Buckets) == bucketCount {
		answer.Synced = watcher.differingRecords(message.Buckets)
		answer.Buckets = slices.Clone(watcher.buckets[:])
	}
	if known, ok := watcher.Record(message.From.Peer.Name); ok && known.compare(message.From) > 0 {
		answer.Records = append(answer.Records, known) // lets the sender refute it
	}
	return answer
}

// HandleAnswer merges the records of an answer and resets the peer's count of
// failed calls.
func (watcher *Watcher) HandleAnswer(peer Peer, answer Exchange, now time.Duration) {
	watcher.mergeMessage(answer, now)
	if known := watcher.members[peer.Name]; known != nil && known.failures > 0 {
		known.failures = 0
		watcher.stale = true
	}
	// Rumors that are still spreading make tables differ for a short time. Compare
	// buckets only if the tables differ while no rumors are queued here.
	delete(watcher.diverged, peer.Name)
	if answer.Digest != watcher.digest && len(watcher.queue.rumors) == 0 {
		watcher.diverged[peer.Name] = true
	}
	if len(answer.Buckets) == bucketCount {
		watcher.pendingSync[peer.Name] = watcher.differingRecords(answer.Buckets)
	}
}

func (watcher *Watcher) mergeMessage(message Exchange, now time.Duration) {
	watcher.merge(message.From, now, true)
	for _, record := range message.Records {
		watcher.merge(record, now, true)
	}
	for _, record := range message.Synced {
		watcher.merge(record, now, false)
	}
}

// differingRecords returns up to maxSyncRecords records from the buckets whose
// digests differ from the given ones.
func (watcher *Watcher) differingRecords(buckets []Digest) []Record {
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
