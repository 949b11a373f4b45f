// Package forecaster forecasts next month's bill for traffic between regions
// from the meter's history.
//
// The forecast of a day is the level of the last four weeks times the factor
// of its weekday, with the trend of the last eight weeks damped. The error
// band comes from the history itself: the same forecast is made from each
// earlier day for as many days ahead, and the band holds nine in ten of its
// relative errors.
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
	// MinHistory is the shortest history in days that gives a forecast.
	MinHistory   = 2 * week
	levelDays    = 4 * week
	trendDays    = 8 * week
	trendDamping = 0.5
	bandShare    = 0.9
	minErrors    = 5
	// unknownError is the relative error while the history is too short to
	// tell.
	unknownError  = 0.5
	bytesPerGB    = 1e9
	backtestStep  = 3
	maxDailyTrend = 0.02
)

// ShortHistoryError says that there are too few days for a forecast.
type ShortHistoryError struct {
	Days int
}

// Error gives both numbers of days.
func (err *ShortHistoryError) Error() string {
	return fmt.Sprintf("the meter has %d days, a forecast needs %d", err.Days, MinHistory)
}

// Period is the time that a bill is for.
type Period struct {
	// Ahead is the number of days between the last day of the history and the
	// first of the period.
	Ahead int
	Days  int
}

// Bill is a forecast with its error band.
type Bill struct {
	Amount float64
	// Low and High bound the band.
	Low, High float64
	// Backtests is the number of earlier forecasts that the band comes from; 0
	// if the history is too short and the band a default.
	Backtests int
}

// Forecast returns the bill of a period. History is the bytes of each day, the
// oldest first, without gaps; price is per gigabyte.
func Forecast(history []float64, period Period, price float64) (Bill, error) {
	if len(history) < MinHistory {
		return Bill{}, &ShortHistoryError{Days: len(history)}
	}
	amount := total(history, period) / bytesPerGB * price
	errors := backtest(history, period)
	bill := Bill{Amount: amount, Backtests: len(errors)}
	if len(errors) < minErrors {
		bill.Backtests = 0
		bill.Low, bill.High = amount*(1-unknownError), amount*(1+unknownError)
		return bill, nil
	}
	slices.Sort(errors)
	tail := (1 - bandShare) / 2
	bill.Low = min(amount, amount*quantile(errors, tail))
	bill.High = max(amount, amount*quantile(errors, 1-tail))
	return bill, nil
}

// Naive is the bill if each day were as the mean of the history.
func Naive(history []float64, period Period, price float64) float64 {
	return mean(history) * float64(period.Days) / bytesPerGB * price
}

// backtest makes the forecast from earlier days and returns what came out for
// each, in relation to the forecast.
func backtest(history []float64, period Period) []float64 {
	var ratios []float64
	for end := MinHistory; end+period.Ahead+period.Days <= len(history); end += backtestStep {
		forecast := total(history[:end], period)
		start := end + period.Ahead
		actual := mean(history[start:start+period.Days]) * float64(period.Days)
		if forecast > 0 {
			ratios = append(ratios, actual/forecast)
		}
	}
	return ratios
}

// total forecasts the bytes of a period.
func total(history []float64, period Period) float64 {
	level, trend := fit(history)
	factors := weekdays(history)
	sum := 0.0
	for day := range period.Days {
		ahead := period.Ahead + day
		weekday := (len(history) + ahead) % week
		sum += level * math.Pow(1+trend, float64(ahead)) * factors[weekday]
	}
	return sum
}

// fit returns the level of the last weeks and the growth in a day.
func fit(history []float64) (level, trend float64) {
	recent := last(history, levelDays)
	level = mean(recent)
	window := last(history, trendDays)
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
	// The mean of the recent days is as old as their middle.
	level *= math.Pow(1+growth*trendDamping, float64(len(recent))/2)
	return level, growth * trendDamping
}

// weekdays returns the factor of each weekday, counted from the first day of
// the history.
func weekdays(history []float64) [week]float64 {
	var sums, counts [week]float64
	whole := mean(history)
	for day, bytes := range history {
		sums[day%week] += bytes
		counts[day%week]++
	}
	var factors [week]float64
	for i := range factors {
		factors[i] = 1
		if whole > 0 && counts[i] > 0 {
			factors[i] = sums[i] / counts[i] / whole
		}
	}
	return factors
}

func last(values []float64, n int) []float64 { return values[max(0, len(values)-n):] }

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, share float64) float64 {
	return sorted[int(math.Round(share*float64(len(sorted)-1)))]
}
