package reconfigurer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusroute.dev/core/replicator"
)

var now = time.Unix(1000, 0)

func voter(id string) replicator.Member {
	return replicator.Member{ID: id, Name: "n" + id, Voter: true}
}

func learner(id string) replicator.Member { return replicator.Member{ID: id, Name: "n" + id} }

func caughtUp(string) bool { return true }

// Guards against a group that doesn't replace a lost voter, or that removes voters that it needs.
func TestNextChange(t *testing.T) {
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name  string
		in    Input
		kind  replicator.ChangeKind
		id    string
		with  []string
		found bool
	}{
		{name: "a new instance becomes a learner",
			in:   Input{Members: []replicator.Member{voter("a")}, Announced: []Instance{{ID: "b", Name: "nb"}}},
			kind: replicator.ChangeAddLearner, id: "b", found: true},
		{name: "a caught-up learner becomes a voter",
			in: Input{Members: []replicator.Member{voter("a"), learner("b")},
				Announced: []Instance{{ID: "b", Name: "nb"}}, LastContact: map[string]time.Time{"b": now}},
			kind: replicator.ChangePromote, id: "b", found: true},
		{name: "a lone voter waits for MinVoters-1 learners",
			in: Input{Members: []replicator.Member{voter("a"), learner("b")}, MinVoters: 3,
				Announced: []Instance{{ID: "b", Name: "nb"}}, LastContact: map[string]time.Time{"b": now}}},
		{name: "a lone voter promotes its learners in one change",
			in: Input{Members: []replicator.Member{voter("a"), learner("b"), learner("c")}, MinVoters: 3,
				Announced:   []Instance{{ID: "b", Name: "nb"}, {ID: "c", Name: "nc"}},
				LastContact: map[string]time.Time{"b": now, "c": now}},
			kind: replicator.ChangePromote, id: "b", with: []string{"c"}, found: true},
		{name: "a learner that lags is not promoted",
			in: Input{Members: []replicator.Member{voter("a"), learner("b")}, IsCaughtUp: func(string) bool { return false },
				Announced: []Instance{{ID: "b", Name: "nb"}}, LastContact: map[string]time.Time{"b": now}}},
		{name: "the replacement of a voter with a new ID is promoted first",
			in: Input{Members: []replicator.Member{voter("a"), voter("b"), voter("c"), {ID: "c2", Name: "nc"}},
				Announced:   []Instance{{ID: "c2", Name: "nc"}},
				LastContact: map[string]time.Time{"b": now, "c": ago(replacedVoterTimeout), "c2": now}, MinVoters: 3},
			kind: replicator.ChangePromote, id: "c2", found: true},
		{name: "a voter with a new ID is removed once its replacement is a voter",
			in: Input{Members: []replicator.Member{voter("a"), voter("b"), voter("c"), {ID: "c2", Name: "nc", Voter: true}},
				Announced:   []Instance{{ID: "c2", Name: "nc"}},
				LastContact: map[string]time.Time{"b": now, "c": ago(replacedVoterTimeout), "c2": now}, MinVoters: 3},
			kind: replicator.ChangeRemove, id: "c", found: true},
		{name: "a voter with a new ID stays until its replacement is a voter",
			in: Input{Members: []replicator.Member{voter("a"), voter("b"), voter("c"), {ID: "c2", Name: "nc"}},
				Announced: []Instance{{ID: "c2", Name: "nc"}}, IsCaughtUp: func(string) bool { return false },
				LastContact: map[string]time.Time{"b": now, "c": ago(replacedVoterTimeout), "c2": now}, MinVoters: 3}},
		{name: "a voter is not removed after replacedVoterTimeout without a new ID",
			in: Input{Members: []replicator.Member{voter("a"), voter("b"), voter("c"), learner("d")},
				Announced:   []Instance{{ID: "d", Name: "nd"}},
				LastContact: map[string]time.Time{"b": now, "c": ago(replacedVoterTimeout), "d": now}, MinVoters: 3},
			kind: replicator.ChangePromote, id: "d", found: true},
		{name: "a lost voter without a replacement stays while MinVoters requires it",
			in: Input{Members: []replicator.Member{voter("a"), voter("b"), voter("c")},
				LastContact: map[string]time.Time{"b": now, "c": ago(time.Hour)}, MinVoters: 3}},
		{name: "a lost voter is removed if MinVoters others remain",
			in: Input{Members: []replicator.Member{voter("a"), voter("b"), voter("c"), voter("d")},
				LastContact: map[string]time.Time{"b": now, "c": now, "d": ago(removalTimeout)}, MinVoters: 3},
			kind: replicator.ChangeRemove, id: "d", found: true},
		{name: "a lost learner is removed",
			in: Input{Members: []replicator.Member{voter("a"), learner("b")},
				LastContact: map[string]time.Time{"b": ago(removalTimeout)}, MinVoters: 1},
			kind: replicator.ChangeRemove, id: "b", found: true},
	} {
		c.in.Now, c.in.Self = now, "a"
		if c.in.IsCaughtUp == nil {
			c.in.IsCaughtUp = caughtUp
		}
		ch, found := NextChange(c.in)
		assert.Equal(t, found, c.found, c.name)
		assert.Equal(t, ch.Kind, c.kind, c.name)
		assert.Equal(t, ch.Member.ID, c.id, c.name)
		assert.DeepEqual(t, ch.With, c.with)
	}
}

// Guards against a removal that leaves fewer than MinVoters voters without a learner to replace the lost one.
func TestNextChangeKeepsMinVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{Now: now, Self: "m0", LastContact: map[string]time.Time{}, IsCaughtUp: caughtUp,
			MinVoters: rapid.IntRange(1, 5).Draw(t, "min")}
		voters, learners := 0, 0
		for i := range rapid.IntRange(1, 8).Draw(t, "members") {
			m := learner(fmt.Sprintf("m%d", i))
			m.Voter = i == 0 || rapid.Bool().Draw(t, "voter")
			in.Members = append(in.Members, m)
			in.LastContact[m.ID] = now.Add(-time.Duration(rapid.IntRange(0, 6000).Draw(t, "silent")) * time.Millisecond)
			if m.Voter {
				voters++
			} else if rapid.Bool().Draw(t, "announced") {
				learners++
				in.Announced = append(in.Announced, Instance{ID: m.ID, Name: m.Name})
			}
		}
		ch, ok := NextChange(in)
		if !ok || ch.Kind != replicator.ChangeRemove || !ch.Member.Voter {
			return
		}
		if ch.Member.ID == in.Self || voters <= in.MinVoters && (learners == 0 || voters < MaxVoters) {
			t.Fatalf("removed %s of %d voters with MinVoters %d and %d learners", ch.Member.ID, voters, in.MinVoters, learners)
		}
	})
}
