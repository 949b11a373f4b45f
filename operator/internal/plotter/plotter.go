// Package plotter renders a burn report as one HTML page that needs nothing
// else: styles and plots stand in the page.
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

// Page is what the HTML page shows.
type Page struct {
	Report burner.Report
	// Hidden is the number of rows that are left out of the report.
	Hidden int
	// Gaps names the data that could not be read.
	Gaps []string
}

//go:embed page.html
var source string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"plot": plot, "burn": formatBurn, "share": formatShare, "window": Window, "who": who,
	"total": func(row burner.Row) uint64 { return row.Burns[len(row.Burns)-1].Counts.Total() },
}).Parse(source))

// Write writes the page.
func Write(out io.Writer, shown Page) error {
	data := struct {
		Page
		Windows []time.Duration
		Alarms  []burner.Alarm
		Until   time.Time
	}{shown, burner.Windows, burner.Alarms, shown.Report.Until}
	if err := page.Execute(out, data); err != nil {
		return fmt.Errorf("render page: %w", err)
	}
	return nil
}

func who(pair burner.Pair) string {
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

// Window returns the length of a window in whole hours or minutes.
func Window(window time.Duration) string {
	if window%time.Hour == 0 {
		return fmt.Sprintf("%dh", window/time.Hour)
	}
	return fmt.Sprintf("%dm", window/time.Minute)
}

// Size of a plot in pixels.
const (
	width     = 720.0
	height    = 120.0
	left      = 40.0
	bottom    = 18.0
	top       = 6.0
	radius    = 1.5
	hourMarks = 12
)

// plot returns the burn of each bucket of a row as SVG. The vertical axis shows
// the square root of the burn, so that 1 and 100 can both be read.
func plot(row burner.Row, until time.Time) template.HTML {
	scale := axis{last: burner.BucketAt(until) - 1, highest: highest(row)}
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg viewBox="0 0 %g %g" role="img" aria-label="burn over 72 hours">`, width, height)
	for _, threshold := range []float64{0, 1, 6, 14.4} {
		y := scale.y(threshold)
		fmt.Fprintf(&svg, `<line class="grid" x1="%g" x2="%g" y1="%.1f" y2="%.1f"/>`, left, width, y, y)
		fmt.Fprintf(&svg, `<text x="%g" y="%.1f" text-anchor="end">%g</text>`, left-4, y+3, threshold)
	}
	for hours := 0; hours <= int(burner.Retention.Hours()); hours += hourMarks {
		bucket := scale.last - burner.Bucket(time.Duration(hours)*time.Hour/burner.BucketLength)
		fmt.Fprintf(&svg, `<text x="%.1f" y="%g" text-anchor="%s">%s</text>`, scale.x(bucket), height-4, anchor(hours), mark(hours))
	}
	for _, run := range runs(row.Points) {
		svg.WriteString(line(run, scale))
	}
	svg.WriteString("</svg>")
	return template.HTML(svg.String()) // holds numbers only
}

func anchor(hours int) string {
	if hours == 0 {
		return "end"
	}
	return "middle"
}

func mark(hours int) string {
	if hours == 0 {
		return "now"
	}
	return fmt.Sprintf("-%dh", hours)
}

// axis maps buckets and burns to pixels.
type axis struct {
	last    burner.Bucket
	highest float64
}

func (axis axis) x(bucket burner.Bucket) float64 {
	age := float64(axis.last-bucket) / float64(burner.Retention/burner.BucketLength)
	return width - age*(width-left)
}

func (axis axis) y(rate float64) float64 {
	share := math.Sqrt(rate / axis.highest)
	return height - bottom - share*(height-bottom-top)
}

func highest(row burner.Row) float64 {
	highest := burner.Alarms[0].Threshold
	for _, point := range row.Points {
		highest = max(highest, point.Rate)
	}
	return highest
}

// runs splits points where buckets without answers lie between them.
func runs(points []burner.Point) [][]burner.Point {
	var all [][]burner.Point
	for i, point := range points {
		if i == 0 || points[i-1].Bucket+1 != point.Bucket {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], point)
	}
	return all
}

func line(run []burner.Point, axis axis) string {
	if len(run) == 1 {
		return fmt.Sprintf(`<circle cx="%.1f" cy="%.1f" r="%g"/>`, axis.x(run[0].Bucket), axis.y(run[0].Rate), radius)
	}
	var points []string
	for _, point := range run {
		points = append(points, fmt.Sprintf("%.1f,%.1f", axis.x(point.Bucket), axis.y(point.Rate)))
	}
	return fmt.Sprintf(`<polyline points="%s"/>`, strings.Join(points, " "))
}
