package runner

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/platform"
	"godwitramp.example/platform/faker"
	"godwitramp.example/soak/internal/auditor"
)

// services are assigned to endpoints in rotation.
var services = []string{"lists", "jobs", "notes"}

const (
	host           = "soak.example"
	rateLimitedKey = "key-of-the-small-one"
	// routeTimeout is the timeout of routes.
	routeTimeout = 2 * time.Second
	// longTimeout is that of the route "long".
	longTimeout = 5 * time.Second
	// smallRate and smallBurst are the limits of the organisation whose callers exceed
	// their rate.
	smallRate  = 20
	smallBurst = 10
	// warmupRate is what a target tolerates for warmupTime while it is cold, in requests a second.
	warmupRate = 4
	warmupTime = 3 * time.Second
	// versionStep leaves gaps between version numbers.
	versionStep = 3
)

// configuration is the configuration of the fleet and all its versions so far.
type configuration struct {
	runner *Runner

	mutex       sync.Mutex
	history     []auditor.Version
	restores    []auditor.Restore
	current     indexer.Configuration
	newestKey   int
	newestAdded int
}

// open writes the first version.
func (configuration *configuration) open(runner *Runner) {
	configuration.runner = runner
	limits := indexer.Limits{HeaderBytes: 16384, BodyBytes: 65536, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	configuration.current = indexer.Configuration{
		Routes: []indexer.Route{
			route("lists", true, "lists"), route("jobs", false, "jobs"), route("moves", true, "lists"), route("long", true, "notes"),
			route(addedRouteName(0), true, "notes"),
		},
		Organisations: []indexer.Organisation{
			{Name: "large", Keys: []string{"key-0"}},
			{Name: "small", Keys: []string{rateLimitedKey}, Rate: smallRate, Burst: smallBurst},
		},
		Limits: limits,
	}
	configuration.current.Routes[3].Timeout = longTimeout
	for _, name := range services {
		service := indexer.Service{Name: name, HealthPath: faker.HealthPath, ConnectionLimit: 360}
		if runner.Plan.HasWarmups() {
			service.WarmupRate, service.WarmupTime = warmupRate, warmupTime
		}
		configuration.current.Services = append(configuration.current.Services, service)
	}
	configuration.change(func(*indexer.Configuration) {})
}

func route(name string, idempotent bool, service string) indexer.Route {
	return indexer.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: routeTimeout, LatencyObjective: time.Second,
		Attempts: 2, Priority: 1, Shares: []indexer.Share{{Service: service, Weight: 1}},
	}
}

// change writes a new version, edited from the current one.
func (configuration *configuration) change(edit func(*indexer.Configuration)) {
	configuration.runner.store.write(func() { configuration.put(edit) })
}

// put is change while the store is there.
func (configuration *configuration) put(edit func(*indexer.Configuration)) {
	configuration.mutex.Lock()
	defer configuration.mutex.Unlock()
	next := configuration.current
	next.Routes, next.Organisations = slices.Clone(next.Routes), slices.Clone(next.Organisations)
	next.Version += versionStep
	edit(&next)
	configuration.current = next
	sent := time.Now()
	configuration.runner.store.Put(platform.ConfigurationTable, "", platform.ConfigurationKey, faker.EncodeConfiguration(next))
	configuration.history = append(configuration.history, auditor.Version{Configuration: next, Sent: sent, Acknowledged: time.Now()})
}

// withdrawKey replaces the key of the large organisation, which withdraws the old one.
func (configuration *configuration) withdrawKey() {
	configuration.change(func(next *indexer.Configuration) {
		configuration.newestKey++
		next.Organisations[0].Keys = []string{fmt.Sprint("key-", configuration.newestKey)}
	})
}

// moveRoute switches the route "moves" to the other one of two services.
func (configuration *configuration) moveRoute() {
	configuration.change(func(next *indexer.Configuration) {
		for i := range next.Routes {
			if next.Routes[i].Name != "moves" {
				continue
			}
			service := "lists"
			if next.Routes[i].Shares[0].Service == service {
				service = "notes"
			}
			next.Routes[i].Shares = []indexer.Share{{Service: service, Weight: 1}}
		}
	})
}

// replaceAddedRoute adds a route and removes the one that was added before.
func (configuration *configuration) replaceAddedRoute() {
	configuration.change(func(next *indexer.Configuration) {
		last := addedRouteName(configuration.newestAdded)
		next.Routes = slices.DeleteFunc(next.Routes, func(route indexer.Route) bool { return route.Name == last })
		configuration.newestAdded++
		next.Routes = append(next.Routes, route(addedRouteName(configuration.newestAdded), true, "notes"))
	})
}

// homeRegions are the choices of home regions of a route or an organisation. Two of them have none in common.
var homeRegions = [][]string{nil, {"saurashtra"}, {"kutch"}, {"saurashtra", "kutch"}}

// changeHomes changes the home regions of one of the first three routes and of the large organisation.
func (configuration *configuration) changeHomes(choice int) {
	configuration.change(func(next *indexer.Configuration) {
		next.Routes[choice%3].HomeRegions = homeRegions[choice/3%4]
		next.Organisations[0].HomeRegions = homeRegions[choice/12]
	})
}

func addedRouteName(index int) string { return fmt.Sprint("added-", index) }

// newest returns the numbers of the newest key and of the newest added route.
func (configuration *configuration) newest() (key, added int) {
	configuration.mutex.Lock()
	defer configuration.mutex.Unlock()
	return configuration.newestKey, configuration.newestAdded
}

// addRestore records a restore of the store and returns its index for rewrite.
func (configuration *configuration) addRestore(restore auditor.Restore) int {
	configuration.mutex.Lock()
	defer configuration.mutex.Unlock()
	configuration.restores = append(configuration.restores, restore)
	return len(configuration.restores) - 1
}

// rewrite writes the newest version again after a restore.
func (configuration *configuration) rewrite(restore int) {
	configuration.runner.store.write(func() {
		configuration.mutex.Lock()
		defer configuration.mutex.Unlock()
		value := faker.EncodeConfiguration(configuration.current)
		configuration.runner.store.Put(platform.ConfigurationTable, "", platform.ConfigurationKey, value)
		configuration.restores[restore].Rewritten = time.Now()
	})
}

// written returns all versions and restores.
func (configuration *configuration) written() ([]auditor.Version, []auditor.Restore) {
	configuration.mutex.Lock()
	defer configuration.mutex.Unlock()
	return slices.Clone(configuration.history), slices.Clone(configuration.restores)
}
