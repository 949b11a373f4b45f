// Package forecaster forecasts next month's bill for traffic between regions
// from the daily totals of the meter.
//
// The forecast of a day is the mean of the last four weeks, extrapolated with
// the damped trend of the last eight weeks, times a seasonal factor of its
// weekday. The prediction interval comes from backtests: the same forecast is
// made from earlier days of the history, every third one, for as many days
// ahead, and the interval covers nine in ten of the ratios of actual to forecast
// bytes.
//
// # Usage
//
//	bill, err := forecaster.Forecast(history, forecaster.Period{Ahead: 3, Days: 31}, pricePerGB)
package forecaster

import (
	"fmt"
	"math"
	"slices"
)

const (
	week = 7
	// MinHistory is the shortest history, in days, that allows a forecast.
	MinHistory   = 2 * week
	levelDays    = 4 * week
	trendDays    = 8 * week
	trendDamping = 0.5
	bandCoverage = 0.9
	minBacktests = 5
	// defaultRelativeError is half the width of the interval, relative to the
	// amount, if there are fewer than minBacktests backtests.
	defaultRelativeError = 0.5
	bytesPerGB           = 1e9
	backtestStep         = 3
	maxDailyTrend        = 0.02
)

// ShortHistoryError reports a history of fewer days than a forecast needs.
type ShortHistoryError struct {
	Days int
}

// Error states the number of days and the minimum.
func (err *ShortHistoryError) Error() string {
	return fmt.Sprintf("the meter has %d days, a forecast needs %d", err.Days, MinHistory)
}

// Period is the range of days that a bill covers.
type Period struct {
	// Ahead is the number of days between the last day of the history and the
	// first of the period.
	Ahead int
	Days  int
}

// Bill is a forecast with its prediction interval, in the currency of the price.
type Bill struct {
	Amount float64
	// Low and High are the bounds of the interval, which always contains Amount.
	Low, High float64
	// Backtests is the number of backtests behind the interval; 0 if the history
	// is too short for it and the interval is the default one.
	Backtests int
}

// Forecast returns the forecast bill of a period. History has the bytes of each
// day, oldest first and without gaps; price is per gigabyte (1e9 bytes). The
// error is a *ShortHistoryError if the history has fewer than MinHistory days.
func Forecast(history []float64, period Period, price float64) (Bill, error) {
	if len(history) < MinHistory {
		return Bill{}, &ShortHistoryError{Days: len(history)}
	}
	amount := forecastBytes(history, period) / bytesPerGB * price
	ratios := backtest(history, period)
	bill := Bill{Amount: amount, Backtests: len(ratios)}
	if len(ratios) < minBacktests {
		bill.Backtests = 0
		bill.Low, bill.High = amount*(1-defaultRelativeError), amount*(1+defaultRelativeError)
		return bill, nil
	}
	slices.Sort(ratios)
	tail := (1 - bandCoverage) / 2
	bill.Low = min(amount, amount*quantile(ratios, tail))
	bill.High = max(amount, amount*quantile(ratios, 1-tail))
	return bill, nil
}

// Naive returns the bill if every day had the mean bytes of the history, as the
// baseline to compare forecasts with.
func Naive(history []float64, period Period, price float64) float64 {
	return mean(history) * float64(period.Days) / bytesPerGB * price
}

// backtest makes the forecast from earlier days and returns the ratio of actual
// to forecast bytes of each.
func backtest(history []float64, period Period) []float64 {
	var ratios []float64
	for end := MinHistory; end+period.Ahead+period.Days <= len(history); end += backtestStep {
		forecast := forecastBytes(history[:end], period)
		start := end + period.Ahead
		actual := mean(history[start:start+period.Days]) * float64(period.Days)
		if forecast > 0 {
			ratios = append(ratios, actual/forecast)
		}
	}
	return ratios
}

// forecastBytes returns the forecast bytes of a period.
func forecastBytes(history []float64, period Period) float64 {
	level, trend := fit(history)
	factors := weekdayFactors(history)
	sum := 0.0
	for day := range period.Days {
		ahead := period.Ahead + day
		weekday := (len(history) + ahead) % week
		sum += level * math.Pow(1+trend, float64(ahead)) * factors[weekday]
	}
	return sum
}

// fit returns the level at the end of the history in bytes a day, and the damped
// relative growth per day.
func fit(history []float64) (level, trend float64) {
	recent := lastDays(history, levelDays)
	level = mean(recent)
	window := lastDays(history, trendDays)
	half := len(window) / 2 / week * week
	if half == 0 {
		return level, 0
	}
	before := mean(window[len(window)-2*half : len(window)-half])
	after := mean(window[len(window)-half:])
	if before <= 0 || after <= 0 {
		return level, 0
	}
	growth := math.Pow(after/before, 1/float64(half)) - 1
	growth = max(-maxDailyTrend, min(maxDailyTrend, growth))
	// The mean of the recent days is the level at their middle; move it to their
	// end.
	level *= math.Pow(1+growth*trendDamping, float64(len(recent))/2)
	return level, growth * trendDamping
}

// weekdayFactors returns the mean of each weekday relative to the overall mean.
// Weekdays are counted from the first day of the history.
func weekdayFactors(history []float64) [week]float64 {
	var sums, counts [week]float64
	overallMean := mean(history)
	for day, bytes := range history {
		sums[day%week] += bytes
		counts[day%week]++
	}
	var factors [week]float64
	for i := range factors {
		factors[i] = 1
		if overallMean > 0 && counts[i] > 0 {
			factors[i] = sums[i] / counts[i] / overallMean
		}
	}
	return factors
}

func lastDays(values []float64, n int) []float64 { return values[max(0, len(values)-n):] }

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

// quantile returns the value at a share of the sorted values, by the nearest
// rank.
func quantile(sorted []float64, share float64) float64 {
	return sorted[int(math.Round(share*float64(len(sorted)-1)))]
}
