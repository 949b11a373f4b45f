package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/placer"
)

// uploadsLoad is the traffic of a service of uploads in a fleet of six data centres with two
// groups each. A target that is ill fails most uploads, but only once they are transferred.
type uploadsLoad struct {
	name              string
	requestsPerSecond float64
	// lateShare is the share of the failures of ill targets that come as late as those of
	// requests on which a target worked.
	lateShare float64
	// Each target is ill for illTime in every illPeriod.
	illTime, illPeriod time.Duration
}

// uploadsResult counts requests and windows of two seconds.
type uploadsResult struct {
	sent, failed   int
	windows, below int
}

const (
	uploadsGroups  = 12
	uploadsTargets = 21
	uploadsRunTime = 30 * time.Second
	uploadsRuns    = 50
	// calmTime is how long a target has been without disruption when it counts as sound.
	calmTime = 6 * time.Second
)

// disruption is a time in which a target is slow, loses answers or has left.
type disruption struct {
	kind        string
	from, until time.Duration
}

// uploadsRun is one run of a load.
type uploadsRun struct {
	uploadsLoad
	random      *rand.Rand
	groups      []*placer.Placer
	illFrom     map[string]time.Duration
	disruptions map[string][]disruption
	leaveAt     map[string]time.Duration
	pending     events
	uses        []use
}

func newUploadsRun(load uploadsLoad, seed uint64) *uploadsRun {
	run := &uploadsRun{
		uploadsLoad: load, random: rand.New(rand.NewPCG(seed, 7)),
		illFrom: map[string]time.Duration{}, disruptions: map[string][]disruption{}, leaveAt: map[string]time.Duration{},
	}
	centres := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	var targets []placer.Target
	for i := range uploadsTargets {
		declared := target(fmt.Sprint("t", i), centres[i%len(centres)])
		declared.Slots = 2
		targets = append(targets, declared)
		run.illFrom[declared.ID] = time.Duration(run.random.Float64() * float64(run.illPeriod))
	}
	run.disrupt(targets)
	for i := range uploadsGroups {
		group := at(centres[i%len(centres)])
		group.FleetShare = 1.0 / uploadsGroups
		group.Group, group.Groups = i/len(centres), uploadsGroups/len(centres)
		group.Replace(targets, -10*time.Second)
		run.groups = append(run.groups, group)
	}
	return run
}

// disrupt makes some targets slow, some lose answers, and some leave.
func (run *uploadsRun) disrupt(targets []placer.Target) {
	for i, position := range run.random.Perm(len(targets)) {
		id := targets[position].ID
		switch {
		case i < 3:
			run.disruptions[id] = append(run.disruptions[id], disruption{kind: "slow", from: 5 * time.Second, until: 14 * time.Second})
		case i < 6:
			run.disruptions[id] = append(run.disruptions[id], disruption{kind: "lost", from: 5 * time.Second, until: 10 * time.Second})
		case i < 8:
			run.leaveAt[id] = 8 * time.Second
		}
	}
}

func (run *uploadsRun) disrupted(id, kind string, at time.Duration) bool {
	for _, disruption := range run.disruptions[id] {
		if disruption.kind == kind && at >= disruption.from && at < disruption.until {
			return true
		}
	}
	return false
}

// work is how long a target works on an upload.
func (run *uploadsRun) work() time.Duration {
	return time.Duration((0.7 + 0.6*run.random.Float64()) * float64(180*time.Millisecond))
}

// end returns how an attempt that starts now ends.
func (run *uploadsRun) end(picked placer.Target, now time.Duration) (time.Duration, placer.Outcome) {
	transfer := time.Duration((0.3 + 1.2*run.random.Float64()) * float64(70*time.Millisecond))
	ill := (now-run.illFrom[picked.ID]+run.illPeriod)%run.illPeriod < run.illTime
	switch {
	case ill && run.random.Float64() < 0.9:
		if run.random.Float64() < run.lateShare {
			return now + transfer, placer.FailedLate
		}
		return now + transfer, placer.Failed
	case run.disrupted(picked.ID, "lost", now) && run.random.Float64() < 0.3:
		return now + 2*time.Second, placer.Slow
	case run.disrupted(picked.ID, "slow", now):
		return now + transfer + 6*run.work(), placer.Good
	case run.random.Float64() < 0.012:
		return now + transfer + run.work(), placer.FailedLate
	default:
		return now + transfer + run.work(), placer.Good
	}
}

func (run *uploadsRun) play() {
	for now := time.Duration(0); now < uploadsRunTime; {
		now += time.Duration(run.random.ExpFloat64() / run.requestsPerSecond * float64(time.Second))
		run.deliver(now)
		for id, at := range run.leaveAt {
			if at > now {
				continue
			}
			delete(run.leaveAt, id)
			run.disruptions[id] = append(run.disruptions[id], disruption{kind: "left", from: at, until: uploadsRunTime + calmTime})
			for _, group := range run.groups {
				group.MarkLeaving(id, 0)
			}
		}
		index := run.random.IntN(len(run.groups))
		picked, ok := run.groups[index].Pick(placer.PickInfo{Service: "s", Now: now}, run.random)
		if !ok {
			continue
		}
		endsAt, outcome := run.end(picked, now)
		heap.Push(&run.pending, event{at: endsAt, group: index, own: true, target: picked, outcome: outcome})
		run.uses = append(run.uses, use{at: now, target: picked.ID, failed: outcome != placer.Good})
	}
}

// deliver ends attempts, and passes on what the fleet is told.
func (run *uploadsRun) deliver(now time.Duration) {
	for len(run.pending) > 0 && run.pending[0].at <= now {
		ended := heap.Pop(&run.pending).(event)
		group := run.groups[ended.group]
		if !ended.own {
			group.PeerOutcome(ended.target.ID, ended.outcome, ended.at)
			if ended.lost {
				group.RecordFleetFailure("s", ended.load, ended.at)
			}
			continue
		}
		before := group.Suspicion(ended.target.ID, ended.at)
		group.Done(ended.target, ended.outcome, ended.at)
		if ended.outcome == placer.Good {
			group.RecordSuccess("s", ended.at)
			continue
		}
		group.RecordFailure("s", ended.at)
		report := group.Report(placer.Failure{Service: "s", Outcome: ended.outcome, Suspicion: before, Lost: true}, ended.at)
		told := event{at: ended.at + floorRelay, target: ended.target, outcome: placer.Unknown, load: report.Load}
		if report.Target {
			told.outcome = ended.outcome
		}
		for other := range run.groups {
			if other != ended.group && (report.Target || report.Request) {
				told.group, told.lost = other, report.Request
				heap.Push(&run.pending, told)
			}
		}
	}
}

// calm reports whether the target is sound all through the window, apart from failures.
func (run *uploadsRun) calm(id string, from time.Duration) bool {
	for _, disruption := range run.disruptions[id] {
		if disruption.from < from+floorWindow && disruption.until+calmTime > from {
			return false
		}
	}
	return true
}

func (run *uploadsRun) count(result *uploadsResult) {
	for _, use := range run.uses {
		result.sent++
		if use.failed {
			result.failed++
		}
	}
	for from := time.Duration(0); from+floorWindow <= uploadsRunTime; from += 100 * time.Millisecond {
		sent, failed := 0, 0
		used, unsound := map[string]bool{}, map[string]bool{}
		for _, use := range run.uses {
			if use.failed && use.at >= from-floorWindow && use.at < from+floorWindow {
				unsound[use.target] = true
			}
			if use.at < from || use.at >= from+floorWindow {
				continue
			}
			sent++
			used[use.target] = true
			if use.failed {
				failed++
			}
		}
		if share := float64(failed) / float64(max(1, sent)); share <= 0.1 || share >= 0.5 {
			continue
		}
		result.windows++
		sound, soundUsed := 0, 0
		for i := range uploadsTargets {
			id := fmt.Sprint("t", i)
			if unsound[id] || !run.calm(id, from) {
				continue
			}
			sound++
			if used[id] {
				soundUsed++
			}
		}
		if float64(soundUsed) < floorShare*float64(sound) {
			result.below++
		}
	}
}

func (load uploadsLoad) simulate() uploadsResult {
	var result uploadsResult
	for seed := range uint64(uploadsRuns) {
		run := newUploadsRun(load, seed)
		run.play()
		run.count(&result)
	}
	return result
}

// Ill targets fail uploads only once they are transferred, which looks like a failure of the
// request itself. Sound targets must be used however the failures look.
func TestSoundTargetsAreUsedWhileUploadsFailLate(t *testing.T) {
	const short, long = 2700 * time.Millisecond, 10 * time.Second
	for _, test := range []struct {
		load      uploadsLoad
		maxFailed float64
	}{
		{uploadsLoad{"many, late", 57, 0.87, short, 9 * time.Second}, 0.212},
		{uploadsLoad{"many, most at once", 57, 0.2, short, 9 * time.Second}, 0.093},
		{uploadsLoad{"few, late", 27, 0.87, short, 9 * time.Second}, 0.246},
		{uploadsLoad{"few, most at once", 27, 0.2, short, 9 * time.Second}, 0.136},
		{uploadsLoad{"many, late, ill for long", 57, 0.87, long, 30 * time.Second}, 0.095},
		{uploadsLoad{"few, late, ill for long", 27, 0.87, long, 30 * time.Second}, 0.125},
	} {
		t.Run(test.load.name, func(t *testing.T) { test.load.check(t, test.maxFailed) })
	}
}

// With 17 uploads a second for 21 targets, the groups of a data centre don't know enough of
// each other's trials.
func TestSoundTargetsAreUsedWhileFewUploadsFail(t *testing.T) {
	uploadsLoad{"", 17, 0.87, 2700 * time.Millisecond, 9 * time.Second}.check(t, 0.267)
}

// Targets that are ill for long are tried again and again, at the expense of callers.
func TestSoundTargetsAreUsedWhileUploadsFailForLong(t *testing.T) {
	uploadsLoad{"", 27, 0.2, 10 * time.Second, 30 * time.Second}.check(t, 0.079)
}

func (load uploadsLoad) check(t *testing.T, maxFailed float64) {
	t.Helper()
	is := is.New(t)
	result := load.simulate()
	failed := float64(result.failed) / float64(result.sent)
	below := float64(result.below) / float64(max(1, result.windows))
	t.Logf("failed %.4f; of %d windows with losses %d below the floor (%.3f)", failed, result.windows, result.below, below)
	is.True(result.windows > 1000)
	is.True(below <= 0.02)
	is.True(failed <= maxFailed)
}
