package forecaster_test

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/forecaster"
)

// history generates daily bytes with a weekly pattern, growth and noise.
func history(random *rand.Rand, days int, growth float64) []float64 {
	var history []float64
	for day := range days {
		bytes := 40e9 * math.Pow(1+growth, float64(day)) * (1 + 0.15*random.NormFloat64())
		if day%7 >= 5 {
			bytes *= 0.4
		}
		history = append(history, max(0, bytes))
	}
	return history
}

// The mean error of the forecast is less than half that of the naive one, and at
// least 8 in 10 bills are in the band, whose nominal coverage is 9 in 10.
func TestForecastBeatsNaiveAndBandHolds(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	const trials, price = 200, 0.02
	period := forecaster.Period{Ahead: 3, Days: 31}
	var forecastError, naiveError float64
	inside := 0
	for range trials {
		days := history(random, 180+34, (random.Float64()-0.5)*0.01)
		known := days[:180]
		actual := 0.0
		for _, bytes := range days[183:] {
			actual += bytes / 1e9 * price
		}
		bill, err := forecaster.Forecast(known, period, price)
		is.NoErr(err)
		forecastError += math.Abs(bill.Amount-actual) / actual / trials
		naiveError += math.Abs(forecaster.Naive(known, period, price)-actual) / actual / trials
		if bill.Low <= actual && actual <= bill.High {
			inside++
		}
	}
	t.Logf("mean relative error: forecast %.3f, naive %.3f; %d of %d bills in the band", forecastError, naiveError, inside, trials)
	is.True(forecastError < naiveError/2)
	is.True(inside >= trials*8/10)
}

func TestShortHistoryIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := forecaster.Forecast(make([]float64, 3), forecaster.Period{Days: 30}, 1)
	var short *forecaster.ShortHistoryError
	is.True(errors.As(err, &short))
	bill, err := forecaster.Forecast(make([]float64, 20), forecaster.Period{Days: 30}, 1)
	is.NoErr(err)
	is.Equal(bill, forecaster.Bill{})
}
