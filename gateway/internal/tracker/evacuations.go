package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/platform"
)

// missingTime is how long an evacuation stays in force whose row a restored store lacks: the copy may be older
// than the operator's write, which the operator repeats.
const missingTime = 10 * time.Second

// evacuations holds the evacuations in force, by data centre. The tracker's evacuationMutex guards it.
type evacuations struct {
	log *logrus.Entry
	// regions maps each known data centre to its region.
	regions map[string]string
	// inFlight returns the number of requests in flight at a data centre, for logs.
	inFlight     func(dataCentre string) int
	byDataCentre map[string]evacuation
	// era is that of the last reading.
	era uint64
}

// evacuation is one in force.
type evacuation struct {
	// version is that of its row.
	version uint64
	// until is the time at which it ends since a restored store lacks its row, 0 if that is not so.
	until time.Duration
}

// apply applies a reading of the table, of all rows if full is true, and reports whether the evacuated data centres
// have changed.
func (evacuations *evacuations) apply(reading platform.Reading, full bool, now time.Duration) bool {
	restored := reading.Era > evacuations.era
	evacuations.era = reading.Era
	newest := newestEvacuations(reading.Rows)
	changed := false
	for _, dataCentre := range slices.Sorted(maps.Keys(newest)) {
		if evacuations.applyRow(dataCentre, newest[dataCentre], now-reading.AsOf) {
			changed = true
		}
	}
	if !full {
		return changed
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(evacuations.byDataCentre)) {
		known := evacuations.byDataCentre[dataCentre]
		if _, ok := newest[dataCentre]; ok {
			continue
		}
		switch {
		case restored:
			known.until = now + missingTime
			evacuations.byDataCentre[dataCentre] = known
			evacuations.log.WithFields(logrus.Fields{
				"data-centre": dataCentre, "entry-version": known.version, "kept-for": missingTime, "era": reading.Era,
			}).Warn("evacuation-missing")
		case known.until == 0:
			evacuations.end(dataCentre, reading.Version, now-reading.AsOf, "missing")
			changed = true
		}
	}
	return changed
}

// newestEvacuations returns the newest row of each data centre.
func newestEvacuations(rows []platform.Row) map[string]platform.Row {
	newest := make(map[string]platform.Row)
	for _, row := range rows {
		dataCentre, ok := platform.Evacuation(row)
		if known, seen := newest[dataCentre]; ok && (!seen || row.Version >= known.Version) {
			newest[dataCentre] = row
		}
	}
	return newest
}

func (evacuations *evacuations) applyRow(dataCentre string, row platform.Row, age time.Duration) bool {
	_, evacuated := evacuations.byDataCentre[dataCentre]
	if row.Deleted {
		if evacuated {
			evacuations.end(dataCentre, row.Version, age, "deleted")
		}
		return evacuated
	}
	if _, ok := evacuations.regions[dataCentre]; !ok {
		evacuations.log.WithFields(logrus.Fields{
			"data-centre": dataCentre, "entry-version": row.Version, "known": slices.Sorted(maps.Keys(evacuations.regions)),
		}).Warn("evacuation-unknown")
		return false
	}
	if evacuations.byDataCentre == nil {
		evacuations.byDataCentre = make(map[string]evacuation)
	}
	evacuations.byDataCentre[dataCentre] = evacuation{version: row.Version}
	if !evacuated {
		evacuations.logFor(dataCentre, row.Version, age).Info("evacuation-began")
	}
	return !evacuated
}

// end ends the evacuation for a reason: the row was deleted, or is missing.
func (evacuations *evacuations) end(dataCentre string, version uint64, age time.Duration, reason string) {
	delete(evacuations.byDataCentre, dataCentre)
	evacuations.logFor(dataCentre, version, age).WithField("reason", reason).Info("evacuation-ended")
}

// endMissing ends the evacuations whose rows were missing for long enough after a restore, and reports whether there
// was any.
func (evacuations *evacuations) endMissing(now time.Duration) bool {
	changed := false
	for _, dataCentre := range slices.Sorted(maps.Keys(evacuations.byDataCentre)) {
		if known := evacuations.byDataCentre[dataCentre]; known.until > 0 && now >= known.until {
			evacuations.end(dataCentre, known.version, now-known.until+missingTime, "missing")
			changed = true
		}
	}
	return changed
}

// logFor returns a log with the fields of a change.
func (evacuations *evacuations) logFor(dataCentre string, version uint64, age time.Duration) *logrus.Entry {
	fields := logrus.Fields{"data-centre": dataCentre, "entry-version": version, "age": age.Round(time.Millisecond)}
	if evacuations.inFlight != nil {
		fields["in-flight"] = evacuations.inFlight(dataCentre)
	}
	return evacuations.log.WithFields(fields)
}

// all returns the evacuated data centres in order.
func (evacuations *evacuations) all() []string {
	return slices.Sorted(maps.Keys(evacuations.byDataCentre))
}
