package forwarder

import (
	"sync"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/queuer"
	"godwitramp.example/core/retrier"
	"godwitramp.example/core/router"
)

// services holds the state of each service.
type services struct {
	mutex  sync.RWMutex
	byPath map[configurator.Path]*service
}

// service holds the retry budget, the latency estimate and the queue of a service.
type service struct {
	mutex     sync.Mutex
	budget    *retrier.Budget
	estimator retrier.Estimator
	queue     *queuer.Queue
	// targets are the targets whose slots the queue was last configured with.
	targets *configurator.ServiceTargets
}

func (services *services) get(path configurator.Path) *service {
	services.mutex.RLock()
	known := services.byPath[path]
	services.mutex.RUnlock()
	if known != nil {
		return known
	}
	services.mutex.Lock()
	defer services.mutex.Unlock()
	if services.byPath == nil {
		services.byPath = make(map[configurator.Path]*service)
	}
	if services.byPath[path] == nil {
		services.byPath[path] = &service{budget: retrier.NewBudget(), queue: queuer.New(0)}
	}
	return services.byPath[path]
}

// beginRequest adds a request to the retry budget and returns the delay before the
// request is hedged, at most maxDelay.
func (service *service) beginRequest(maxDelay time.Duration) time.Duration {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.budget.Deposit()
	return service.estimator.HedgeDelay(maxDelay)
}

// withdrawRetry withdraws a retry after the result from the budget. It reports false if
// the budget is spent.
func (service *service) withdrawRetry(result result) bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if result.kind == router.Shed && result.delivery.SaidNotRun {
		return service.budget.WithdrawShed()
	}
	return service.budget.Withdraw()
}

func (service *service) refund() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.budget.Refund()
}

func (service *service) recordSuccess(latency time.Duration) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.estimator.Observe(latency)
	service.budget.DepositGood()
}

// enterQueue adds the ticket to the queue, whose slots are those of the given targets.
func (service *service) enterQueue(ticket *queuer.Ticket, targets *configurator.ServiceTargets) queuer.Verdict {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.targets != targets {
		service.targets = targets
		slots := 0
		for _, target := range targets.Targets {
			slots += target.Slots
		}
		service.queue.SetSlots(slots)
	}
	return service.queue.Enter(ticket)
}

func (service *service) leaveQueue(ticket *queuer.Ticket, feedback queuer.Feedback) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	for _, next := range service.queue.Leave(ticket, feedback) {
		next.Start()
	}
}

func (service *service) abandon(ticket *queuer.Ticket) bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.queue.Abandon(ticket)
}

func (service *service) adjustLimit(feedback queuer.Feedback) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.queue.AdjustLimit(feedback)
}
