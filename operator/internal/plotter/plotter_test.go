package plotter_test

import (
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/burner"
	"godwitramp.example/operator/internal/plotter"
)

func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var ledger burner.Ledger
	for _, age := range []burner.Bucket{0, 1, 2, 40, 100} {
		ledger.Merge(burner.Record{Bucket: burner.BucketAt(now) - age, Lines: []burner.Line{{
			Pair: burner.Pair{Service: "/t/services/<script>"}, Counts: burner.Counts{Good: 90, Bad: 10}}}})
	}
	report := burner.Summarize(&ledger, now, []burner.Objective{{Service: "/t/services/<script>", Share: 0.99}})
	var out strings.Builder
	is.NoErr(plotter.Write(&out, plotter.Page{Report: report, Hidden: 3, Gaps: []string{"burn/d/001/0"}}))
	page := out.String()
	for _, forbidden := range []string{"<script", "http://", "https://", "url(", "src=", "<link"} {
		is.True(!strings.Contains(page, forbidden))
	}
	is.Equal(strings.Count(page, "<polyline"), 2) // one contiguous run of several points in each row
	is.Equal(strings.Count(page, "<circle"), 4)
	is.True(strings.Contains(page, "3 less urgent rows") && strings.Contains(page, "burn/d/001/0"))
	for _, plot := range strings.SplitAfter(page, "</svg>")[:2] {
		decoder := xml.NewDecoder(strings.NewReader(plot[strings.Index(plot, "<svg"):]))
		for err := error(nil); err != io.EOF; _, err = decoder.Token() {
			is.NoErr(err)
		}
	}
}
