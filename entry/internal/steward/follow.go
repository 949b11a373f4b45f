package steward

import (
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/timekeeper"
)

// configure applies a configuration and a list of VMs: it chooses the permits
// that this VM is to claim, and drops state that the configuration no longer
// needs.
func (steward *Steward) configure(table *configurator.Table, vms []string, now timekeeper.Reading) {
	changed := table != steward.table
	steward.table, steward.vms = table, vms
	ring := ejector.NewRing(vms)
	self := steward.Members.Self()
	wanted := make(map[ejector.PermitID]bool)
	for service := range table.Services() {
		group := ejector.Group{Service: service.Path, Region: self.Region}
		holders := ring.Next(string(service.Path), holdersPerGroup)
		for i := range ejector.AllowedEjectionsIn(service, self.Region) {
			if holders[i%len(holders)] == self.Name {
				wanted[ejector.PermitID{Group: group, Index: i}] = true
			}
		}
		if groupSteward := steward.stewards[group]; groupSteward != nil && changed {
			groupSteward.Configure(service, now.Mono)
		}
	}
	steward.updateClaims(wanted, now)
	if !changed {
		return
	}
	steward.view.Prune(table)
	steward.Router.Prune(table)
	for _, leave := range steward.view.LeavesSince(0, now) {
		steward.applyLeave(leave)
	}
}

// handOverDelay is how long a permit that another VM should hold is kept, so
// that VMs that come and go don't move permits back and forth.
const handOverDelay = time.Minute

// updateClaims drops claims on permits that are neither wanted nor held, and
// adds the new ones. A held permit that another VM should hold is kept for
// handOverDelay.
func (steward *Steward) updateClaims(wanted map[ejector.PermitID]bool, now timekeeper.Reading) {
	for id, claimer := range steward.claims {
		if wanted[id] {
			delete(steward.misplacedSince, id)
			continue
		}
		service := steward.table.Service(id.Group.Service)
		configured := service != nil && id.Index < ejector.AllowedEjectionsIn(service, id.Group.Region)
		if !configured || !claimer.Permit.Held(now) {
			steward.abandon(id, now)
			continue
		}
		if _, known := steward.misplacedSince[id]; !known {
			steward.misplacedSince[id] = now
		}
	}
	for id := range wanted {
		if steward.claims[id] != nil {
			continue
		}
		self := steward.Members.Self()
		permit := &ejector.Permit{ID: id, Holder: self.Name, Address: self.Address}
		steward.claims[id] = &ejector.Claimer{Permit: permit, Boot: steward.Boot}
		steward.group(id.Group, now).AddPermit(permit)
	}
}

// handOver abandons each permit that another VM should have held for at least
// handOverDelay, unless the permit ejects a target now.
func (steward *Steward) handOver(now timekeeper.Reading) {
	for id, since := range steward.misplacedSince {
		if now.MinElapsed(since) >= handOverDelay && steward.claims[id].Permit.Target() == "" {
			steward.abandon(id, now)
		}
	}
}

// abandon ends the use of a permit; claimLoop or stop then releases its row.
func (steward *Steward) abandon(id ejector.PermitID, now timekeeper.Reading) {
	permit := steward.claims[id].Permit
	if permit.Held(now) {
		steward.unreleased[rowKey(id)] = permit.Term()
	}
	permit.Relinquish()
	delete(steward.claims, id)
	delete(steward.misplacedSince, id)
	groupSteward := steward.stewards[id.Group]
	groupSteward.RemovePermit(permit)
	if len(groupSteward.Permits()) == 0 {
		delete(steward.stewards, id.Group)
	}
}

// group returns the ejector's steward of a group, and creates it if needed.
func (steward *Steward) group(group ejector.Group, now timekeeper.Reading) *ejector.Steward {
	groupSteward := steward.stewards[group]
	if groupSteward == nil {
		groupSteward = &ejector.Steward{Group: group}
		groupSteward.Configure(steward.table.Service(group.Service), now.Mono)
		steward.stewards[group] = groupSteward
	}
	return groupSteward
}
