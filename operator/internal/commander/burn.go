package commander

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"godwitramp.example/core/burner"
	"godwitramp.example/core/configurator"
	"godwitramp.example/operator/internal/plotter"
	"godwitramp.example/shell/archiver"
)

// burnCommand reports how fast services burn their error budgets.
type burnCommand struct {
	commander *Commander
	Service   string `long:"service" description:"path of a service; all unless given"`
	Limit     int    `long:"limit" default:"100" description:"how many rows to show, the most urgent first"`
	HTML      string `long:"html" description:"write the report with plots to this file" value-name:"FILE"`
}

// percent converts a share to a percentage.
const percent = 100

// burnReport is the output of report burn.
type burnReport struct {
	Until  time.Time `json:"until"`
	Rows   []burnRow `json:"rows"`
	Hidden int       `json:"hidden"`
	Gaps   []string  `json:"gaps"`
}

// burnRow is the output for a service and an organisation.
type burnRow struct {
	Level        burner.Level `json:"level"`
	Service      string       `json:"service"`
	Organisation string       `json:"organisation"`
	Objective    float64      `json:"objective"`
	Burns        []burnWindow `json:"burns"`
}

// burnWindow is the burn rate over one window and the counts behind it.
type burnWindow struct {
	Window string  `json:"window"`
	Burn   float64 `json:"burn"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
}

// Execute computes burn rates from the stored counters and prints the most
// urgent rows. Stored objects that can't be read are reported as gaps.
func (command *burnCommand) Execute([]string) error {
	commander := command.commander
	if err := checkLimit(command.Limit); err != nil {
		return err
	}
	platform, err := commander.platform()
	if err != nil {
		return err
	}
	objectives, err := commander.objectives(command.Service)
	if err != nil {
		return err
	}
	ledger, gaps, err := archiver.Load(commander.ctx, platform, commander.Now())
	if err != nil {
		return fmt.Errorf("read counters: %w", err)
	}
	page := plotter.Page{Report: burner.Summarize(ledger, commander.Now(), objectives)}
	page.Hidden = max(0, len(page.Report.Rows)-command.Limit)
	page.Report.Rows = page.Report.Rows[:len(page.Report.Rows)-page.Hidden]
	for _, gap := range gaps {
		_, _ = fmt.Fprintf(commander.Err, "could not read %s: %v\n", gap.Object, gap.Cause)
		page.Gaps = append(page.Gaps, gap.Object)
	}
	if command.HTML != "" {
		if err := writePage(command.HTML, page); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(commander.Err, "report with plots written to %s\n", command.HTML)
	}
	report := newBurnReport(page)
	return commander.print(report, report.text())
}

// objectives returns the objective of the service with the path filter, or those
// of all recorded services if the filter is empty.
func (commander *Commander) objectives(filter string) ([]burner.Objective, error) {
	recorder, err := commander.recorder()
	if err != nil {
		return nil, err
	}
	state, _, err := recorder.Load(commander.ctx)
	if err != nil {
		return nil, fmt.Errorf("read recorded configuration: %w", err)
	}
	table, _ := configurator.Compile(state.All())
	var objectives []burner.Objective
	for service := range table.Services() {
		if filter == "" || filter == string(service.Path) {
			objectives = append(objectives, burner.Objective{Service: string(service.Path), Share: service.Objective})
		}
	}
	if len(objectives) == 0 && filter != "" {
		return nil, &usageError{Message: fmt.Sprintf("--service %q is not recorded; see operator show", filter)}
	}
	return objectives, nil
}

func writePage(name string, page plotter.Page) error {
	var buffer bytes.Buffer
	if err := plotter.Write(&buffer, page); err != nil {
		return err
	}
	const fileMode = 0o644
	if err := os.WriteFile(name, buffer.Bytes(), fileMode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func newBurnReport(page plotter.Page) burnReport {
	report := burnReport{Until: page.Report.Until, Rows: []burnRow{}, Hidden: page.Hidden, Gaps: append([]string{}, page.Gaps...)}
	for _, row := range page.Report.Rows {
		reportRow := burnRow{Level: row.Level, Service: row.Pair.Service, Organisation: row.Pair.Organisation, Objective: row.Objective}
		for _, burn := range row.Burns {
			reportRow.Burns = append(reportRow.Burns, burnWindow{
				Window: plotter.Window(burn.Window), Burn: burn.Rate, Good: burn.Counts.Good, Bad: burn.Counts.Bad,
			})
		}
		report.Rows = append(report.Rows, reportRow)
	}
	return report
}

func (report burnReport) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "burn up to %s; 1 spends the budget of 30 days in 30 days\n", report.Until.Format(time.RFC3339))
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	report.writeTable(table)
	_ = table.Flush() // writes to a strings.Builder never fail
	if report.Hidden > 0 {
		fmt.Fprintf(&text, "%d less urgent rows are left out, see --limit\n", report.Hidden)
	}
	if len(report.Gaps) > 0 {
		fmt.Fprintf(&text, "incomplete: %d stored parts could not be read\n", len(report.Gaps))
	}
	return text.String()
}

func (report burnReport) writeTable(out io.Writer) {
	if len(report.Rows) == 0 {
		_, _ = fmt.Fprintln(out, "no answers are counted in the last 72 hours")
		return
	}
	headings := []string{"LEVEL", "SERVICE", "ORGANISATION", "OBJECTIVE"}
	for _, window := range burner.Windows {
		headings = append(headings, plotter.Window(window))
	}
	_, _ = fmt.Fprintln(out, strings.Join(slices.Concat(headings, []string{"ANSWERS"}), "\t"))
	for _, row := range report.Rows {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%.6g%%", row.Level, row.Service, row.Organisation, row.Objective*percent)
		for _, burn := range row.Burns {
			_, _ = fmt.Fprintf(out, "\t%.2f", burn.Burn)
		}
		last := row.Burns[len(row.Burns)-1]
		_, _ = fmt.Fprintf(out, "\t%d\n", last.Good+last.Bad)
	}
}
