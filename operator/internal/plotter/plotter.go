// Package plotter renders a burn report as a self-contained HTML page with
// inline styles and SVG plots, which loads no other files.
//
// # Usage
//
//	err := plotter.Write(file, plotter.Page{Report: report})
package plotter

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"godwitramp.example/core/burner"
)

// Page is the content of the HTML page.
type Page struct {
	Report burner.Report
	// Hidden is the number of rows that were left out of the report.
	Hidden int
	// Gaps has the names of the stored objects that could not be read.
	Gaps []string
}

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"plot": plot, "burn": formatBurn, "share": formatShare, "window": Window, "who": organisationLabel,
	"total": func(row burner.Row) uint64 { return row.Burns[len(row.Burns)-1].Counts.Total() },
}).Parse(pageSource))

// Write renders the page to out.
func Write(out io.Writer, page Page) error {
	data := struct {
		Page
		Windows []time.Duration
		Alarms  []burner.Alarm
		Until   time.Time
	}{page, burner.Windows, burner.Alarms, page.Report.Until}
	if err := pageTemplate.Execute(out, data); err != nil {
		return fmt.Errorf("render page: %w", err)
	}
	return nil
}

// organisationLabel returns the text for the organisation of a pair, also for
// rows that add up several organisations or answers without one.
func organisationLabel(pair burner.Pair) string {
	switch pair.Organisation {
	case burner.All:
		return "all organisations"
	case burner.Other:
		return "further organisations"
	case "":
		return "open routes"
	default:
		return pair.Organisation
	}
}

func formatBurn(rate float64) string { return fmt.Sprintf("%.2f", rate) }

func formatShare(share float64) string { return fmt.Sprintf("%.4g %%", share*100) }

// Window formats the length of a window in whole hours if it is a multiple of
// an hour, else in minutes.
func Window(window time.Duration) string {
	if window%time.Hour == 0 {
		return fmt.Sprintf("%dh", window/time.Hour)
	}
	return fmt.Sprintf("%dm", window/time.Minute)
}

// Dimensions of a plot in units of the SVG view box, and the hours between
// labels of the time axis.
const (
	plotWidth     = 720.0
	plotHeight    = 120.0
	leftMargin    = 40.0
	bottomMargin  = 18.0
	topMargin     = 6.0
	pointRadius   = 1.5
	hoursPerLabel = 12
)

// plot renders the burn rate of each bucket of a row as SVG. The vertical axis
// is proportional to the square root of the rate, so that rates of 1 and of 100
// are both legible.
func plot(row burner.Row, until time.Time) template.HTML {
	scale := scale{newest: burner.BucketAt(until) - 1, maxRate: maxRate(row)}
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg viewBox="0 0 %g %g" role="img" aria-label="burn over 72 hours">`, plotWidth, plotHeight)
	for _, threshold := range []float64{0, 1, 6, 14.4} {
		y := scale.y(threshold)
		fmt.Fprintf(&svg, `<line class="grid" x1="%g" x2="%g" y1="%.1f" y2="%.1f"/>`, leftMargin, plotWidth, y, y)
		fmt.Fprintf(&svg, `<text x="%g" y="%.1f" text-anchor="end">%g</text>`, leftMargin-4, y+3, threshold)
	}
	for hours := 0; hours <= int(burner.Retention.Hours()); hours += hoursPerLabel {
		bucket := scale.newest - burner.Bucket(time.Duration(hours)*time.Hour/burner.BucketLength)
		fmt.Fprintf(&svg, `<text x="%.1f" y="%g" text-anchor="%s">%s</text>`, scale.x(bucket), plotHeight-4, textAnchor(hours), hourLabel(hours))
	}
	for _, run := range contiguousRuns(row.Points) {
		svg.WriteString(runElement(run, scale))
	}
	svg.WriteString("</svg>")
	return template.HTML(svg.String()) // safe: contains no text from the report
}

func textAnchor(hours int) string {
	if hours == 0 {
		return "end"
	}
	return "middle"
}

func hourLabel(hours int) string {
	if hours == 0 {
		return "now"
	}
	return fmt.Sprintf("-%dh", hours)
}

// scale maps buckets and burn rates to coordinates in the plot. The newest
// bucket is at the right edge and maxRate at the top margin.
type scale struct {
	newest  burner.Bucket
	maxRate float64
}

func (scale scale) x(bucket burner.Bucket) float64 {
	age := float64(scale.newest-bucket) / float64(burner.Retention/burner.BucketLength)
	return plotWidth - age*(plotWidth-leftMargin)
}

func (scale scale) y(rate float64) float64 {
	share := math.Sqrt(rate / scale.maxRate)
	return plotHeight - bottomMargin - share*(plotHeight-bottomMargin-topMargin)
}

// maxRate returns the highest burn rate of a row, but at least the threshold of
// the first alarm, so that the scale never shrinks below it.
func maxRate(row burner.Row) float64 {
	highest := burner.Alarms[0].Threshold
	for _, point := range row.Points {
		highest = max(highest, point.Rate)
	}
	return highest
}

// contiguousRuns splits points at gaps, which are buckets without answers.
func contiguousRuns(points []burner.Point) [][]burner.Point {
	var all [][]burner.Point
	for i, point := range points {
		if i == 0 || points[i-1].Bucket+1 != point.Bucket {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], point)
	}
	return all
}

// runElement returns a polyline, or a circle for a single point, which a
// polyline would not show.
func runElement(run []burner.Point, scale scale) string {
	if len(run) == 1 {
		return fmt.Sprintf(`<circle cx="%.1f" cy="%.1f" r="%g"/>`, scale.x(run[0].Bucket), scale.y(run[0].Rate), pointRadius)
	}
	var points []string
	for _, point := range run {
		points = append(points, fmt.Sprintf("%.1f,%.1f", scale.x(point.Bucket), scale.y(point.Rate)))
	}
	return fmt.Sprintf(`<polyline points="%s"/>`, strings.Join(points, " "))
}
