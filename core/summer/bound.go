package summer

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
)

// A key consists of a group up to its first slash, of a subject after its last one, and of what is said of the subject.

// Bounded returns sums with at most n of the keys, and the number of keys left out. Groups share the n keys, so that a
// large one does not displace the others. In a group, subjects with small values are left out first, and each with all
// its keys: an endpoint whose failures are known counts as unreachable if the contacts that speak against them are not.
func (s Sums) Bounded(n int) (bounded Sums, dropped int) {
	if len(s) <= n {
		return s, 0
	}
	groups := map[string][]string{}
	for key := range s {
		group, _, _ := strings.Cut(key, "/")
		groups[group] = append(groups[group], key)
	}
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(groups[a]), len(groups[b])), cmp.Compare(a, b))
	})
	bounded = make(Sums, n)
	for i, name := range names {
		s.addLargest(bounded, groups[name], (n-len(bounded))/(len(names)-i))
	}
	return bounded, len(s) - len(bounded)
}

// addLargest adds up to n of the keys of a group to bounded, by descending values of their subjects. Values count by
// their binary magnitude, so that the choice changes seldom.
func (s Sums) addLargest(bounded Sums, keys []string, n int) {
	type subject struct {
		name  string
		value uint64
		keys  []string
	}
	byName := map[string]*subject{}
	for _, key := range keys {
		name := key[strings.LastIndexByte(key, '/')+1:]
		sub := byName[name]
		if sub == nil {
			sub = &subject{name: name}
			byName[name] = sub
		}
		sub.value, sub.keys = max(sub.value, s[key]), append(sub.keys, key)
	}
	subjects := make([]*subject, 0, len(byName))
	for _, sub := range byName {
		subjects = append(subjects, sub)
	}
	slices.SortFunc(subjects, func(a, b *subject) int {
		return cmp.Or(cmp.Compare(bits.Len64(b.value), bits.Len64(a.value)), cmp.Compare(a.name, b.name))
	})
	for _, sub := range subjects {
		if n -= len(sub.keys); n < 0 {
			return
		}
		for _, key := range sub.keys {
			bounded[key] = s[key]
		}
	}
}
