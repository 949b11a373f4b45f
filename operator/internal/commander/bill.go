package commander

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"godwitramp.example/shell/connector"
)

// Forecast is the expected volume of paid traffic between two regions in the
// next month.
type Forecast struct {
	Team string `json:"team"`
	From string `json:"from"`
	To   string `json:"to"`
	// Month is the first day of the forecast month.
	Month time.Time `json:"month"`
	// ThisMonth is the number of bytes in the current month so far.
	ThisMonth float64 `json:"this-month-bytes"`
	// Low, Expected and High are in bytes. Low and High are the bounds of the
	// interval that contains Expected.
	Low      float64 `json:"low-bytes"`
	Expected float64 `json:"expected-bytes"`
	High     float64 `json:"high-bytes"`
	// Price is the price per gigabyte of 10^9 bytes.
	Price float64 `json:"price"`
}

// ErrNotMetered is returned if no metered traffic is available for a forecast.
var ErrNotMetered = errors.New("no metered traffic is recorded; a bill can't be forecast")

// Biller forecasts bills from the traffic that VMs have metered.
type Biller interface {
	// Forecast returns a forecast for each budget with traffic.
	Forecast(ctx context.Context, platform connector.Platform, now time.Time) ([]Forecast, error)
}

// billCommand reports the expected cost of paid traffic.
type billCommand struct {
	commander *Commander
	teamOption
}

// bytesPerGB converts between bytes and the gigabytes that prices are for.
const bytesPerGB = 1e9

// Execute prints the forecasts and the sum of their costs.
func (command *billCommand) Execute([]string) error {
	commander := command.commander
	platform, err := commander.platform()
	if err != nil {
		return err
	}
	if commander.Biller == nil {
		return ErrNotMetered
	}
	all, err := commander.Biller.Forecast(commander.ctx, platform, commander.Now())
	if err != nil {
		return fmt.Errorf("forecast bill: %w", err)
	}
	forecasts := []Forecast{}
	for _, forecast := range all {
		if command.Team == "" || command.Team == forecast.Team {
			forecasts = append(forecasts, forecast)
		}
	}
	if len(forecasts) == 0 {
		return ErrNotMetered
	}
	return commander.print(forecasts, billText(forecasts))
}

// billText returns the forecasts as a table. The last row adds up the low and
// the high costs, which gives the widest interval that the rows allow.
func billText(forecasts []Forecast) string {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TEAM\tFROM\tTO\tMONTH\tGB SO FAR\tGB EXPECTED\tCOST LOW\tCOST EXPECTED\tCOST HIGH")
	var low, expected, high float64
	for _, forecast := range forecasts {
		price := forecast.Price / bytesPerGB
		low += forecast.Low * price
		expected += forecast.Expected * price
		high += forecast.High * price
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\n",
			forecast.Team, forecast.From, forecast.To, forecast.Month.Format("2006-01"), forecast.ThisMonth/bytesPerGB,
			forecast.Expected/bytesPerGB, forecast.Low*price, forecast.Expected*price, forecast.High*price)
	}
	_, _ = fmt.Fprintf(table, "all\t\t\t\t\t\t%.2f\t%.2f\t%.2f\n", low, expected, high)
	_ = table.Flush() // writes to a strings.Builder never fail
	return text.String()
}
