package queuer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/queuer"
)

// In random histories no ticket may be lost or run twice, the counts and the limit
// must hold, and tickets may wait only while others run.
func TestNoTicketIsLostOrRunsTwice(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		queue := queuer.New(1 + random.IntN(12))
		var running, waiting []*queuer.Ticket
		start := func(tickets []*queuer.Ticket) {
			for _, ticket := range tickets {
				i := slices.Index(waiting, ticket)
				is.True(i >= 0)
				waiting = slices.Delete(waiting, i, i+1)
				running = append(running, ticket)
			}
		}
		for range 2000 {
			switch random.IntN(5) {
			case 0, 1:
				ticket := &queuer.Ticket{Organisation: configurator.Path(fmt.Sprint(random.IntN(5)))}
				switch queue.Enter(ticket) {
				case queuer.Run:
					running = append(running, ticket)
				case queuer.Wait:
					waiting = append(waiting, ticket)
				}
			case 2:
				if len(waiting) > 0 {
					i := random.IntN(len(waiting))
					is.True(queue.Abandon(waiting[i]))
					is.True(!queue.Abandon(waiting[i]))
					waiting = slices.Delete(waiting, i, i+1)
				}
			default:
				if len(running) > 0 {
					i := random.IntN(len(running))
					ticket := running[i]
					running = slices.Delete(running, i, i+1)
					start(queue.Leave(ticket, queuer.Feedback(random.IntN(3))))
					is.Equal(len(queue.Leave(ticket, queuer.Good)), 0)
				}
			}
			is.Equal(queue.Running(), len(running))
			is.Equal(queue.Waiting(), len(waiting))
			is.True(queue.Limit() >= 1)
			is.True(len(running) > 0 || len(waiting) == 0)
		}
	}
}

func TestOrganisationWithFewestRunningGoesFirst(t *testing.T) {
	is := is.New(t)
	queue := queuer.New(3)
	var large []*queuer.Ticket
	for range 8 {
		ticket := &queuer.Ticket{Organisation: "/a/organisations/large"}
		queue.Enter(ticket)
		large = append(large, ticket)
	}
	small := &queuer.Ticket{Organisation: "/a/organisations/small"}
	is.Equal(queue.Enter(small), queuer.Wait)
	is.Equal(queue.Leave(large[0], queuer.Good)[0], small)
	for queue.Enter(&queuer.Ticket{Organisation: "/a/organisations/large"}) == queuer.Wait {
		is.True(queue.Waiting() < 100) // the queue of one organisation is bounded
	}
	is.Equal(queue.Enter(&queuer.Ticket{Organisation: "/a/organisations/small"}), queuer.Wait)
}

func BenchmarkEnterLeave(b *testing.B) {
	for _, count := range []int{8, 10_000, 380_000} {
		b.Run(fmt.Sprint(count, " organisations"), func(b *testing.B) {
			queue := queuer.New(48)
			paths := make([]configurator.Path, count)
			for i := range paths {
				paths[i] = configurator.Path(fmt.Sprint("/a/organisations/", i))
			}
			b.ReportAllocs()
			var ticket queuer.Ticket
			for i := 0; b.Loop(); i++ {
				ticket = queuer.Ticket{Organisation: paths[i%count]}
				queue.Enter(&ticket)
				queue.Leave(&ticket, queuer.Good)
			}
		})
	}
}
