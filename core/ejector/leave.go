package ejector

import (
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

// renewLeave is how much longer than the known one a leave must last to count
// as news.
const renewLeave = 5 * time.Second

// Leave says that a target takes no new requests for some time, in the
// target's own words. VMs pass it on.
type Leave struct {
	Target configurator.Path
	Region string
	Left   time.Duration
}

type heardLeave struct {
	region   string
	lease    timekeeper.Lease
	revision uint64
}

// TakeLeave learns a leave that was asked for at the given reading. It reports
// whether it is news.
func (view *View) TakeLeave(leave Leave, asked, now timekeeper.Reading) bool {
	lease := timekeeper.Lease{Start: asked, Duration: leave.Left}
	if lease.Remaining(now) <= view.leaves[leave.Target].lease.Remaining(now)+renewLeave {
		return false
	}
	if view.leaves == nil {
		view.leaves = make(map[configurator.Path]heardLeave)
	}
	view.revision++
	view.leaves[leave.Target] = heardLeave{region: leave.Region, lease: lease, revision: view.revision}
	return true
}

// LeavesSince returns the leaves that the VM has learned after the given
// revision, with what is left of them.
func (view *View) LeavesSince(revision uint64, now timekeeper.Reading) []Leave {
	var leaves []Leave
	for target, heard := range view.leaves {
		if heard.revision > revision && !heard.lease.Lapsed(now) {
			leaves = append(leaves, Leave{Target: target, Region: heard.region, Left: heard.lease.Remaining(now)})
		}
	}
	return leaves
}

// Leaving returns the targets of a group that leave by their own words, sorted
// by path. Those that the configuration calls leaving are not among them.
func (view *View) Leaving(service *configurator.ServiceTargets, region string, now timekeeper.Reading) []configurator.Path {
	var leaving []configurator.Path
	for path, heard := range view.leaves {
		if heard.region == region && path.Parent() == service.Path && !heard.lease.Lapsed(now) && !leavesByConfiguration(service, path) {
			leaving = append(leaving, path)
		}
	}
	slices.SortFunc(leaving, func(a, b configurator.Path) int { return strings.Compare(string(a), string(b)) })
	return leaving
}

func leavesByConfiguration(service *configurator.ServiceTargets, path configurator.Path) bool {
	return slices.ContainsFunc(service.Targets, func(target configurator.Target) bool {
		return target.Path == path && target.Leaving
	})
}

// Expire drops leaves that have ended.
func (view *View) Expire(now timekeeper.Reading) {
	for target, heard := range view.leaves {
		if heard.lease.Lapsed(now) {
			delete(view.leaves, target)
		}
	}
}
