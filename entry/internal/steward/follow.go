package steward

import (
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/timekeeper"
)

// follow takes over a configuration: it drops what the configuration has no
// use for, and finds the permits that this VM is to claim.
func (steward *Steward) follow(table *configurator.Table, vms []string, now timekeeper.Reading) {
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
		if held := steward.stewards[group]; held != nil && changed {
			held.Configure(service, now.Mono)
		}
	}
	steward.want(wanted, now)
	if !changed {
		return
	}
	steward.view.Prune(table)
	steward.Router.Prune(table)
	for _, leave := range steward.view.LeavesSince(0, now) {
		steward.obeyLeave(leave)
	}
}

// handOverAfter is how long a permit that another VM should hold is kept, so
// that VMs that come and go don't move permits to and fro.
const handOverAfter = time.Minute

// want drops claims on permits that are neither wanted nor held, and begins
// the new ones. A permit that another VM should hold is kept for some time.
func (steward *Steward) want(wanted map[ejector.PermitID]bool, now timekeeper.Reading) {
	for id, claimer := range steward.claims {
		if wanted[id] {
			delete(steward.extra, id)
			continue
		}
		service := steward.table.Service(id.Group.Service)
		useful := service != nil && id.Index < ejector.AllowedEjectionsIn(service, id.Group.Region)
		if !useful || !claimer.Permit.Held(now) {
			steward.abandon(id, now)
			continue
		}
		if _, known := steward.extra[id]; !known {
			steward.extra[id] = now
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

// handOver gives back the permits that other VMs should hold, once they eject
// nothing.
func (steward *Steward) handOver(now timekeeper.Reading) {
	for id, since := range steward.extra {
		if now.MinElapsed(since) >= handOverAfter && steward.claims[id].Permit.Target() == "" {
			steward.abandon(id, now)
		}
	}
}

// abandon ends the use of a permit; its row is given back soon.
func (steward *Steward) abandon(id ejector.PermitID, now timekeeper.Reading) {
	permit := steward.claims[id].Permit
	if permit.Held(now) {
		steward.unused[rowKey(id)] = permit.Term()
	}
	permit.Relinquish()
	delete(steward.claims, id)
	delete(steward.extra, id)
	held := steward.stewards[id.Group]
	held.RemovePermit(permit)
	if len(held.Permits()) == 0 {
		delete(steward.stewards, id.Group)
	}
}

// group returns the decisions for a group, and begins them if needed.
func (steward *Steward) group(group ejector.Group, now timekeeper.Reading) *ejector.Steward {
	held := steward.stewards[group]
	if held == nil {
		held = &ejector.Steward{Group: group}
		held.Configure(steward.table.Service(group.Service), now.Mono)
		steward.stewards[group] = held
	}
	return held
}
