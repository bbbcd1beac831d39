package planchecker

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"cactusroute.dev/core/planner"
)

// Compare returns one line for each entry that differs between two plans. Keys of workspaces are secret and only
// counted.
func Compare(before, after *planner.Plan) (list []string) {
	if before.Version != after.Version {
		list = append(list, fmt.Sprintf("version: %d -> %d", before.Version, after.Version))
	}
	if before.Scheduling != after.Scheduling {
		list = append(list, fmt.Sprintf("scheduling: %q -> %q", before.Scheduling, after.Scheduling))
	}
	if fields := changedFields(before.Limits, after.Limits); fields != "" {
		list = append(list, "limits: "+fields)
	}
	list = append(list, compareLists(before.Routes, after.Routes, func(r *planner.Route) string {
		return strings.ToLower(r.Host) + r.Prefix
	}, routeName, changedFields[planner.Route])...)
	list = append(list, compareLists(before.Services, after.Services, func(s *planner.Service) string { return s.Name },
		func(s *planner.Service) string { return fmt.Sprintf("service %q", s.Name) }, changedFields[planner.Service])...)
	return append(list, compareLists(before.Workspaces, after.Workspaces,
		func(w *planner.Workspace) string { return w.Name },
		func(w *planner.Workspace) string { return fmt.Sprintf("workspace %q", w.Name) }, changedWorkspace)...)
}

// compareLists compares entries with the same identity.
func compareLists[T any](before, after []T, identity, name func(*T) string, changes func(before, after T) string) (
	list []string,
) {
	old := map[string]*T{}
	for i := range before {
		old[identity(&before[i])] = &before[i]
	}
	for i := range after {
		id := identity(&after[i])
		known := old[id]
		if known == nil {
			list = append(list, name(&after[i])+": added")
			continue
		}
		delete(old, id)
		if fields := changes(*known, after[i]); fields != "" {
			list = append(list, name(&after[i])+": "+fields)
		}
	}
	for i := range before {
		if old[identity(&before[i])] != nil {
			list = append(list, name(&before[i])+": removed")
		}
	}
	return list
}

// changedFields returns the fields that differ, by their names in the plan.
func changedFields[T any](before, after T) string {
	var changes []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
			changes = append(changes, fmt.Sprintf("%s %v -> %v", name, x, y))
		}
	}
	return strings.Join(changes, ", ")
}

func changedWorkspace(before, after planner.Workspace) string {
	added, removed := 0, 0
	for _, key := range after.Keys {
		if !slices.Contains(before.Keys, key) {
			added++
		}
	}
	for _, key := range before.Keys {
		if !slices.Contains(after.Keys, key) {
			removed++
		}
	}
	before.Keys, after.Keys = nil, nil
	changes := changedFields(before, after)
	if added+removed > 0 {
		changes = strings.TrimSuffix(fmt.Sprintf("%d keys added, %d keys removed, %s", added, removed, changes), ", ")
	}
	return changes
}
