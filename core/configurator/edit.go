package configurator

import (
	"cmp"
	"slices"
	"strings"
)

// tableEdit is the next table under way. Its cost follows the entries that it
// touches, not the size of the table.
type tableEdit struct {
	organisations *shardEdit[Path, *Organisation]
	keys          *shardEdit[KeyHash, []*Key]
	withdrawals   *shardEdit[KeyHash, []*Withdrawal]
	services      *shardEdit[Path, *Service]
	targets       *shardEdit[Path, []Target]
	joined        *shardEdit[Path, *ServiceTargets]
	routes        *shardEdit[string, []*Route]
	budgets       *shardEdit[RegionPair, []*Budget]
	// touched are the services that have to be joined anew.
	touched  map[Path]bool
	problems []*Problem
}

func (table *Table) edit() *tableEdit {
	return &tableEdit{
		organisations: table.organisations.edit(), keys: table.keys.edit(), services: table.services.edit(),
		targets: table.targets.edit(), joined: table.joined.edit(), routes: table.routes.edit(),
		budgets: table.budgets.edit(), withdrawals: table.withdrawals.edit(), touched: make(map[Path]bool),
	}
}

// put adds an entry whose path is not in the table.
func (edit *tableEdit) put(entry Entry) {
	var items Items
	edit.problems = append(edit.problems, items.Decode(entry)...)
	for i := range items.Organisations {
		edit.organisations.set(entry.Path, &items.Organisations[i])
	}
	for i := range items.Keys {
		insert(edit.keys, items.Keys[i].Hash, &items.Keys[i], keyPath)
	}
	for i := range items.Withdrawals {
		insert(edit.withdrawals, items.Withdrawals[i].Hash, &items.Withdrawals[i], withdrawalPath)
	}
	for i := range items.Services {
		edit.services.set(entry.Path, &items.Services[i])
		edit.touched[entry.Path] = true
	}
	for _, target := range items.Targets {
		insert(edit.targets, target.Service, target, targetPath)
		edit.touched[target.Service] = true
	}
	for i := range items.Routes {
		insert(edit.routes, items.Routes[i].Prefix, &items.Routes[i], routePath)
	}
	for i := range items.Budgets {
		insert(edit.budgets, items.Budgets[i].pair(), &items.Budgets[i], budgetPath)
	}
}

// remove takes out the entry that the state has at the path, if any.
func (edit *tableEdit) remove(state *State, path Path) {
	entry, ok := state.Entry(path)
	if !ok {
		return
	}
	var items Items
	_ = items.Decode(entry) // an entry with problems is not in the table
	for range items.Organisations {
		edit.organisations.delete(path)
	}
	for _, key := range items.Keys {
		takeOut(edit.keys, key.Hash, path, keyPath)
	}
	for _, withdrawal := range items.Withdrawals {
		takeOut(edit.withdrawals, withdrawal.Hash, path, withdrawalPath)
	}
	for range items.Services {
		edit.services.delete(path)
		edit.touched[path] = true
	}
	for _, target := range items.Targets {
		takeOut(edit.targets, target.Service, path, targetPath)
		edit.touched[target.Service] = true
	}
	for _, route := range items.Routes {
		takeOut(edit.routes, route.Prefix, path, routePath)
	}
	for _, budget := range items.Budgets {
		takeOut(edit.budgets, budget.pair(), path, budgetPath)
	}
}

// done joins the touched services and returns the table.
func (edit *tableEdit) done() *Table {
	for path := range edit.touched {
		service, ok := edit.services.get(path)
		if !ok {
			edit.joined.delete(path)
			continue
		}
		targets, _ := edit.targets.get(path)
		edit.joined.set(path, &ServiceTargets{Service: *service, Targets: targets})
	}
	return &Table{
		organisations: edit.organisations.done(), keys: edit.keys.done(), services: edit.services.done(),
		targets: edit.targets.done(), joined: edit.joined.done(), routes: edit.routes.done(), budgets: edit.budgets.done(),
		withdrawals: edit.withdrawals.done(),
	}
}

func keyPath(key *Key) Path                      { return key.Path }
func withdrawalPath(withdrawal *Withdrawal) Path { return withdrawal.Path }
func targetPath(target Target) Path              { return target.Path }
func routePath(route *Route) Path                { return route.Path }
func budgetPath(budget *Budget) Path             { return budget.Path }

func (budget *Budget) pair() RegionPair { return RegionPair{From: budget.From, To: budget.To} }

// insert adds an item to the list of a key, which is sorted by path. Lists
// are shared between tables and therefore copied.
func insert[K comparable, V any](edit *shardEdit[K, []V], key K, item V, pathOf func(V) Path) {
	list, _ := edit.get(key)
	at, _ := slices.BinarySearchFunc(list, pathOf(item), func(other V, path Path) int {
		return cmp.Compare(pathOf(other), path)
	})
	grown := make([]V, 0, len(list)+1)
	grown = append(grown, list[:at]...)
	grown = append(grown, item)
	edit.set(key, append(grown, list[at:]...))
}

// takeOut takes the item with the given path out of the list of a key.
func takeOut[K comparable, V any](edit *shardEdit[K, []V], key K, path Path, pathOf func(V) Path) {
	list, _ := edit.get(key)
	left := slices.DeleteFunc(slices.Clone(list), func(item V) bool { return pathOf(item) == path })
	if len(left) == 0 {
		edit.delete(key)
		return
	}
	edit.set(key, left)
}

// lastPuts returns the entries, and of several with one path the last one.
func lastPuts(entries []Entry) []Entry {
	last := make(map[Path]int, len(entries))
	for i, entry := range entries {
		last[entry.Path] = i
	}
	if len(last) == len(entries) {
		return entries
	}
	var kept []Entry
	for i, entry := range entries {
		if last[entry.Path] == i {
			kept = append(kept, entry)
		}
	}
	return kept
}

func sortProblems(problems []*Problem) {
	slices.SortStableFunc(problems, func(a, b *Problem) int {
		return strings.Compare(string(a.Path), string(b.Path))
	})
}
