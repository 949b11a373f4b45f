package meter_test

import (
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/meter"
)

func TestBytesBeyondMaxFlowsAreStillCounted(t *testing.T) {
	is := is.New(t)
	counted := meter.Meter{MaxFlows: 2}
	flow := func(name string) meter.Flow {
		return meter.Flow{Organisation: configurator.Path("/kundsetu/organisations/" + name), From: "kutch", To: "charotar"}
	}
	counted.Add(flow("a"), 10, 1)
	counted.Add(flow("a"), 5, 1)
	counted.Add(flow("b"), 7, 1)
	counted.Add(flow("c"), 3, 1)
	counted.Add(flow("c"), -3, 1)
	counted.Add(flow("c"), 2, 2)
	sum := int64(0)
	for _, total := range counted.Totals() {
		sum += total.Bytes
	}
	is.Equal(sum, int64(27))
	is.Equal(counted.Totals()[0], meter.Total{Flow: meter.Flow{From: "kutch", To: "charotar"}, Day: 1, Bytes: 3})
	counted.DropBefore(2)
	is.Equal(len(counted.Totals()), 1)
}
