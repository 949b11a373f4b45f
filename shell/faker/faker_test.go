package faker_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/shell/connector"
	"godwitramp.example/shell/faker"
)

func TestTransactionIsAllOrNothing(t *testing.T) {
	is := is.New(t)
	platform := faker.New()
	transaction := connector.Transaction{Conditions: []connector.Condition{{Key: "a"}}, Puts: []connector.Put{{Key: "a", Value: []byte("1")}}}
	outcome, err := platform.Transact(t.Context(), transaction)
	is.NoErr(err)
	is.True(outcome.Committed)
	transaction.Puts = append(transaction.Puts, connector.Put{Key: "b"})
	outcome, err = platform.Transact(t.Context(), transaction)
	is.NoErr(err)
	is.True(!outcome.Committed)
	is.Equal(outcome.Conflicts, []connector.Row{{Key: "a", Version: 1, Value: []byte("1")}})
	row, err := platform.Row(t.Context(), "b")
	is.NoErr(err)
	is.Equal(row.Version, uint64(0))
}

func TestLostAnswerTakesEffect(t *testing.T) {
	is := is.New(t)
	platform := faker.New()
	platform.SetFaults(faker.Faults{LoseAnswers: true})
	_, err := platform.Transact(t.Context(), connector.Transaction{Puts: []connector.Put{{Key: "a"}}})
	var lostAnswer *connector.LostAnswerError
	is.True(errors.As(err, &lostAnswer))
	row, err := platform.Row(t.Context(), "a")
	is.NoErr(err)
	is.Equal(row.Version, uint64(1))
	platform.SetFaults(faker.Faults{Outage: true})
	_, err = platform.Row(t.Context(), "a")
	var unavailable *connector.UnavailableError
	is.True(errors.As(err, &unavailable))
}
