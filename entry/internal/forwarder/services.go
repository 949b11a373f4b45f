package forwarder

import (
	"sync"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/retrier"
)

// services holds what is known of each service.
type services struct {
	mutex  sync.RWMutex
	byPath map[configurator.Path]*service
}

// service is the retry budget and the usual latency of a service.
type service struct {
	mutex     sync.Mutex
	budget    *retrier.Budget
	estimator retrier.Estimator
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
		services.byPath[path] = &service{budget: retrier.NewBudget()}
	}
	return services.byPath[path]
}

// begin counts a request and returns how long its answer may take before it is
// sent over another connection.
func (service *service) begin(longest time.Duration) time.Duration {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.budget.Deposit()
	return service.estimator.Delay(longest)
}

func (service *service) withdraw() bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.budget.Withdraw()
}

func (service *service) observe(latency time.Duration) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.estimator.Observe(latency)
}
