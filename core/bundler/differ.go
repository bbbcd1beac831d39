package bundler

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"slices"
)

// Kind is the type of an item of a bundle.
type Kind string

// Types of items.
const (
	KindFailureDomain Kind = "failureDomain"
	KindPool          Kind = "pool"
	KindWorkspace     Kind = "workspace"
	KindFreshness     Kind = "freshness"
)

// Difference is an item that differs between two bundles; Old or New is nil if only one bundle contains the item.
type Difference struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Teams are the owners of a workspace in the new and the old bundle, without duplicates.
	Teams []string `json:"teams,omitempty"`
	Old   any      `json:"old,omitempty"`
	New   any      `json:"new,omitempty"`
}

// EncodeCanonical returns the canonical content of a bundle, which does not depend on comments, layout and field order
// of the file.
func EncodeCanonical(b *Bundle) ([]byte, error) {
	c := *b
	c.FailureDomains, c.Pools = emptyIfNil(c.FailureDomains), emptyIfNil(c.Pools)
	c.Workspaces = emptyIfNil(slices.Clone(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		w.KeyHashes, w.Pools = emptyIfNil(w.KeyHashes), emptyIfNil(w.Pools)
	}
	return json.Marshal(&c)
}

// emptyIfNil prevents a missing list from being encoded as null, which the parser rejects.
func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// DecodeCanonical decodes canonical content without validating it.
func DecodeCanonical(content []byte) (*Bundle, error) {
	var b Bundle
	if err := json.Unmarshal(content, &b); err != nil {
		return nil, err
	}
	return &b, nil
}

// Digest returns the hexadecimal SHA-256 digest of canonical content; operators sign the digest.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Diff returns the differences between two bundles, ordered by kind and name; a nil bundle counts as empty.
func Diff(from, to *Bundle) (diffs []Difference) {
	if from == nil {
		from = &Bundle{}
	}
	if to == nil {
		to = &Bundle{}
	}
	if from.Freshness != to.Freshness {
		diffs = append(diffs, Difference{Kind: KindFreshness, Old: &from.Freshness, New: &to.Freshness})
	}
	diffs = append(diffs, diffList(KindFailureDomain, from.FailureDomains, to.FailureDomains,
		func(f *FailureDomain) (string, string) { return f.Name, "" })...)
	diffs = append(diffs, diffList(KindPool, from.Pools, to.Pools,
		func(p *Pool) (string, string) { return p.Name, "" })...)
	return append(diffs, diffList(KindWorkspace, from.Workspaces, to.Workspaces,
		func(w *Workspace) (string, string) { return w.Name, w.Team })...)
}

func diffList[T any](kind Kind, from, to []T, key func(*T) (name, team string)) (diffs []Difference) {
	old := make(map[string]*T, len(from))
	for i := range from {
		name, _ := key(&from[i])
		old[name] = &from[i]
	}
	for i := range to {
		name, team := key(&to[i])
		prev := old[name]
		delete(old, name)
		d := Difference{Kind: kind, Name: name, New: &to[i]}
		if team != "" {
			d.Teams = []string{team}
		}
		if prev != nil {
			if reflect.DeepEqual(prev, &to[i]) {
				continue
			}
			d.Old = prev
			if _, t := key(prev); t != team {
				d.Teams = append(d.Teams, t)
			}
		}
		diffs = append(diffs, d)
	}
	for name, o := range old {
		d := Difference{Kind: kind, Name: name, Old: o}
		if _, team := key(o); team != "" {
			d.Teams = []string{team}
		}
		diffs = append(diffs, d)
	}
	slices.SortFunc(diffs, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return diffs
}

// IsWithinTeam reports whether all differences are in workspaces that the team owns before and after the change.
func IsWithinTeam(diffs []Difference, team string) bool {
	return !slices.ContainsFunc(diffs, func(d Difference) bool {
		return d.Kind != KindWorkspace || slices.ContainsFunc(d.Teams, func(t string) bool { return t != team })
	})
}

// ForTeam returns a copy with only the team's workspaces, or b itself if team is empty.
func (b *Bundle) ForTeam(team string) *Bundle {
	if team == "" {
		return b
	}
	c := *b
	c.Workspaces = nil
	for _, w := range b.Workspaces {
		if w.Team == team {
			c.Workspaces = append(c.Workspaces, w)
		}
	}
	return &c
}
