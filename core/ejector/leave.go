package ejector

import (
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

// minLeaveExtension is the minimum by which a leave must extend the known one to
// count as new.
const minLeaveExtension = 5 * time.Second

// Leave says that a target has announced that it accepts no new requests for some
// time. VMs forward it.
type Leave struct {
	Target configurator.Path
	Region string
	Left   time.Duration
}

type receivedLeave struct {
	region   string
	lease    timekeeper.Lease
	revision uint64
}

// ApplyLeave records a leave that was requested at the given reading. It reports
// whether the leave is new.
func (view *View) ApplyLeave(leave Leave, sent, now timekeeper.Reading) bool {
	lease := timekeeper.Lease{Start: sent, Duration: leave.Left}
	if lease.Remaining(now) <= view.leaves[leave.Target].lease.Remaining(now)+minLeaveExtension {
		return false
	}
	if view.leaves == nil {
		view.leaves = make(map[configurator.Path]receivedLeave)
	}
	view.revision++
	view.leaves[leave.Target] = receivedLeave{region: leave.Region, lease: lease, revision: view.revision}
	return true
}

// LeavesSince returns the leaves recorded after the given revision, with the
// remaining time of each.
func (view *View) LeavesSince(revision uint64, now timekeeper.Reading) []Leave {
	var leaves []Leave
	for target, received := range view.leaves {
		if received.revision > revision && !received.lease.Lapsed(now) {
			leaves = append(leaves, Leave{Target: target, Region: received.region, Left: received.lease.Remaining(now)})
		}
	}
	return leaves
}

// Leaving returns the targets of a group that have announced that they leave, sorted
// by path, without those that are leaving by configuration.
func (view *View) Leaving(service *configurator.ServiceTargets, region string, now timekeeper.Reading) []configurator.Path {
	var leaving []configurator.Path
	for path, received := range view.leaves {
		if received.region == region && path.Parent() == service.Path && !received.lease.Lapsed(now) && !leavingByConfiguration(service, path) {
			leaving = append(leaving, path)
		}
	}
	slices.SortFunc(leaving, func(a, b configurator.Path) int { return strings.Compare(string(a), string(b)) })
	return leaving
}

func leavingByConfiguration(service *configurator.ServiceTargets, path configurator.Path) bool {
	return slices.ContainsFunc(service.Targets, func(target configurator.Target) bool {
		return target.Path == path && target.Leaving
	})
}

// ExpireLeaves removes leaves that have ended.
func (view *View) ExpireLeaves(now timekeeper.Reading) {
	for target, received := range view.leaves {
		if received.lease.Lapsed(now) {
			delete(view.leaves, target)
		}
	}
}
