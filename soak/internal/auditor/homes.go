package auditor

import "slices"

// homeRegions checks that no request arrives at a target, nor its body at another VM than the one that the caller called,
// outside the home regions of every version that its VM may have used. A VM that was disturbed, or for which the store was,
// may use an older one until it must refuse keys.
func (audit *audit) homeRegions(promise string) {
	for id, call := range audit.calls {
		for _, arrival := range audit.arrivals[id] {
			if arrival.Status != 421 {
				sent, known := audit.senderOf(arrival)
				until := *call
				if arrival.Begun.After(until.Ended) { // the caller has left: a version since then counts, too
					until.Ended = arrival.Begun
				}
				audit.checkHome(promise, &until, arrival.TargetID, known != nil, sent.vm)
			}
		}
		for _, vm := range audit.PassedOn[id] {
			if vm != call.VM {
				audit.checkHome(promise, call, vm, true)
			}
		}
	}
}

// checkHome checks one receiver of a request, a target or a VM, which got it from one of the VMs or that of the call. If
// senderKnown is false it may have got it from any VM.
func (audit *audit) checkHome(promise string, call *Call, receiver string, senderKnown bool, vms ...string) {
	bound, acknowledged := audit.Bounds.Withdrawal, first
	if senderKnown && audit.undisturbed(call.Sent, call.Ended, append(vms, call.VM, Store)...) {
		bound, acknowledged = audit.Bounds.Propagation, audit.standing
	}
	known, permitted, restricted := false, false, false
	for _, version := range audit.possibleVersions(call, bound, acknowledged) {
		route, routed := version.route(call.Request)
		organisation, owned := version.organisation(call.Key)
		if !routed || !owned {
			continue
		}
		known = true
		permitted = permitted || permits(route.HomeRegions, audit.Regions[receiver]) && permits(organisation.HomeRegions, audit.Regions[receiver])
		restricted = restricted || len(route.HomeRegions)+len(organisation.HomeRegions) > 0
	}
	if restricted {
		audit.report.Checked[promise]++
	}
	if known && !permitted {
		audit.addViolation(promise, call.ID, "%s in %q received it, outside the home regions of every possible version%s",
			receiver, audit.Regions[receiver], audit.history(call))
	}
}

// permits reports whether one list of home regions permits a region.
func permits(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}
