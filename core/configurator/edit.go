package configurator

import (
	"cmp"
	"slices"
	"strings"
)

// tableEdit builds the next table from an existing one. Its cost grows with the
// entries that it changes, not with the size of the table.
type tableEdit struct {
	organisations  *mapEdit[Path, *Organisation]
	keys           *mapEdit[KeyHash, []*Key]
	withdrawals    *mapEdit[KeyHash, []*Withdrawal]
	services       *mapEdit[Path, *Service]
	targets        *mapEdit[Path, []Target]
	joinedServices *mapEdit[Path, *ServiceTargets]
	routes         *mapEdit[string, []*Route]
	budgets        *mapEdit[RegionPair, []*Budget]
	// changedServices are the services to be joined with their targets again.
	changedServices map[Path]bool
	problems        []*Problem
}

func (table *Table) edit() *tableEdit {
	return &tableEdit{
		organisations: table.organisations.edit(), keys: table.keys.edit(), services: table.services.edit(),
		targets: table.targets.edit(), joinedServices: table.joinedServices.edit(), routes: table.routes.edit(),
		budgets: table.budgets.edit(), withdrawals: table.withdrawals.edit(), changedServices: make(map[Path]bool),
	}
}

// put adds an entry. Its path must not be in the table.
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
		edit.changedServices[entry.Path] = true
	}
	for _, target := range items.Targets {
		insert(edit.targets, target.Service, target, targetPath)
		edit.changedServices[target.Service] = true
	}
	for i := range items.Routes {
		insert(edit.routes, items.Routes[i].Prefix, &items.Routes[i], routePath)
	}
	for i := range items.Budgets {
		insert(edit.budgets, items.Budgets[i].regionPair(), &items.Budgets[i], budgetPath)
	}
}

// remove removes the entry that the state holds at the path, if any.
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
		removeItem(edit.keys, key.Hash, path, keyPath)
	}
	for _, withdrawal := range items.Withdrawals {
		removeItem(edit.withdrawals, withdrawal.Hash, path, withdrawalPath)
	}
	for range items.Services {
		edit.services.delete(path)
		edit.changedServices[path] = true
	}
	for _, target := range items.Targets {
		removeItem(edit.targets, target.Service, path, targetPath)
		edit.changedServices[target.Service] = true
	}
	for _, route := range items.Routes {
		removeItem(edit.routes, route.Prefix, path, routePath)
	}
	for _, budget := range items.Budgets {
		removeItem(edit.budgets, budget.regionPair(), path, budgetPath)
	}
}

// done joins the changed services with their targets and returns the table.
func (edit *tableEdit) done() *Table {
	for path := range edit.changedServices {
		service, ok := edit.services.get(path)
		if !ok {
			edit.joinedServices.delete(path)
			continue
		}
		targets, _ := edit.targets.get(path)
		edit.joinedServices.set(path, &ServiceTargets{Service: *service, Targets: targets})
	}
	return &Table{
		organisations: edit.organisations.done(), keys: edit.keys.done(), services: edit.services.done(),
		targets: edit.targets.done(), joinedServices: edit.joinedServices.done(), routes: edit.routes.done(), budgets: edit.budgets.done(),
		withdrawals: edit.withdrawals.done(),
	}
}

func keyPath(key *Key) Path                      { return key.Path }
func withdrawalPath(withdrawal *Withdrawal) Path { return withdrawal.Path }
func targetPath(target Target) Path              { return target.Path }
func routePath(route *Route) Path                { return route.Path }
func budgetPath(budget *Budget) Path             { return budget.Path }

func (budget *Budget) regionPair() RegionPair { return RegionPair{From: budget.From, To: budget.To} }

// insert adds an item to the list under a key, which is sorted by path. It copies
// the list, as older tables share it.
func insert[K comparable, V any](edit *mapEdit[K, []V], key K, item V, pathOf func(V) Path) {
	list, _ := edit.get(key)
	at, _ := slices.BinarySearchFunc(list, pathOf(item), func(other V, path Path) int {
		return cmp.Compare(pathOf(other), path)
	})
	grown := make([]V, 0, len(list)+1)
	grown = append(grown, list[:at]...)
	grown = append(grown, item)
	edit.set(key, append(grown, list[at:]...))
}

// removeItem removes the item with the given path from a copy of the list under a
// key.
func removeItem[K comparable, V any](edit *mapEdit[K, []V], key K, path Path, pathOf func(V) Path) {
	list, _ := edit.get(key)
	left := slices.DeleteFunc(slices.Clone(list), func(item V) bool { return pathOf(item) == path })
	if len(left) == 0 {
		edit.delete(key)
		return
	}
	edit.set(key, left)
}

// lastPutPerPath returns the entries without those that a later entry with the
// same path replaces.
func lastPutPerPath(entries []Entry) []Entry {
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
