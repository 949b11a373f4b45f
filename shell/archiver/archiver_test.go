package archiver_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/burner"
	"godwitramp.example/shell/archiver"
	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/faker"
)

var now = time.Unix(1_800_000_000, 0)

func record(source burner.Source, good uint64) burner.Record {
	return burner.Record{Source: source, Bucket: burner.BucketAt(now), Lines: []burner.Line{
		{Pair: burner.Pair{Service: "s", Organisation: "o"}, Counts: burner.Counts{Good: good}}}}
}

func total(t *testing.T, platform connector.Platform, at time.Time) uint64 {
	t.Helper()
	ledger, gaps, err := archiver.Load(t.Context(), platform, at)
	is.New(t).NoErr(err)
	is.New(t).Equal(len(gaps), 0)
	var total uint64
	for _, record := range ledger.Records(0, burner.BucketAt(at)) {
		total += record.Total()
	}
	return total
}

// Two VMs store records of the same source, which must be merged and not added
// up.
func TestCountersFromTwoUploadersCountOnce(t *testing.T) {
	is := is.New(t)
	platform := faker.New()
	hour := archiver.HourOf(burner.BucketAt(now))
	counted := burner.Source{VM: "vm-03", Incarnation: 1}
	for i, vm := range []string{"vm-01", "vm-02", "vm-01"} {
		uploader := &archiver.Archiver{Platform: platform, DataCentre: "d", Owner: burner.Source{VM: vm, Incarnation: 1}}
		is.NoErr(uploader.Save(t.Context(), hour, []burner.Record{record(counted, uint64(10+i))}))
		is.NoErr(uploader.Save(t.Context(), hour, []burner.Record{record(burner.Source{VM: vm}, 100)}))
	}
	is.Equal(total(t, platform, now), uint64(212))
	is.Equal(total(t, platform, now.Add(burner.Retention+time.Hour)), uint64(0))
}

func TestSaveMayBeRepeatedAfterLostAnswers(t *testing.T) {
	is := is.New(t)
	platform := faker.New()
	uploader := &archiver.Archiver{Platform: platform, DataCentre: "d", Owner: burner.Source{VM: "vm-01"}}
	hour := archiver.HourOf(burner.BucketAt(now))
	records := []burner.Record{record(burner.Source{VM: "vm-01"}, 5)}
	platform.SetFaults(faker.Faults{LoseAnswers: true})
	for range 2 { // first the row, then the object
		var lostAnswer *connector.LostAnswerError
		is.True(errors.As(uploader.Save(t.Context(), hour, records), &lostAnswer))
	}
	platform.SetFaults(faker.Faults{})
	is.NoErr(uploader.Save(t.Context(), hour, records))
	is.Equal(total(t, platform, now), uint64(5))
}

func TestSlotsAreReused(t *testing.T) {
	is := is.New(t)
	platform := faker.New()
	uploader := &archiver.Archiver{Platform: platform, DataCentre: "d", Owner: burner.Source{VM: "vm-01"}}
	hour := archiver.HourOf(burner.BucketAt(now))
	for age := range archiver.Hour(200) {
		old := record(burner.Source{VM: "vm-01"}, 1)
		old.Bucket = (hour - 199 + age).LastBucket()
		is.NoErr(uploader.Save(t.Context(), hour-199+age, []burner.Record{old}))
	}
	rows, err := platform.Scan(t.Context(), "", 1000)
	is.NoErr(err)
	is.Equal(len(rows), 74)
	is.Equal(total(t, platform, (hour+1).LastBucket().Start()), uint64(72))
	var tooOld *archiver.TooOldError
	is.True(errors.As(uploader.Save(t.Context(), hour-199, nil), &tooOld))
}

func BenchmarkSave(b *testing.B) {
	for _, lines := range []int{1_000, 4_000, 16_000} {
		b.Run(fmt.Sprintf("lines=%d", lines), func(b *testing.B) {
			platform := faker.New()
			uploader := &archiver.Archiver{Platform: platform, DataCentre: "d", Owner: burner.Source{VM: "vm-01"}}
			records := make([]burner.Record, lines/250)
			for i := range records {
				records[i] = record(burner.Source{VM: fmt.Sprintf("vm-%04d", i%64)}, 1)
				records[i].Bucket -= burner.Bucket(i / 64)
				records[i].Lines = nil
				for line := range 250 {
					records[i].Lines = append(records[i].Lines, burner.Line{
						Pair:   burner.Pair{Service: fmt.Sprintf("/team/services/s%03d", line), Organisation: fmt.Sprintf("/team/organisations/o%05d", line*i)},
						Counts: burner.Counts{Good: uint64(line * i), Bad: uint64(i)}})
				}
			}
			hour := archiver.HourOf(burner.BucketAt(now))
			for b.Loop() {
				if err := uploader.Save(b.Context(), hour, records); err != nil {
					b.Fatal(err)
				}
			}
			rows, _ := platform.Scan(b.Context(), "", 1)
			data, _ := platform.Object(b.Context(), rows[0].Key+"/0")
			b.ReportMetric(float64(len(data))/float64(lines), "bytes/line")
		})
	}
}
