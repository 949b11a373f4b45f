package auditor

// evacuations checks that no request reaches a target of a data centre from Bounds.Evacuation after the store has
// confirmed its evacuation until the row is deleted, or from Bounds.Stretch later if the VM or the store was disturbed.
// The bound holds whatever else is disturbed, but for the link to the target, which may hold a request up.
func (audit *audit) evacuations(promise string) {
	for _, arrival := range audit.deliveries {
		for _, evacuation := range audit.Evacuations {
			if evacuation.DataCentre != audit.DataCentres[arrival.TargetID] || arrival.Begun.Before(evacuation.Acknowledged) ||
				arrival.Begun.After(evacuation.Ended) || audit.disturbed(evacuation.Acknowledged, arrival.Begun, LinkTo(arrival.TargetID)) {
				continue
			}
			bound := audit.Bounds.Evacuation
			if !audit.undisturbed(evacuation.Acknowledged, arrival.Begun, arrival.from.vm, arrival.call.VM, Store) {
				bound += audit.Bounds.Stretch
			}
			audit.report.Checked[promise]++
			if late := arrival.Begun.Sub(evacuation.Acknowledged); late > bound {
				audit.addViolation(promise, arrival.ID, "%s sent it to %s, whose data centre %s had been evacuated for %s",
					arrival.from.vm, arrival.TargetID, evacuation.DataCentre, late)
			}
		}
	}
}
